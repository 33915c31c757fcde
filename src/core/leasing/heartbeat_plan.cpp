#include "goldcrestgate/core/leasing/heartbeat_plan.hpp"

namespace goldcrestgate::core
{

namespace
{

/// Between an owner and the instances of its failure domain. Four intervals fit
/// into the time in which a silent owner has to be noticed.
constexpr duration dense_interval = std::chrono::milliseconds{100};

/// Between instances of different failure domains that share jobs.
constexpr duration shared_jobs_interval = std::chrono::milliseconds{200};

/// From an owner to the instances of other failure domains, which offer their
/// jobs by its load.
constexpr duration load_interval = std::chrono::milliseconds{200};

/// To the owners of other failure domains.
constexpr duration remote_owner_interval = std::chrono::seconds{1};

/// A heartbeat is sent if it is due within this time, as timers fire at
/// different phases.
constexpr duration send_tolerance = std::chrono::milliseconds{20};

/// Heartbeats that may be missed before a peer counts as gone.
constexpr int tolerated_intervals = 3;

/// A CPU quota can stall a process for up to 100 ms.
constexpr duration silence_margin = std::chrono::milliseconds{150};

} // namespace

std::optional<duration> heartbeat_interval(peer_relation const& relation)
{
    bool const one_owns = relation.self_owns || relation.peer_owns;
    if (relation.same_domain)
    {
        bool const dense =
            one_owns || relation.both_successors || !relation.owner_known;
        return dense ? std::optional{dense_interval} : std::nullopt;
    }
    if (relation.shares_jobs)
    {
        return shared_jobs_interval;
    }
    if (relation.self_owns)
    {
        return load_interval;
    }
    return relation.peer_owns ? std::optional{remote_owner_interval}
                              : std::nullopt;
}

duration silence_limit(duration interval)
{
    auto const promised = interval > duration{} ? interval : dense_interval;
    return promised * tolerated_intervals + silence_margin;
}

bool heartbeat_plan::take_due(instance_id peer,
                              std::optional<duration> interval, time_point now)
{
    auto const [entry, is_first] = sent_.try_emplace(peer);
    auto& last = entry->second;
    bool const is_due =
        is_first || last.promised != interval ||
        (interval && now - last.at >= *interval - send_tolerance);
    if (is_due)
    {
        last = {now, interval};
    }
    return is_due;
}

} // namespace goldcrestgate::core
