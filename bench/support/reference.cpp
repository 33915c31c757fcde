#include "support/reference.hpp"

#include "support/faults.hpp"

#include <algorithm>
#include <functional>
#include <numeric>
#include <optional>
#include <queue>
#include <set>
#include <tuple>
#include <vector>

namespace goldcrestgate::bench
{

namespace
{

constexpr core::duration round_trip = 2 * caller_delay + 2 * server_delay;

using slot_free_times =
    std::priority_queue<core::time_point, std::vector<core::time_point>,
                        std::greater<>>;

// A task waiting in the central queue. Tasks are served in ascending order of
// the members.
struct queued_task
{
    std::int64_t priority = 0;
    std::uint32_t job = 0;
    std::uint32_t task = 0;

    friend auto operator<=>(queued_task const&, queued_task const&) = default;
};

class central_queue
{
public:
    central_queue(workload const& work, reference_kind kind)
        : work_(work)
        , kind_(kind)
        , slots_(work.parameters.servers)
    {
        result_.task_responses.resize(work.tasks.size());
        result_.job_responses.resize(work.jobs.size());
        result_.job_ends.resize(work.jobs.size(), job_end::done);
        for (auto& slots : slots_)
        {
            for (std::uint32_t i = 0; i < work.parameters.slots; ++i)
            {
                slots.push(core::time_point{});
            }
        }
    }

    run_result run()
    {
        for (std::uint32_t job = 0; job < work_.jobs.size(); ++job)
        {
            if (kind_ != reference_kind::earliest_finish)
            {
                start_until(work_.jobs[job].submitted);
            }
            handle_arrival(job);
        }
        start_until(core::time_point::max());
        return std::move(result_);
    }

private:
    void handle_arrival(std::uint32_t job)
    {
        auto const& spec = work_.jobs[job];
        if (spec.impossible)
        {
            result_.job_ends[job] = job_end::failed;
            return;
        }
        std::int64_t priority = 0;
        for (std::uint32_t task = 0; task < spec.task_count; ++task)
        {
            priority += work_.tasks[spec.first_task + task].nominal.count();
        }
        for (std::uint32_t task = 0; task < spec.task_count; ++task)
        {
            if (kind_ == reference_kind::earliest_finish)
            {
                start({0, job, task}, choose_earliest(job, task));
                continue;
            }
            queue_.insert({kind_ == reference_kind::smallest_job ? priority : 0,
                           job, task});
        }
    }

    // Starts waiting tasks on the slots that become free before @a end.
    void start_until(core::time_point end)
    {
        while (!queue_.empty())
        {
            core::time_point next_start = core::time_point::max();
            for (std::uint32_t server = 0; server < slots_.size(); ++server)
            {
                auto const free_at = std::max(slots_[server].top(), now_);
                next_start = is_failing(server, free_at)
                                 ? next_start
                                 : std::min(next_start, free_at);
            }
            next_start = std::max(next_start, now_);
            if (next_start >= end)
            {
                break;
            }
            now_ = next_start;
            queued_task const first = *queue_.begin();
            queue_.erase(queue_.begin());
            start(first, choose_fastest(first));
        }
        now_ = std::max(now_, end);
    }

    [[nodiscard]] core::duration actual_work_time(queued_task task,
                                                  std::uint32_t server,
                                                  core::time_point start) const
    {
        return work_.work_time(task.job, task.task, server) *
               slowdown(work_.parameters, server, start);
    }

    [[nodiscard]] std::uint32_t choose_fastest(queued_task task) const
    {
        std::uint32_t best = 0;
        core::duration best_work = core::duration::max();
        for (std::uint32_t server = 0; server < slots_.size(); ++server)
        {
            if (slots_[server].top() > now_ || is_failing(server, now_))
            {
                continue;
            }
            auto const needed = actual_work_time(task, server, now_);
            if (needed < best_work)
            {
                best = server;
                best_work = needed;
            }
        }
        return best;
    }

    [[nodiscard]] std::uint32_t choose_earliest(std::uint32_t job,
                                                std::uint32_t task) const
    {
        std::uint32_t best = 0;
        core::time_point best_finish = core::time_point::max();
        for (std::uint32_t server = 0; server < slots_.size(); ++server)
        {
            auto const begin =
                std::max(slots_[server].top(), work_.jobs[job].submitted);
            auto const finish =
                begin + actual_work_time({0, job, task}, server, begin);
            if (finish < best_finish && !is_failing(server, begin))
            {
                best = server;
                best_finish = finish;
            }
        }
        return best;
    }

    [[nodiscard]] bool is_failing(std::uint32_t server,
                                  core::time_point now) const
    {
        return fails_everything(work_.parameters, server, now);
    }

    void start(queued_task task, std::uint32_t server)
    {
        auto const& spec = work_.jobs[task.job];
        auto const begin = std::max({slots_[server].top(), spec.submitted,
                                     kind_ == reference_kind::earliest_finish
                                         ? core::time_point{}
                                         : now_});
        auto finish = begin + actual_work_time(task, server, begin);
        auto const cancel_time = fault_start(work_.parameters);
        if (is_cancelled(work_, task.job) && finish > cancel_time)
        {
            result_.job_ends[task.job] = job_end::cancelled;
            finish = std::min(finish, std::max(begin, cancel_time));
        }
        else
        {
            record_response(task, finish);
        }
        slots_[server].pop();
        slots_[server].push(finish);
    }

    void record_response(queued_task task, core::time_point finish)
    {
        auto const& spec = work_.jobs[task.job];
        auto const response = finish - spec.submitted + round_trip;
        result_.task_responses[spec.first_task + task.task] = response;
        auto& job_response = result_.job_responses[task.job];
        job_response = std::max(job_response, response);
    }

    workload const& work_;
    reference_kind kind_;
    std::vector<slot_free_times> slots_;
    std::set<queued_task> queue_;
    core::time_point now_;
    run_result result_;
};

double total_response(run_result const& result)
{
    double sum = 0.0;
    for (auto const response : result.task_responses)
    {
        sum += static_cast<double>(response.count());
    }
    return sum;
}

} // namespace

run_result run_reference(workload const& work, reference_kind kind)
{
    return central_queue{work, kind}.run();
}

run_result run_best_reference(workload const& work)
{
    auto fastest = run_reference(work, reference_kind::fastest_free);
    auto earliest = run_reference(work, reference_kind::earliest_finish);
    return total_response(earliest) < total_response(fastest)
               ? std::move(earliest)
               : std::move(fastest);
}

} // namespace goldcrestgate::bench
