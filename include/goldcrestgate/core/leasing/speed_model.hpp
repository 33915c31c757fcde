#pragma once

#include "goldcrestgate/core/leasing/executor.hpp"

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

namespace goldcrestgate::core
{

/// @brief Learned speed of one executor.
struct learned_speed
{
    /// Run time divided by estimated run time.
    double slowdown = 1.0;
    /// Number of observations behind the slowdown.
    double samples = 0.0;
};

/// @brief Learns each executor's run times relative to the estimates.
///
/// Intended for executors whose speeds differ by a factor of three and are not
/// declared. An executor without observations is judged by the executors of its
/// kind.
///
/// @par Thread safety
/// Not safe; the owner of the object serializes calls.
class speed_model
{
public:
    /// @brief Adds an executor.
    /// @param kind label that executors of equal hardware share
    void add(executor_id executor, std::string_view kind);

    /// @brief Removes an executor; the average of its kind stays.
    void remove(executor_id executor);

    /// @brief Adds an observation.
    /// @param weight weight against an observation that is not affected by the
    /// error of a client's estimate
    /// @pre @a estimate is positive; otherwise the observation is ignored
    void observe(executor_id executor, duration estimate, duration actual,
                 double weight = 1.0);

    /// @brief Adopts another instance's learned speed of an executor if it has
    /// at least as many observations as this model.
    /// @return false if the executor is unknown
    bool adopt(executor_id executor, learned_speed const& learned);

    /// @brief Returns the learned speed of each executor that has observations.
    [[nodiscard]] std::map<executor_id, learned_speed> learned() const;

    /// @brief Returns the executor's expected run time divided by estimated run
    /// time.
    [[nodiscard]] double slowdown(executor_id executor) const;

private:
    struct average
    {
        double value = 1.0;
        double weight = 0.0;

        void add(double sample, double added_weight, double window);
    };

    struct entry
    {
        std::string kind;
        average own;
        /// Whether the last sample was far above (1) or far below (-1) the
        /// average; 0 if neither.
        int last_deviation = 0;

        void observe(double sample, double weight);
    };

    std::unordered_map<executor_id, entry> executors_;
    std::unordered_map<std::string, average> kinds_;
    average overall_;
};

} // namespace goldcrestgate::core
