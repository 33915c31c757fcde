#include "support/random.hpp"

#include "goldcrestgate/core/admission/admission_queue.hpp"
#include "goldcrestgate/core/leasing/job_scheduler.hpp"
#include "goldcrestgate/core/routing/router.hpp"

#include <benchmark/benchmark.h>

#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace
{

using namespace goldcrestgate;

constexpr std::uint32_t slots_per_server = 8;
constexpr std::uint32_t service_count = 12;
constexpr std::uint32_t largest_job_tasks = 1800;
constexpr core::duration declared_run_time = std::chrono::milliseconds{250};

struct running_task
{
    core::server_id server;
    core::service_id service;
};

// A router in a steady state: 80% of the slots are in use, and one task ends
// for each task that starts.
class busy_router
{
public:
    explicit busy_router(std::uint32_t servers)
    {
        for (std::uint32_t i = 0; i < servers; ++i)
        {
            router_.add_server(core::server_id{i}, slots_per_server);
        }
        for (std::uint32_t i = 0; i < servers * slots_per_server * 4 / 5; ++i)
        {
            start_task();
        }
        for (std::uint32_t i = 0; i < servers * 200; ++i)
        {
            end_oldest_task();
            start_task();
        }
    }

    void start_task()
    {
        core::service_id const service{random_.below(service_count)};
        core::task_demand const demand{
            service, declared_run_time, false, {}, {}};
        auto const placed = router_.place(demand, now_);
        auto const* const chosen = std::get_if<core::placement>(&placed);
        if (chosen != nullptr)
        {
            router_.task_started(chosen->server, service, declared_run_time,
                                 now_);
            running_.push_back({chosen->server, service});
        }
    }

    void end_oldest_task()
    {
        now_ += std::chrono::microseconds{100};
        running_task const oldest = running_.front();
        running_.pop_front();
        double const speed = 1.0 + oldest.server.value() % 7 * 0.5;
        auto const work_time = core::duration{static_cast<std::int64_t>(
            random_.uniform(0.6, 1.6) * 250'000.0 / speed)};
        router_.task_ended(oldest.server, oldest.service, declared_run_time,
                           core::task_outcome::succeeded, work_time,
                           std::nullopt, now_);
    }

    [[nodiscard]] std::uint64_t steps() const
    {
        return router_.steps();
    }

private:
    core::router router_;
    std::deque<running_task> running_;
    bench::random_source random_{1};
    core::time_point now_;
};

// Times start decisions only. Batches keep the cost of reading the clock small;
// the task ends between them are not timed.
void start_decision(benchmark::State& state)
{
    constexpr int batch = 64;
    busy_router router{static_cast<std::uint32_t>(state.range(0))};
    for (auto _ : state)
    {
        for (int i = 0; i < batch; ++i)
        {
            router.end_oldest_task();
        }
        auto const begin = std::chrono::steady_clock::now();
        for (int i = 0; i < batch; ++i)
        {
            router.start_task();
        }
        std::chrono::duration<double> const elapsed =
            std::chrono::steady_clock::now() - begin;
        state.SetIterationTime(elapsed.count() / batch);
    }
}

// Times one start decision together with the router's bookkeeping for the start
// of one task and the end of another.
void start_and_end(benchmark::State& state)
{
    busy_router router{static_cast<std::uint32_t>(state.range(0))};
    auto const before = router.steps();
    for (auto _ : state)
    {
        router.end_oldest_task();
        router.start_task();
    }
    state.counters["steps"] = static_cast<double>(router.steps() - before) /
                              static_cast<double>(state.iterations());
}

core::waiting_task make_task(std::uint64_t job, std::uint32_t task)
{
    core::submission_id const submission{
        {core::domain_id{1}, core::instance_id{1}, core::incarnation{1}}, job};
    return {{submission, core::task_index{static_cast<std::uint16_t>(task)}},
            core::service_id{0},
            core::team_id{static_cast<std::uint32_t>(job % 43)},
            core::urgency::normal,
            declared_run_time,
            core::time_point{std::chrono::seconds{60}},
            core::time_point{},
            largest_job_tasks};
}

// Times one push and one pop with 43 jobs of 1,800 tasks in the queue.
void push_and_pop(benchmark::State& state)
{
    core::admission_queue queue;
    for (std::uint64_t job = 0; job < 43; ++job)
    {
        for (std::uint32_t task = 0; task < largest_job_tasks; ++task)
        {
            queue.push(make_task(job, task));
        }
    }
    for (auto _ : state)
    {
        auto task = queue.pop(core::time_point{});
        benchmark::DoNotOptimize(task);
        queue.push(*task);
    }
}

// Times the cancellation of one job of 1,800 tasks; its pushes are not timed.
void cancel_large_job(benchmark::State& state)
{
    core::admission_queue queue;
    for (std::uint64_t job = 0; job < 43; ++job)
    {
        queue.push(make_task(job, 0));
    }
    for (auto _ : state)
    {
        state.PauseTiming();
        for (std::uint32_t task = 0; task < largest_job_tasks; ++task)
        {
            queue.push(make_task(100, task));
        }
        state.ResumeTiming();
        queue.cancel(make_task(100, 0).task.submission);
    }
}

// An owner of executors of 16 cores with two tasks of 6 cores each, for which
// 100 jobs of 12 cores and 100 of 6 cores wait.
class busy_owner
{
public:
    busy_owner(std::uint32_t executors, std::uint32_t reservations)
        : scheduler_(make_limits(reservations))
    {
        for (std::uint32_t i = 1; i <= executors; ++i)
        {
            core::executor_description description;
            description.name = "e" + std::to_string(i);
            description.address = "127.0.0.1:" + std::to_string(i);
            description.service = "desk";
            description.domain = core::domain_id{1};
            description.capacity = {16'000, 65'536, 0};
            description.incarnation = 1;
            scheduler_.list(core::executor_id{i}, description, now_, actions_);
        }
        scheduler_.take_over(core::fencing_token{1}, true, now_, actions_);
        answer_polls();
        for (std::uint32_t i = 0; i < 2 * executors; ++i)
        {
            offer(6'000, std::chrono::milliseconds{50 + i * 37 % 101});
        }
        for (int i = 0; i < 100; ++i)
        {
            offer(12'000, std::chrono::milliseconds{100});
            offer(6'000, std::chrono::milliseconds{100});
        }
    }

    void run_placement_round()
    {
        actions_.clear();
        scheduler_.suspend(false, now_, actions_);
    }

    [[nodiscard]] core::scheduler_load load() const
    {
        return scheduler_.load(now_);
    }

private:
    static core::scheduler_limits make_limits(std::uint32_t reservations)
    {
        core::scheduler_limits limits;
        limits.reservations = reservations;
        return limits;
    }

    void answer_polls()
    {
        auto const sent = std::exchange(actions_, {});
        for (auto const& action : sent)
        {
            if (auto const* poll = std::get_if<core::poll_executor>(&action))
            {
                core::poll_answer answer;
                answer.order = poll->order;
                answer.executor = poll->executor;
                answer.outcome = core::order_outcome::accepted;
                answer.clock = core::executor_clock{1};
                answer.incarnation = 1;
                scheduler_.poll_answered(answer, now_, actions_);
            }
        }
    }

    void offer(std::uint32_t millicores, core::duration estimate)
    {
        core::leased_job job;
        job.id = core::client_job_id{++last_id_};
        job.service = "desk";
        job.objective = std::chrono::hours{1};
        job.time_limit = std::chrono::hours{1};
        auto& group = job.groups.emplace_back();
        group.task_count = 1;
        group.each_task = {millicores, 64, 0};
        group.estimate = estimate;
        scheduler_.offer(core::instance_id{1}, {job, {}, false}, now_,
                         actions_);
    }

    core::job_scheduler scheduler_;
    core::time_point now_{std::chrono::seconds{10}};
    std::vector<core::scheduler_action> actions_;
    std::uint64_t last_id_ = 0;
};

// Times one placement round in which no task can start.
void placement_round(benchmark::State& state)
{
    busy_owner owner{static_cast<std::uint32_t>(state.range(0)),
                     static_cast<std::uint32_t>(state.range(1))};
    for (auto _ : state)
    {
        owner.run_placement_round();
    }
    auto const load = owner.load();
    state.counters["waiting"] = static_cast<double>(load.waiting_tasks);
    state.counters["reservations"] = static_cast<double>(load.reservations);
}

} // namespace

BENCHMARK(start_decision)->Arg(50)->Arg(677)->UseManualTime();
BENCHMARK(start_and_end)->Arg(50)->Arg(677);
BENCHMARK(push_and_pop);
BENCHMARK(cancel_large_job)->Iterations(1000);
BENCHMARK(placement_round)->ArgsProduct({{120, 350, 3000}, {0, 8, 64}});

BENCHMARK_MAIN();
