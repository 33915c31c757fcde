#include "goldcrestgate/wire/detail/leasing_decoder.hpp"

#include "goldcrestgate/core/submission/answer.hpp"

#include <algorithm>
#include <utility>

namespace goldcrestgate::wire::detail
{

namespace
{

std::optional<core::task_group> decode_group(TaskGroup const& source)
{
    auto const* const label = source.required_label();
    auto const* const rack = source.preferred_rack();
    if (!core::is_utf8(label->string_view()) ||
        !core::is_utf8(rack->string_view()) || source.estimate_us() < 0)
    {
        return std::nullopt;
    }
    auto const& each_task = *source.each_task();
    core::task_group group;
    group.task_count = source.task_count();
    group.each_task = {each_task.cpu_millicores(), each_task.memory_mb(),
                       each_task.accelerators()};
    group.estimate = core::duration{source.estimate_us()};
    group.required_label = label->str();
    group.preferred_rack = rack->str();
    group.max_per_executor = source.max_per_executor();
    group.after.assign(source.after()->begin(), source.after()->end());
    return group;
}

std::vector<core::crash_observation> decode(TaskCrashes const& source)
{
    std::vector<core::crash_observation> observations;
    auto const* const entries = source.observations();
    if (entries == nullptr || entries->size() > core::max_observed_crashes)
    {
        return observations;
    }
    for (auto const* const entry : *entries)
    {
        constexpr auto last =
            static_cast<std::uint8_t>(core::crash_state::shared);
        if (entry->state() <= last)
        {
            observations.push_back(
                {entry->id(), static_cast<core::crash_state>(entry->state()),
                 entry->alone()});
        }
    }
    return observations;
}

/// Reads the crashes that are valid. The heartbeat matters more than a report
/// that cannot be used.
std::vector<core::task_crashes> decode_crashes(OwnerHeartbeat const& source)
{
    std::vector<core::task_crashes> tasks;
    auto const* const crashes = source.crashes();
    if (crashes == nullptr || crashes->size() > core::max_reported_crashes)
    {
        return tasks;
    }
    for (auto const* const entry : *crashes)
    {
        auto observations = decode(*entry);
        if (!observations.empty())
        {
            tasks.push_back({{core::client_job_id{entry->job()}, entry->group(),
                              entry->index()},
                             std::move(observations)});
        }
    }
    return tasks;
}

/// Reads the run times that have the expected number of buckets; an older
/// sender has none.
std::vector<core::learned_run_times>
decode_run_times(ExecutorSpeeds const& source)
{
    std::vector<core::learned_run_times> run_times;
    auto const* const entries = source.run_times();
    if (entries == nullptr ||
        entries->size() > core::run_time_model::max_reported)
    {
        return run_times;
    }
    for (auto const* const entry : *entries)
    {
        if (entry->weights()->size() == core::run_time_buckets &&
            core::is_utf8(entry->route()->string_view()))
        {
            auto& learned = run_times.emplace_back();
            learned.route = entry->route()->str();
            learned.magnitude = entry->magnitude();
            std::ranges::copy(*entry->weights(), learned.weights.begin());
        }
    }
    return run_times;
}

template <typename Message>
core::evacuations decode_evacuations(Message const& source)
{
    core::evacuations evacuated{source.evacuation_version(), {}};
    if (auto const* const domains = source.evacuated())
    {
        for (auto const domain : *domains)
        {
            evacuated.domains.emplace(domain);
        }
    }
    return evacuated;
}

std::optional<core::message_mark> decode_mark(MessageMark const* source)
{
    return source == nullptr ? std::nullopt
                             : std::optional{core::message_mark{
                                   source->echo(), source->since_echo_ms()}};
}

} // namespace

std::optional<core::peer_message> decode(JobOffer const& source)
{
    auto const* const route = source.route();
    bool const valid =
        (route == nullptr || core::is_utf8(route->string_view())) &&
        core::is_utf8(source.service()->string_view()) &&
        core::is_utf8(source.payload()->string_view()) &&
        source.objective_us() >= 0 && source.time_limit_us() >= 0 &&
        source.elapsed_us() >= 0;
    if (!valid)
    {
        return std::nullopt;
    }
    core::job_offer message;
    auto& job = message.job;
    job.id = core::client_job_id{source.job()};
    if (route != nullptr)
    {
        job.route = route->str();
    }
    job.origin_domain = core::domain_id{source.origin_domain()};
    job.service = source.service()->str();
    job.payload = source.payload()->str();
    for (auto const* const group : *source.groups())
    {
        auto decoded_group = decode_group(*group);
        if (!decoded_group)
        {
            return std::nullopt;
        }
        // A group may depend on earlier groups only, which rules out cycles.
        for (auto const earlier : decoded_group->after)
        {
            if (earlier >= job.groups.size())
            {
                return std::nullopt;
            }
        }
        job.groups.push_back(std::move(*decoded_group));
    }
    job.max_attempts = source.max_attempts();
    job.priority = source.priority();
    job.objective = core::duration{source.objective_us()};
    job.time_limit = core::duration{source.time_limit_us()};
    message.elapsed = core::duration{source.elapsed_us()};
    message.resumed = source.resumed();
    message.only_offered_here = source.only_offered_here();
    message.sequence = source.sequence();
    message.term = source.term();
    message.mark = decode_mark(source.mark());
    return message;
}

std::optional<core::peer_message> decode(JobWithdrawal const& source)
{
    constexpr core::duration longest_elapsed = std::chrono::hours{1};
    core::duration const elapsed{source.elapsed_us()};
    if (elapsed < core::duration{} || elapsed > longest_elapsed)
    {
        return std::nullopt;
    }
    return core::job_withdrawal{core::client_job_id{source.job()},
                                source.sequence(), elapsed,
                                decode_mark(source.mark())};
}

std::optional<core::peer_message> decode(JobVerdict const& source)
{
    constexpr auto last =
        static_cast<std::uint8_t>(core::job_outcome::withdrawn);
    if (source.outcome() > last || source.retry_after_us() < 0)
    {
        return std::nullopt;
    }
    return core::job_verdict{core::client_job_id{source.job()},
                             static_cast<core::job_outcome>(source.outcome()),
                             core::duration{source.retry_after_us()},
                             source.sequence()};
}

std::optional<core::peer_message> decode(OwnerHeartbeat const& source)
{
    if (source.expected_wait_us() < 0 || source.time_to_claim_us() < 0 ||
        source.interval_us() < 0)
    {
        return std::nullopt;
    }
    core::owner_heartbeat message;
    message.term = source.term();
    message.highest_term = source.highest_term();
    message.highest_token_term = source.highest_token_term();
    message.weight = source.weight();
    message.leaving = source.leaving();
    message.free_millicores = source.free_millicores();
    message.expected_wait = core::duration{source.expected_wait_us()};
    message.configuration_version = source.configuration_version();
    message.time_to_claim = core::duration{source.time_to_claim_us()};
    message.interval = core::duration{source.interval_us()};
    if (auto const* const successors = source.successors())
    {
        for (auto const successor : *successors)
        {
            message.successors.emplace_back(successor);
        }
    }
    message.owner_known = source.owner_known();
    message.yields_to = core::instance_id{source.yields_to()};
    message.evacuated = decode_evacuations(source);
    message.crashes = decode_crashes(source);
    message.clock = source.clock();
    message.mark = decode_mark(source.mark());
    return message;
}

std::optional<core::peer_message> decode(ExecutorSpeeds const& source)
{
    core::executor_speeds message;
    for (auto const* const entry : *source.executors())
    {
        // Negated, as comparisons with NaN are false.
        if (!(entry->slowdown() > 0.0) || !(entry->samples() >= 0.0))
        {
            return std::nullopt;
        }
        message.executors.push_back(
            {entry->name()->str(), entry->slowdown(), entry->samples()});
    }
    message.run_times = decode_run_times(source);
    return message;
}

std::optional<core::peer_message> decode(ExecutorRoster const& source)
{
    core::executor_roster message;
    message.term = source.term();
    message.complete = source.complete();
    for (auto const* const entry : *source.executors())
    {
        auto const& capacity = *entry->capacity();
        core::executor_description executor;
        executor.name = entry->name()->str();
        executor.address = entry->address()->str();
        executor.service = entry->service()->str();
        executor.domain = core::domain_id{entry->domain()};
        executor.capacity = {capacity.cpu_millicores(), capacity.memory_mb(),
                             capacity.accelerators()};
        executor.draining = entry->draining();
        executor.incarnation = entry->incarnation();
        for (auto const* const label : *entry->labels())
        {
            executor.labels.push_back(label->str());
        }
        message.executors.push_back(std::move(executor));
    }
    return message;
}

std::optional<core::peer_message> decode(PeerAddresses const& source)
{
    core::peer_addresses message;
    for (auto const* const address : *source.addresses())
    {
        message.addresses.push_back(address->str());
    }
    return message;
}

std::optional<core::peer_message> decode(ConfigurationQuery const& source)
{
    return core::configuration_query{source.number(), source.version(),
                                     source.wants_document()};
}

std::optional<core::peer_message> decode(ConfigurationReport const& source)
{
    // Points in time are computed from the age and must not overflow.
    constexpr core::duration max_age = std::chrono::hours{24 * 365};
    if (source.age_us() < 0 || source.age_us() > max_age.count())
    {
        return std::nullopt;
    }
    core::configuration_report message{
        source.number(), source.version(), {}, decode_evacuations(source)};
    if (source.age_known())
    {
        message.age = core::duration{source.age_us()};
    }
    return message;
}

std::optional<core::peer_message> decode(PublishedConfiguration const& source)
{
    auto const& bytes = *source.document();
    return core::published_configuration{
        source.version(),
        {reinterpret_cast<char const*>(bytes.data()), bytes.size()}};
}

} // namespace goldcrestgate::wire::detail
