#include "goldcrestgate/core/leasing/detail/scheduler_state.hpp"

#include <algorithm>

namespace goldcrestgate::core::detail
{

void scheduler_state::note_callers(instance_id instance,
                                   origin_news const& news)
{
    auto const [entry, is_first] = heard.try_emplace(instance, news);
    auto& known = entry->second;
    if (is_first)
    {
        return;
    }
    if (known.connection != news.connection)
    {
        // The jobs of the earlier connection are confirmed by new offers only.
        for (auto& [id, job] : jobs)
        {
            if (job.origin == instance)
            {
                job.caller_seen_at = caller_waiting_at(job);
            }
        }
        known = news;
        return;
    }
    known.callers_seen_at =
        std::max(known.callers_seen_at, news.callers_seen_at);
    known.message_as_of = news.message_as_of;
}

time_point scheduler_state::message_as_of(instance_id instance,
                                          time_point now) const
{
    auto const found = heard.find(instance);
    return found == heard.end() ? now
                                : std::min(now, found->second.message_as_of);
}

void scheduler_state::note_offer(job_record& job, instance_id origin,
                                 std::uint64_t sequence) const
{
    auto const news = heard.find(origin);
    job.origin = origin;
    job.sequence = sequence;
    job.caller_seen_at =
        news == heard.end() ? time_point::min() : news->second.message_as_of;
    job.caller_connection = news == heard.end() ? 0 : news->second.connection;
}

void scheduler_state::note_absence(job_record& job, time_point left_at) const
{
    job.caller_seen_at = std::min(left_at, caller_waiting_at(job));
    job.caller_connection.reset();
}

time_point scheduler_state::caller_waiting_at(job_record const& job) const
{
    if (!job.caller_connection)
    {
        return job.caller_seen_at;
    }
    auto const news = heard.find(job.origin);
    if (news == heard.end())
    {
        return time_point::max();
    }
    return news->second.connection == *job.caller_connection
               ? std::max(job.caller_seen_at, news->second.callers_seen_at)
               : job.caller_seen_at;
}

bool scheduler_state::refuse_outdated(instance_id origin,
                                      job_offer const& offered,
                                      scheduler_context& context) const
{
    auto const as_of = message_as_of(origin, context.now);
    if (callers.allow_starts(as_of, context.now))
    {
        return false;
    }
    scheduler_log_event log_event{.event = "offer_outdated",
                                  .job = offered.job.id};
    log_event.caller_age = context.now - as_of;
    context.out.emplace_back(log_event);
    context.out.emplace_back(report_verdict{
        origin,
        {offered.job.id, job_outcome::not_owner, {}, offered.sequence}});
    return true;
}

} // namespace goldcrestgate::core::detail
