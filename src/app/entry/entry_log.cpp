#include "goldcrestgate/app/entry/entry_log.hpp"

#include "platform/job_codec.hpp"

namespace goldcrestgate::app
{

namespace
{

std::int64_t to_ms(core::duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

log_level level_of(core::scheduler_log_event const& log_event)
{
    auto const event = log_event.event;
    bool const is_warning =
        event == "start_refused" || event == "stop_refused" ||
        event == "run_stalled" || event == "executor_silent" ||
        event == "executor_lost" || event == "ownership_given_up" ||
        event == "crash_counted" || event == "task_given_up" ||
        event == "start_accepted" ||
        (log_event.late && log_event.late->other_executor);
    return is_warning ? log_level::warning : log_level::info;
}

void add_late_run(log_line& line, core::late_run const& late,
                  executor_name_lookup const& name_of)
{
    line.text("given_up", core::given_up_name(late));
    if (late.since_sent)
    {
        line.number("since_sent_ms", to_ms(*late.since_sent));
    }
    line.flag("active_elsewhere", late.other_executor.has_value());
    if (late.other_executor)
    {
        line.text("other_executor", name_of(*late.other_executor))
            .number("other_execution", late.other_execution);
    }
}

void add_crash(log_line& line, core::crash_evidence const& crash)
{
    line.text("start", crash.start)
        .number("incarnation", static_cast<std::int64_t>(crash.incarnation))
        .number("crashes", static_cast<std::int64_t>(crash.crashes))
        .number("executors", static_cast<std::int64_t>(crash.executors))
        .number("other_crashes", static_cast<std::int64_t>(crash.other_crashes))
        .number("other_executors",
                static_cast<std::int64_t>(crash.other_executors));
}

} // namespace

std::string format_instance(core::instance_id id)
{
    constexpr unsigned byte_bits = 8;
    constexpr std::uint32_t byte_mask = 0xff;
    std::string text;
    for (unsigned i = 4; i > 0; --i)
    {
        text +=
            std::to_string((id.value() >> ((i - 1) * byte_bits)) & byte_mask);
        text += i > 1 ? "." : "";
    }
    return text;
}

log_line to_log_line(core::scheduler_log_event const& log_event,
                     executor_name_lookup const& name_of)
{
    log_line line{level_of(log_event), log_event.event};
    if (log_event.job != core::client_job_id{})
    {
        line.text("job", adapter::format_job_id(log_event.job));
    }
    if (log_event.run)
    {
        line.number("group", log_event.run->task.group)
            .number("task", log_event.run->task.index)
            .number("execution", log_event.run->execution);
    }
    if (log_event.executor)
    {
        line.text("executor", name_of(*log_event.executor));
    }
    if (!log_event.reason.empty())
    {
        line.text("reason", log_event.reason);
    }
    if (auto const& change = log_event.change)
    {
        line.text("source", change->source)
            .number("earlier_incarnation",
                    static_cast<std::int64_t>(change->earlier_incarnation))
            .number("incarnation",
                    static_cast<std::int64_t>(change->incarnation))
            .number("runs_kept", static_cast<std::int64_t>(change->runs_kept));
    }
    if (log_event.incarnation)
    {
        line.number("incarnation",
                    static_cast<std::int64_t>(*log_event.incarnation));
    }
    if (log_event.late)
    {
        add_late_run(line, *log_event.late, name_of);
    }
    if (log_event.crash)
    {
        add_crash(line, *log_event.crash);
    }
    if (log_event.caller_age)
    {
        line.number("caller_age_ms", to_ms(*log_event.caller_age));
    }
    return line.number("slack_ms", to_ms(log_event.slack))
        .number("run_ms", to_ms(log_event.run_time))
        .number("count", static_cast<std::int64_t>(log_event.count))
        .number("waiting", static_cast<std::int64_t>(log_event.waiting));
}

log_line to_log_line(core::executor_description const& description)
{
    log_line line{log_level::info, "executor_listed"};
    line.text("executor", description.name)
        .text("address", description.address)
        .flag("draining", description.draining)
        .number("incarnation",
                static_cast<std::int64_t>(description.incarnation));
    return line;
}

log_line to_log_line(core::send_withdrawal const& withdrawal)
{
    log_line line{log_level::info, "job_withdrawn"};
    line.text("job", adapter::format_job_id(withdrawal.withdrawal.job))
        .text("owner", format_instance(withdrawal.owner))
        .number("elapsed_ms", to_ms(withdrawal.withdrawal.elapsed))
        .number("repeats", withdrawal.repeats);
    return line;
}

log_line to_log_line(core::send_offer const& offer)
{
    auto const& job = offer.offer.job;
    std::int64_t tasks = 0;
    for (auto const& group : job.groups)
    {
        tasks += group.task_count;
    }
    log_line line{log_level::info, "job_offered"};
    line.text("job", adapter::format_job_id(job.id))
        .text("owner", format_instance(offer.owner))
        .text("reason", offer.reason)
        .text("service", job.service)
        .number("tasks", tasks)
        .number("cpu_millicores",
                job.groups.empty()
                    ? 0
                    : job.groups.front().each_task.cpu_millicores)
        .number("estimate_ms", to_ms(core::critical_path(job.groups)))
        .number("objective_ms", to_ms(job.objective))
        .number("time_limit_ms", to_ms(job.time_limit))
        .number("elapsed_ms", to_ms(offer.offer.elapsed))
        .flag("resumed", offer.offer.resumed);
    return line;
}

log_line to_log_line(core::answer_job const& answer, std::uint16_t status)
{
    log_line line{log_level::info, "job_answered"};
    line.text("job", adapter::format_job_id(answer.job))
        .number("status", status)
        .text("outcome", core::outcome_name(answer.outcome))
        .text("reason", answer.reason)
        .number("elapsed_ms", to_ms(answer.elapsed))
        .number("retry_after_ms", to_ms(answer.retry_after));
    if (answer.owner)
    {
        line.text("owner", format_instance(*answer.owner));
    }
    return line;
}

} // namespace goldcrestgate::app
