#include "goldcrestgate/core/leasing/admission.hpp"
#include "goldcrestgate/core/leasing/detail/scale_duration.hpp"
#include "goldcrestgate/core/leasing/detail/scheduler_state.hpp"
#include "goldcrestgate/core/leasing/placement.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

namespace goldcrestgate::core
{

std::string_view outcome_name(job_outcome outcome)
{
    switch (outcome)
    {
    case job_outcome::completed:
        return "completed";
    case job_outcome::failed:
        return "failed";
    case job_outcome::rejected:
        return "rejected";
    case job_outcome::abandoned:
        return "abandoned";
    case job_outcome::not_owner:
        return "not_owner";
    }
    return "abandoned";
}

namespace detail
{

namespace
{

/// A verdict is repeated for this long. Resubmissions come 1.3 s after a lost
/// answer at the earliest, and one more attempt may follow.
constexpr duration verdict_memory = std::chrono::seconds{4};

/// Share of an executor that tasks of usual sizes fill.
constexpr double usable_share = 0.85;

double cpu_work(task_group const& group)
{
    return static_cast<double>(group.estimate.count()) / 1e6 *
           group.each_task.cpu_millicores;
}

/// The moment at which the job must begin to meet its objective.
time_point latest_start(job_record const& job)
{
    return job.due - job.chain;
}

/// Opens the groups whose earlier groups are done.
void open_groups(job_record& job)
{
    for (std::size_t i = 0; i < job.groups.size(); ++i)
    {
        auto const& needed = job.job.groups[i].after;
        bool const open =
            std::ranges::all_of(needed,
                                [&job](std::uint16_t earlier)
                                {
                                    return job.groups[earlier].done ==
                                           job.groups[earlier].tasks.size();
                                });
        if (!open)
        {
            continue;
        }
        for (auto& task : job.groups[i].tasks)
        {
            if (task.phase == task_phase::blocked)
            {
                task.phase = task_phase::waiting;
                ++job.groups[i].waiting;
            }
        }
    }
}

bool needs_fast(job_record const& job, time_point now, double slowest)
{
    placement_times times;
    times.estimate = job.chain;
    times.to_limit = job.limit - now;
    return needs_fast_executor(times, slowest);
}

bool is_complete(job_record const& job)
{
    return std::ranges::all_of(job.groups,
                               [](group_record const& group)
                               {
                                   return group.done == group.tasks.size();
                               });
}

bool has_waiting(job_record const& job)
{
    return std::ranges::any_of(job.groups,
                               [](group_record const& group)
                               {
                                   return group.waiting > 0;
                               });
}

bool has_label(executor_description const& description,
               std::string const& label)
{
    return label.empty() || std::ranges::find(description.labels, label) !=
                                description.labels.end();
}

/// Jobs that only fast executors can end in time come first, as the others
/// have more executors to choose from; then jobs that can be on time, those
/// that must begin first before the others; then late ones, those whose work
/// has begun before the others.
struct serving_order
{
    time_point now;
    double slowest;

    [[nodiscard]] std::pair<int, time_point> key(job_record const& job) const
    {
        auto const start = latest_start(job);
        if (start < now)
        {
            return {job.started ? 2 : 3, job.due};
        }
        return {needs_fast(job, now, slowest) ? 0 : 1, start};
    }

    bool operator()(job_record const* left, job_record const* right) const
    {
        return key(*left) < key(*right);
    }
};

} // namespace

// --- admission ---

double scheduler_state::usable_millicores(time_point now, double slowest) const
{
    double total = 0.0;
    for (auto const& [id, executor] : executors)
    {
        if (accepts(executor, now) && speeds.slowdown(id) <= slowest)
        {
            total += executor.description.capacity.cpu_millicores /
                     speeds.slowdown(id);
        }
    }
    return total * usable_share;
}

double scheduler_state::waiting_work(waiting_scope const& scope) const
{
    double work = 0.0;
    for (auto const& [id, job] : jobs)
    {
        bool const restricted =
            needs_fast(job, scope.now, scope.slowest_slowdown);
        bool const counts =
            scope.only_restricted
                ? restricted
                : restricted || latest_start(job) <= scope.before;
        if (!counts)
        {
            continue;
        }
        for (std::size_t i = 0; i < job.groups.size(); ++i)
        {
            work += job.groups[i].waiting * cpu_work(job.job.groups[i]);
        }
    }
    return work;
}

duration scheduler_state::expected_wait(time_point now) const
{
    constexpr double longest_wait_s = 60.0;
    constexpr double microseconds = 1e6;
    double const slowest = std::numeric_limits<double>::max();
    double const usable = std::max(usable_millicores(now, slowest), 1.0);
    double const wait_s =
        waiting_work({now, time_point::max(), 1.0, false}) / usable;
    return duration{
        std::llround(std::min(wait_s, longest_wait_s) * microseconds)};
}

std::pair<double, double> scheduler_state::slowdown_range(time_point now) const
{
    double fastest = std::numeric_limits<double>::max();
    double slowest = 0.0;
    for (auto const& [id, executor] : executors)
    {
        if (accepts(executor, now))
        {
            fastest = std::min(fastest, speeds.slowdown(id));
            slowest = std::max(slowest, speeds.slowdown(id));
        }
    }
    return slowest > 0.0 ? std::pair{fastest, slowest} : std::pair{1.0, 1.0};
}

void scheduler_state::offer(instance_id origin, job_offer const& offered,
                            scheduler_turn& turn)
{
    auto const id = offered.job.id;
    if (!owner)
    {
        turn.out.emplace_back(
            report_verdict{origin, {id, job_outcome::not_owner, {}}});
        return;
    }
    if (auto const known = jobs.find(id); known != jobs.end())
    {
        known->second.origin = origin;
        known->second.unwanted_at.reset();
        return;
    }
    if (auto const ended = past.find(id); ended != past.end())
    {
        turn.out.emplace_back(report_verdict{origin, ended->second.verdict});
        return;
    }
    job_record job;
    job.job = offered.job;
    job.origin = origin;
    job.due = turn.now - offered.elapsed + offered.job.objective;
    job.limit = turn.now - offered.elapsed + offered.job.time_limit;
    job.chain = critical_path(offered.job.groups);
    job.started = offered.resumed;
    job.awaits_claims = offered.resumed && !claims_settled(turn.now);
    double own_work = 0.0;
    for (auto const& group : offered.job.groups)
    {
        job.groups.emplace_back().tasks.resize(group.task_count);
        own_work += group.task_count * cpu_work(group);
    }
    open_groups(job);
    adopt_runs(job, turn);

    auto const [fastest, slowest] = slowdown_range(turn.now);
    bool const restricted = needs_fast(job, turn.now, slowest);
    // The slowest executors that may still end the job in time.
    double const slowest_allowed =
        job.chain > duration{}
            ? static_cast<double>((job.limit - turn.now).count()) /
                  (static_cast<double>(job.chain.count()) * hopeless_margin)
            : slowest;
    admission_input input;
    input.time_to_objective = job.due - turn.now;
    input.time_to_limit = job.limit - turn.now;
    input.fastest_run = scale_duration(job.chain, fastest * hopeless_margin);
    input.work_ahead =
        waiting_work({turn.now, latest_start(job), slowest, restricted});
    input.own_work = own_work;
    input.total_millicores =
        usable_millicores(turn.now, std::max(slowest_allowed, fastest));
    input.room_now = input.work_ahead <= 0.0;
    auto const verdict = admit(input);
    auto& stored = jobs.emplace(id, std::move(job)).first->second;
    if (!verdict.admitted && !stored.started)
    {
        close(id, job_outcome::rejected, verdict.retry_after, "overloaded",
              turn);
    }
}

// --- placement ---

bool scheduler_state::accepts(executor_record const& executor,
                              time_point now) const
{
    bool const size_unknown =
        std::ranges::any_of(executor.runs,
                            [](run_record const& run)
                            {
                                return run.amounts == resource_amounts{};
                            });
    return executor.claimed && executor.clock && executor.listed &&
           now >= executor.usable_at && !executor.silent && !executor.recount &&
           !size_unknown && !executor.description.draining &&
           executor.health.accepts(now, executor.runs.size());
}

std::size_t scheduler_state::waiting_tasks() const
{
    std::size_t count = 0;
    for (auto const& [id, job] : jobs)
    {
        for (auto const& group : job.groups)
        {
            count += group.waiting;
        }
    }
    return count;
}

void scheduler_state::place_waiting(scheduler_turn& turn)
{
    std::vector<job_record*> order;
    for (auto& [id, job] : jobs)
    {
        if (!job.awaits_claims && !job.unwanted_at && has_waiting(job))
        {
            order.push_back(&job);
        }
    }
    if (order.empty())
    {
        return;
    }
    auto const [fastest, slowest] = slowdown_range(turn.now);
    std::ranges::sort(order, serving_order{turn.now, slowest});
    for (auto* const job : order)
    {
        place_job(*job, fastest, turn);
    }
}

void scheduler_state::place_job(job_record& job, double fastest,
                                scheduler_turn& turn)
{
    for (std::size_t group = 0; group < job.groups.size(); ++group)
    {
        auto const& tasks = job.groups[group].tasks;
        for (std::size_t index = 0; index < tasks.size(); ++index)
        {
            if (tasks[index].phase != task_phase::waiting)
            {
                continue;
            }
            leased_task const task{job.job.id,
                                   static_cast<std::uint16_t>(group),
                                   static_cast<std::uint16_t>(index)};
            // The tasks of a group are equal, so the others find none either.
            if (!place_task(job, task, fastest, turn))
            {
                break;
            }
        }
    }
}

bool scheduler_state::place_task(job_record& job, leased_task const& key,
                                 double fastest, scheduler_turn& turn)
{
    auto const& wanted = job.job.groups[key.group];
    auto const& task = job.groups[key.group].tasks[key.index];
    std::vector<placement_candidate> candidates;
    for (auto& [id, executor] : executors)
    {
        if (!accepts(executor, turn.now) ||
            executor.description.service != job.job.service ||
            !has_label(executor.description, wanted.required_label) ||
            (task.failed_on == id && executors.size() > 1))
        {
            continue;
        }
        auto free = executor.description.capacity;
        free -= executor.used;
        candidates.push_back({id, free, speeds.slowdown(id)});
    }
    placement_times times;
    times.estimate = wanted.estimate;
    times.to_objective = job.due - turn.now;
    times.to_limit = job.limit - turn.now;
    times.waited = turn.now - (job.limit - job.job.time_limit);
    times.fastest_slowdown = fastest;
    auto const choice = choose_executor(candidates, wanted.each_task, times);
    if (!choice)
    {
        return false;
    }
    scheduling_note note{.event = "task_placed",
                         .job = key.job,
                         .run = task_run{key, task.last_execution + 1},
                         .executor = choice->executor};
    note.reason = choice->reason == placement_reason::meets_objective
                      ? "meets_objective"
                      : "earliest_finish";
    note.slack = times.to_objective;
    note.run_time = choice->expected_run;
    note.count = choice->candidates;
    turn.out.emplace_back(note);
    start(job, key.group, key.index, executors.at(choice->executor),
          choice->expected_run, turn);
    return true;
}

// --- ends ---

void scheduler_state::close(client_job_id id, job_outcome outcome,
                            duration retry_after, std::string_view reason,
                            scheduler_turn& turn)
{
    auto const node = jobs.extract(id);
    if (node.empty())
    {
        return;
    }
    auto const& job = node.mapped();
    if (outcome == job_outcome::rejected && job.started)
    {
        outcome = job_outcome::abandoned;
    }
    for (auto& [executor_key, executor] : executors)
    {
        for (auto& run : executor.runs)
        {
            if (run.run.task.job == id)
            {
                run.orphan_until = turn.now;
                request_stop(executor, run, turn);
            }
        }
    }
    job_verdict const verdict{id, outcome, retry_after};
    turn.out.emplace_back(report_verdict{job.origin, verdict});
    scheduling_note note{.event = "job_ended", .job = id};
    note.reason = reason;
    note.slack = job.due - turn.now;
    note.run_time = retry_after;
    note.waiting = waiting_tasks();
    turn.out.emplace_back(note);
    if (outcome == job_outcome::completed || outcome == job_outcome::failed)
    {
        past[id] = {verdict, turn.now + verdict_memory};
    }
}

void scheduler_state::return_task(run_record const& run)
{
    auto const found = jobs.find(run.run.task.job);
    if (run.orphan_until || found == jobs.end())
    {
        return;
    }
    auto& group = found->second.groups[run.run.task.group];
    auto& task = group.tasks[run.run.task.index];
    if (task.phase == task_phase::active)
    {
        task.phase = task_phase::waiting;
        ++group.waiting;
    }
}

// A task that fails on two executors is at fault itself; the executors then
// keep their good name.
void scheduler_state::blame(executor_record& executor, task_record& task,
                            time_point now)
{
    if (!task.failed_on || executor.health.suspect())
    {
        executor.health.struck(now);
        return;
    }
    auto const earlier = executors.find(*task.failed_on);
    if (earlier != executors.end())
    {
        earlier->second.health.forgive();
    }
}

void scheduler_state::task_ended(executor_record& executor,
                                 run_record const& run, run_end end,
                                 scheduler_turn& turn)
{
    auto const spent = turn.now - run.sent_at;
    if (end == run_end::done)
    {
        executor.health.succeeded();
        speeds.observe(executor.id, run.estimate, spent);
    }
    auto const found = jobs.find(run.run.task.job);
    if (run.orphan_until || found == jobs.end())
    {
        if (end == run_end::failed)
        {
            executor.health.struck(turn.now);
        }
        return;
    }
    auto& job = found->second;
    auto& group = job.groups[run.run.task.group];
    auto& task = group.tasks[run.run.task.index];
    if (end == run_end::failed)
    {
        blame(executor, task, turn.now);
    }
    if (task.phase != task_phase::active)
    {
        return;
    }
    if (end == run_end::done)
    {
        task.phase = task_phase::done;
        ++group.done;
        open_groups(job);
        if (is_complete(job))
        {
            close(run.run.task.job, job_outcome::completed, {}, "completed",
                  turn);
        }
        return;
    }
    task.phase = task_phase::waiting;
    ++group.waiting;
    if (end != run_end::failed)
    {
        return;
    }
    scheduling_note note{.event = "task_failed",
                         .job = run.run.task.job,
                         .run = run.run,
                         .executor = executor.id};
    note.run_time = spent;
    note.count = ++task.failures;
    turn.out.emplace_back(note);
    task.failed_on = executor.id;
    if (task.failures >= job.job.max_attempts)
    {
        close(run.run.task.job, job_outcome::failed, {}, "attempts_used", turn);
    }
}

void scheduler_state::expire_jobs(scheduler_turn& turn)
{
    std::erase_if(past,
                  [&turn](auto const& entry)
                  {
                      return entry.second.forget_at <= turn.now;
                  });
    double const fastest = slowdown_range(turn.now).first;
    std::vector<std::pair<client_job_id, std::string_view>> ended;
    for (auto& [id, job] : jobs)
    {
        if (job.awaits_claims && claims_settled(turn.now))
        {
            job.awaits_claims = false;
            adopt_runs(job, turn);
        }
        auto const finish =
            turn.now + scale_duration(job.chain, fastest * hopeless_margin);
        if (job.unwanted_at && *job.unwanted_at <= turn.now)
        {
            ended.emplace_back(id, "caller_left");
        }
        else if (turn.now >= job.limit)
        {
            ended.emplace_back(id, "time_limit");
        }
        else if (!job.started && finish > job.due)
        {
            ended.emplace_back(id, "objective_missed");
        }
    }
    auto const wait = ended.empty()
                          ? duration{}
                          : std::max<duration>(std::chrono::seconds{1},
                                               expected_wait(turn.now));
    for (auto const& [id, reason] : ended)
    {
        close(id, job_outcome::rejected, wait, reason, turn);
    }
}

} // namespace detail

} // namespace goldcrestgate::core
