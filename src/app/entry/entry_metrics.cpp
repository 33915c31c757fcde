#include "goldcrestgate/app/entry/entry_metrics.hpp"

#include "goldcrestgate/app/detail/metric_text.hpp"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <map>
#include <utility>

namespace goldcrestgate::app
{

namespace
{

namespace acc = boost::accumulators;

/// Upper bounds of the histogram buckets; they cover the objectives of requests
/// with 60 ms to 1 s of work.
constexpr std::array bucket_bounds_seconds = {0.025, 0.05, 0.1, 0.16, 0.25, 0.4,
                                              0.6,   1.0,  1.5, 3.0,  10.0};

/// @brief A histogram of times in seconds.
class time_histogram
{
public:
    void observe(core::duration time)
    {
        double const seconds = std::chrono::duration<double>(time).count();
        totals_(seconds);
        for (std::size_t i = 0; i < bucket_bounds_seconds.size(); ++i)
        {
            if (seconds <= bucket_bounds_seconds[i])
            {
                ++buckets_[i];
            }
        }
    }

    void render(std::string const& name, std::string& out) const
    {
        auto const count = std::to_string(acc::count(totals_));
        out += "# TYPE " + name + " histogram\n";
        for (std::size_t i = 0; i < bucket_bounds_seconds.size(); ++i)
        {
            out += name + "_bucket{le=\"" +
                   std::to_string(bucket_bounds_seconds[i]) + "\"} " +
                   std::to_string(buckets_[i]) + '\n';
        }
        out += name + "_bucket{le=\"+Inf\"} " + count + '\n';
        out += name + "_sum " + std::to_string(acc::sum(totals_)) + '\n';
        out += name + "_count " + count + '\n';
    }

private:
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum>>
        totals_;
    std::array<std::uint64_t, bucket_bounds_seconds.size()> buckets_{};
};

using label_pair = std::pair<std::string_view, std::string_view>;

void append_counters(std::string& out, std::string_view name, label_pair labels,
                     std::map<label_pair, std::uint64_t> const& counts)
{
    std::string const full_name = "goldcrestgate_" + std::string{name};
    out += "# TYPE " + full_name + " counter\n";
    for (auto const& [values, count] : counts)
    {
        out += full_name + '{' + std::string{labels.first} + "=\"" +
               std::string{values.first} + "\"," + std::string{labels.second} +
               "=\"" + std::string{values.second} + "\"} " +
               std::to_string(count) + '\n';
    }
}

} // namespace

struct entry_metrics::state
{
    std::map<label_pair, std::uint64_t> answers;
    std::map<label_pair, std::uint64_t> decisions;
    std::map<label_pair, std::uint64_t> orders;
    std::map<label_pair, std::uint64_t> executor_losses;
    std::map<label_pair, std::uint64_t> late_runs;
    std::map<std::uint16_t, std::uint64_t> statuses;
    time_histogram response_time;
    time_histogram rejection_time;
};

entry_metrics::entry_metrics()
    : state_(std::make_unique<state>())
{
}

entry_metrics::~entry_metrics() = default;

void entry_metrics::count_answer(core::answer_job const& answer,
                                 std::uint16_t status)
{
    ++state_->answers[{core::outcome_name(answer.outcome), answer.reason}];
    ++state_->statuses[status];
    bool const is_rejection = answer.outcome == core::job_outcome::rejected;
    (is_rejection ? state_->rejection_time : state_->response_time)
        .observe(answer.elapsed);
}

void entry_metrics::count_refused_request(std::uint16_t status)
{
    ++state_->statuses[status];
}

void entry_metrics::count_decision(core::scheduler_log_event const& log_event)
{
    ++state_->decisions[{log_event.event, log_event.reason}];
    if (log_event.change)
    {
        ++state_->executor_losses[{log_event.reason, log_event.change->source}];
    }
    if (log_event.late)
    {
        ++state_
              ->late_runs[{core::given_up_name(*log_event.late),
                           log_event.late->other_executor ? "true" : "false"}];
    }
}

void entry_metrics::count_offer(core::send_offer const& offer)
{
    ++state_->decisions[{"job_offered", offer.reason}];
}

void entry_metrics::count_order_outcome(std::string_view order,
                                        core::order_outcome outcome)
{
    ++state_->orders[{order, core::outcome_name(outcome)}];
}

std::string entry_metrics::render(core::scheduler_load const& load,
                                  entry_stats const& instance_stats) const
{
    std::string out;
    detail::add_value(out, "gauge", "ready", instance_stats.ready ? 1 : 0);
    detail::add_value(out, "gauge", "owner", instance_stats.owner ? 1 : 0);
    detail::add_value(out, "gauge", "configuration_version",
                      instance_stats.configuration_version);
    if (instance_stats.configuration_age)
    {
        auto const age = std::chrono::duration_cast<std::chrono::milliseconds>(
            *instance_stats.configuration_age);
        detail::add_value(out, "gauge", "configuration_age_milliseconds",
                          static_cast<std::uint64_t>(age.count()));
    }
    detail::add_value(out, "gauge", "caller_connections",
                      instance_stats.caller_connections);
    detail::add_value(out, "gauge", "open_request_bytes",
                      instance_stats.open_request_bytes);
    append_removals(out, instance_stats.request_removals);
    detail::add_value(out, "gauge", "peer_connections",
                      instance_stats.peer_connections);
    detail::add_value(out, "gauge", "open_jobs", instance_stats.open_jobs);
    detail::add_value(out, "gauge", "open_job_bytes",
                      instance_stats.open_job_bytes);
    detail::add_value(out, "gauge", "owned_job_bytes",
                      instance_stats.owned_job_bytes);
    detail::add_value(out, "counter", "store_calls_total",
                      instance_stats.store_calls);
    detail::add_value(out, "counter", "log_lines_dropped_total",
                      instance_stats.log_lines_dropped);
    detail::add_value(out, "gauge", "owned_jobs", load.jobs);
    detail::add_value(out, "gauge", "waiting_tasks", load.waiting_tasks);
    detail::add_value(out, "gauge", "active_runs", load.active_runs);
    detail::add_value(out, "gauge", "reservations", load.reservations);
    detail::add_value(out, "gauge", "executors_listed", load.executors);
    detail::add_value(out, "gauge", "executors_claimed", load.claimed);
    detail::add_value(out, "gauge", "free_millicores", load.free_millicores);
    append_counters(out, "answers_total", {"outcome", "reason"},
                    state_->answers);
    append_counters(out, "decisions_total", {"event", "reason"},
                    state_->decisions);
    append_counters(out, "orders_total", {"order", "outcome"}, state_->orders);
    append_counters(out, "executor_losses_total", {"reason", "source"},
                    state_->executor_losses);
    append_counters(out, "late_runs_total", {"given_up", "active_elsewhere"},
                    state_->late_runs);
    out += "# TYPE goldcrestgate_responses_total counter\n";
    for (auto const& [status, count] : state_->statuses)
    {
        out += "goldcrestgate_responses_total{status=\"" +
               std::to_string(status) + "\"} " + std::to_string(count) + '\n';
    }
    state_->response_time.render("goldcrestgate_response_seconds", out);
    state_->rejection_time.render("goldcrestgate_rejection_seconds", out);
    return out;
}

} // namespace goldcrestgate::app
