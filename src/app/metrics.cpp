#include "goldcrestgate/app/metrics.hpp"

#include "goldcrestgate/app/detail/metric_text.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <map>
#include <string_view>

namespace goldcrestgate::app
{

namespace
{

namespace acc = boost::accumulators;

using quantile =
    acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile>>;

/// @brief Count, sum, median and 99th percentile of a duration, in seconds.
class time_summary
{
public:
    void add(core::duration time)
    {
        double const seconds = std::chrono::duration<double>(time).count();
        totals_(seconds);
        median_(seconds);
        p99_(seconds);
    }

    void render(std::string_view name, std::string& out) const
    {
        std::string const full{name};
        out += "# TYPE " + full + " summary\n";
        if (acc::count(totals_) > 0)
        {
            out += full + "{quantile=\"0.5\"} " +
                   std::to_string(acc::p_square_quantile(median_)) + '\n';
            out += full + "{quantile=\"0.99\"} " +
                   std::to_string(acc::p_square_quantile(p99_)) + '\n';
        }
        out += full + "_sum " + std::to_string(acc::sum(totals_)) + '\n';
        out += full + "_count " + std::to_string(acc::count(totals_)) + '\n';
    }

private:
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum>>
        totals_;
    quantile median_{acc::quantile_probability = 0.5};
    quantile p99_{acc::quantile_probability = 0.99};
};

std::string_view outcome_name(core::task_outcome outcome)
{
    constexpr std::array<std::string_view, 8> names = {
        "succeeded",       "failed",   "cannot_run", "refused_busy",
        "refused_leaving", "not_sent", "lost",       "cancelled"};
    return names.at(static_cast<std::size_t>(outcome));
}

} // namespace

struct metrics::state
{
    time_summary attempt_time;
    time_summary attempt_overhead;
    time_summary caller_time;
    std::map<std::string_view, std::uint64_t> outcomes;
    std::map<std::uint16_t, std::uint64_t> statuses;
};

metrics::metrics()
    : state_(std::make_unique<state>())
{
}

metrics::~metrics() = default;

void metrics::attempt_ended(core::duration elapsed,
                            core::attempt_ended const& attempt)
{
    ++state_->outcomes[outcome_name(attempt.outcome)];
    state_->attempt_time.add(elapsed);
    if (attempt.work_time)
    {
        state_->attempt_overhead.add(elapsed - *attempt.work_time);
    }
}

void metrics::caller_answered(core::duration elapsed, std::uint16_t status)
{
    ++state_->statuses[status];
    state_->caller_time.add(elapsed);
}

std::string metrics::render(core::dispatcher_counts const& counts,
                            process_stats const& process) const
{
    std::string out;
    detail::add_value(out, "gauge", "ready", process.ready ? 1 : 0);
    detail::add_value(out, "gauge", "caller_connections",
                      process.caller_connections);
    detail::add_value(out, "gauge", "open_request_bytes",
                      process.open_request_bytes);
    append_removals(out, process.request_removals);
    detail::add_value(out, "gauge", "peer_connections",
                      process.peer_connections);
    detail::add_value(out, "gauge", "settings_version",
                      process.settings_version);
    detail::add_value(out, "counter", "log_lines_dropped_total",
                      process.log_lines_dropped);
    detail::add_value(out, "gauge", "submissions", counts.submissions);
    detail::add_value(out, "gauge", "open_jobs", counts.open_jobs);
    detail::add_value(out, "gauge", "waiting_tasks", counts.waiting_tasks);
    detail::add_value(out, "gauge", "open_attempts", counts.open_attempts);
    detail::add_value(out, "gauge", "held_responses", counts.held_responses);
    detail::add_value(out, "counter", "jobs_accepted_total",
                      counts.jobs_accepted);
    detail::add_value(out, "counter", "jobs_refused_total",
                      counts.jobs_refused);
    detail::add_value(out, "counter", "jobs_done_total", counts.jobs_done);
    detail::add_value(out, "counter", "jobs_failed_total", counts.jobs_failed);
    detail::add_value(out, "counter", "jobs_cancelled_total",
                      counts.jobs_cancelled);
    detail::add_value(out, "counter", "resubmissions_total",
                      counts.resubmissions);
    detail::add_value(out, "counter", "first_starts_total",
                      counts.first_starts);
    detail::add_value(out, "counter", "retries_total", counts.retries);
    detail::add_value(out, "counter", "hedges_total", counts.hedges);
    detail::add_value(out, "counter", "refused_starts_total",
                      counts.refused_starts);
    detail::add_value(out, "counter", "lost_attempts_total",
                      counts.lost_attempts);
    detail::add_value(out, "counter", "cancels_total", counts.cancels);
    detail::add_value(out, "counter", "late_answers_total",
                      counts.late_answers);
    detail::add_value(out, "counter", "forwards_total", counts.forwards);
    out += "# TYPE goldcrestgate_attempts_total counter\n";
    for (auto const& [outcome, count] : state_->outcomes)
    {
        out += "goldcrestgate_attempts_total{outcome=\"" +
               std::string{outcome} + "\"} " + std::to_string(count) + '\n';
    }
    out += "# TYPE goldcrestgate_responses_total counter\n";
    for (auto const& [status, count] : state_->statuses)
    {
        out += "goldcrestgate_responses_total{status=\"" +
               std::to_string(status) + "\"} " + std::to_string(count) + '\n';
    }
    state_->attempt_time.render("goldcrestgate_attempt_seconds", out);
    state_->attempt_overhead.render("goldcrestgate_attempt_overhead_seconds",
                                    out);
    state_->caller_time.render("goldcrestgate_response_seconds", out);
    return out;
}

} // namespace goldcrestgate::app
