#pragma once

#include "goldcrestgate/core/leasing/executor.hpp"

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

namespace goldcrestgate::core
{

/// @brief What was learned of one executor.
struct learned_speed
{
    /// Run time divided by estimated run time.
    double slowdown = 1.0;
    /// Observations behind it.
    double samples = 0.0;
};

/// @brief Learns how long executors take relative to the estimated run times.
///
/// The load it answers: executors whose speeds differ by a factor of three and
/// are not declared. An executor without observations of its own is judged by
/// the executors of its kind.
///
/// @par Thread safety
/// Not safe.
class speed_model
{
public:
    /// @brief Adds an executor.
    /// @param kind the label that executors of like hardware share
    void add(executor_id executor, std::string_view kind);

    /// @brief Forgets an executor; what its kind has learned stays.
    void remove(executor_id executor);

    /// @brief Adds an observation.
    /// @pre @a estimate is positive; otherwise the observation is ignored
    void observe(executor_id executor, duration estimate, duration actual);

    /// @brief Takes over what another instance has learned of an executor; it
    /// replaces fewer own observations.
    /// @return false if the executor is not known
    bool adopt(executor_id executor, learned_speed const& learned);

    /// @brief Returns the own observations of each executor that has some.
    [[nodiscard]] std::map<executor_id, learned_speed> learned() const;

    /// @brief Returns run time divided by estimated run time.
    [[nodiscard]] double slowdown(executor_id executor) const;

private:
    struct average
    {
        double value = 1.0;
        double weight = 0.0;

        void add(double sample, double memory);
    };

    struct entry
    {
        std::string kind;
        average own;
        /// Whether the last sample was far above (1) or below (-1).
        int last_side = 0;

        void observe(double sample);
    };

    std::unordered_map<executor_id, entry> executors_;
    std::unordered_map<std::string, average> kinds_;
    average all_;
};

} // namespace goldcrestgate::core
