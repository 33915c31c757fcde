#include "goldcrestgate/core/routing/outcome_monitor.hpp"

#include <algorithm>

namespace goldcrestgate::core
{

namespace
{

// Sum of the weights of failures in a row that ejects a server: three failures
// of tasks that succeed elsewhere.
constexpr double failures_to_eject = 2.5;
constexpr duration initial_probe_delay = std::chrono::seconds{1};
constexpr std::uint32_t max_doublings = 5;

bool counts_as_failure(task_outcome outcome)
{
    return outcome == task_outcome::failed ||
           outcome == task_outcome::cannot_run ||
           outcome == task_outcome::not_sent || outcome == task_outcome::lost;
}

} // namespace

void outcome_monitor::reset_server(server_index server)
{
    if (server >= servers_.size())
    {
        servers_.resize(server + 1);
    }
    clear_failures(servers_[server]);
    servers_[server] = {};
    std::erase(ejected_, server);
}

void outcome_monitor::clear_failures(server_state& server)
{
    failing_count_ -= server.failures > 0.0 ? 1 : 0;
    server.failures = 0.0;
}

outcome_monitor::change outcome_monitor::record_outcome(server_index server,
                                                        task_outcome outcome,
                                                        std::size_t servers,
                                                        double max_ejected,
                                                        time_point now)
{
    server_state& state = servers_[server];
    if (outcome == task_outcome::succeeded)
    {
        return record_success(state, server);
    }
    if (counts_as_failure(outcome))
    {
        std::size_t const others =
            failing_count_ - (state.failures > 0.0 ? 1 : 0);
        double const weight =
            1.0 -
            static_cast<double>(others) /
                static_cast<double>(std::max<std::size_t>(servers, 2) - 1);
        return record_failure(state, server, weight, max_ejected, now);
    }
    state.probe_in_flight = false;
    return change::none;
}

outcome_monitor::change outcome_monitor::record_success(server_state& server,
                                                        server_index index)
{
    clear_failures(server);
    if (!server.ejected || !server.probe_in_flight)
    {
        return change::none;
    }
    server = {};
    std::erase(ejected_, index);
    return change::restored;
}

outcome_monitor::change outcome_monitor::record_failure(server_state& server,
                                                        server_index index,
                                                        double weight,
                                                        double max_ejected,
                                                        time_point now)
{
    if (server.ejected)
    {
        if (server.probe_in_flight)
        {
            eject(server, now);
        }
        return change::none;
    }
    // Keeps the sum positive, so that a first failure always marks the server
    // as failing.
    constexpr double min_weight = 1e-9;
    failing_count_ += server.failures > 0.0 ? 0 : 1;
    server.failures += std::max(weight, min_weight);
    bool const is_within_limit =
        static_cast<double>(ejected_.size() + 1) <= max_ejected;
    if (server.failures < failures_to_eject || !is_within_limit)
    {
        return change::none;
    }
    eject(server, now);
    ejected_.push_back(index);
    return change::ejected;
}

void outcome_monitor::eject(server_state& server, time_point now)
{
    server.probe_at =
        now +
        initial_probe_delay * (1 << std::min(server.ejections, max_doublings));
    ++server.ejections;
    server.ejected = true;
    server.probe_in_flight = false;
}

bool outcome_monitor::ejected(server_index server) const
{
    return servers_[server].ejected;
}

std::size_t outcome_monitor::ejected_count() const
{
    return ejected_.size();
}

std::optional<server_index> outcome_monitor::due_probe(time_point now) const
{
    for (server_index const server : ejected_)
    {
        server_state const& state = servers_[server];
        if (!state.probe_in_flight && state.probe_at <= now)
        {
            return server;
        }
    }
    return std::nullopt;
}

void outcome_monitor::mark_probe_started(server_index server)
{
    servers_[server].probe_in_flight = true;
}

} // namespace goldcrestgate::core
