#include "goldcrestgate/core/routing/service_time_model.hpp"

#include <algorithm>
#include <cmath>

namespace goldcrestgate::core
{

namespace
{

// Minimum weight of a new sample. Declared times scatter by a factor of about
// 1.3, so a weight of 0.05 leaves an error of about 5%, the difference in
// speed between neighbouring servers.
constexpr float service_min_gain = 0.02F;
constexpr float server_min_gain = 0.05F;
constexpr float pair_min_gain = 0.03F;

// A smoothed error above this indicates a change of speed, not scatter.
constexpr float drift_threshold = 0.6F;
constexpr float smoothed_error_gain = 0.25F;
constexpr std::uint32_t samples_after_drift = 3;

// Limits the effect of one outlier among work times or declared run times.
constexpr float error_limit = 2.5F;

template <typename Value>
Value& grow_to(std::vector<Value>& values, std::size_t index)
{
    if (index >= values.size())
    {
        values.resize(index + 1);
    }
    return values[index];
}

duration scale(duration declared, float log_factor)
{
    auto const scaled =
        static_cast<double>(declared.count()) *
        static_cast<double>(std::exp(std::clamp(log_factor, -10.0F, 10.0F)));
    return duration{std::max<std::int64_t>(
        1, static_cast<std::int64_t>(std::min(scaled, 1e15)))};
}

} // namespace

void service_time_model::reset_server(server_index server)
{
    grow_to(servers_, server) = {};
    for (auto& pairs : pairs_)
    {
        if (server < pairs.size())
        {
            pairs[server] = {};
        }
    }
}

float service_time_model::service_log_factor(service_id service) const
{
    return service.value() < services_.size() ? services_[service.value()].value
                                              : 0.0F;
}

float service_time_model::pair_log_factor(service_id service,
                                          server_index server) const
{
    if (service.value() >= pairs_.size())
    {
        return 0.0F;
    }
    auto const& pairs = pairs_[service.value()];
    return server < pairs.size() ? pairs[server] : 0.0F;
}

float service_time_model::server_log_factor(service_id service,
                                            server_index server) const
{
    return speed_log_factor(server) + pair_log_factor(service, server);
}

float service_time_model::speed_log_factor(server_index server) const
{
    return server < servers_.size() ? servers_[server].value : 0.0F;
}

duration service_time_model::expected(service_id service, server_index server,
                                      duration declared) const
{
    return scale(declared, service_log_factor(service) +
                               server_log_factor(service, server));
}

duration service_time_model::expected_on_mean_server(service_id service,
                                                     duration declared) const
{
    return scale(declared, service_log_factor(service));
}

void service_time_model::update_estimate(estimate& updated, float error,
                                         float min_gain)
{
    updated.smoothed_error +=
        smoothed_error_gain * (error - updated.smoothed_error);
    if (std::abs(updated.smoothed_error) > drift_threshold &&
        updated.samples > samples_after_drift)
    {
        updated.samples = samples_after_drift;
        updated.smoothed_error = 0.0F;
    }
    ++updated.samples;
    float const weight =
        std::max(min_gain, 1.0F / static_cast<float>(updated.samples + 1));
    updated.value += weight * error;
}

void service_time_model::learn(service_id service, server_index server,
                               duration declared, duration work_time)
{
    auto& service_estimate = grow_to(services_, service.value());
    auto& server_estimate = grow_to(servers_, server);
    auto& pair_estimate = grow_to(grow_to(pairs_, service.value()), server);
    float const observed = std::log(static_cast<float>(work_time.count()) /
                                    static_cast<float>(declared.count()));
    float const error = std::clamp(observed - service_estimate.value -
                                       server_estimate.value - pair_estimate,
                                   -error_limit, error_limit);
    update_estimate(service_estimate, error, service_min_gain);
    update_estimate(server_estimate, error, server_min_gain);
    pair_estimate += pair_min_gain * error;
}

} // namespace goldcrestgate::core
