#pragma once

#include "goldcrestgate/core/ids.hpp"
#include "goldcrestgate/core/time.hpp"

#include <cstdint>
#include <vector>

namespace goldcrestgate::core
{

/// The index of a server in the router's tables.
using server_index = std::uint32_t;

/// @brief Estimates work times as a learned factor on the declared run time.
///
/// The logarithm of the factor is the sum of three learned terms: one for the
/// service (the error of its declared run times), one for the server (its
/// speed) and one for the pair. The estimate for a server that never ran a
/// service is therefore based on its speed for the others.
class service_time_model
{
public:
    /// @brief Discards the estimates of a server.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void reset_server(server_index server);

    /// @brief Returns the terms of the factor's logarithm that depend on the
    /// server; they order the servers for a service.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] float server_log_factor(service_id service,
                                          server_index server) const;

    /// @brief Returns the server's term that is common to all services.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] float speed_log_factor(server_index server) const;

    /// @brief Returns the expected work time of a task.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] duration expected(service_id service, server_index server,
                                    duration declared) const;

    /// @brief Returns the expected work time on a server of mean speed.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] duration expected_on_mean_server(service_id service,
                                                   duration declared) const;

    /// @brief Updates the estimates from one work time.
    /// @pre @a declared and @a work_time are positive
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void learn(service_id service, server_index server, duration declared,
               duration work_time);

private:
    struct estimate
    {
        float value = 0.0F;
        std::uint32_t samples = 0;
        /// Smoothed recent error; a large one shows that the value is stale.
        float smoothed_error = 0.0F;
    };

    [[nodiscard]] float service_log_factor(service_id service) const;
    [[nodiscard]] float pair_log_factor(service_id service,
                                        server_index server) const;
    static void update_estimate(estimate& updated, float error, float min_gain);

    std::vector<estimate> services_;
    std::vector<estimate> servers_;
    /// Indexed by service, then by server.
    std::vector<std::vector<float>> pairs_;
};

} // namespace goldcrestgate::core
