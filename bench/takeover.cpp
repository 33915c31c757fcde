// Measures what an owner's takeover of one job costs by the number of its
// groups and by the entries of their `after`.

#include "goldcrestgate/core/leasing/job_scheduler.hpp"

#include <benchmark/benchmark.h>

#include <chrono>
#include <cstdint>
#include <utility>
#include <variant>
#include <vector>

namespace
{

using namespace goldcrestgate::core;

constexpr executor_id host{1};
constexpr instance_id origin{1};
constexpr client_job_id job_id{1};
constexpr std::uint64_t incarnation = 1;
constexpr fencing_token token{1};
constexpr executor_clock host_clock{10'000};
constexpr time_point start_time{std::chrono::seconds{100}};

/// Number of earlier groups that each group comes after.
enum class graph_shape : std::uint8_t
{
    chain,
    full
};

leased_job make_job(std::uint16_t groups, graph_shape shape)
{
    leased_job job;
    job.id = job_id;
    job.service = "desk";
    job.objective = std::chrono::hours{1};
    job.time_limit = std::chrono::hours{1};
    for (std::uint16_t i = 0; i < groups; ++i)
    {
        auto& group = job.groups.emplace_back();
        group.task_count = 1;
        group.each_task = {1'000, 64, 0};
        group.estimate = std::chrono::milliseconds{10};
        std::uint16_t const first =
            shape == graph_shape::full || i == 0 ? 0 : i - 1;
        for (std::uint16_t earlier = first; earlier < i; ++earlier)
        {
            group.after.push_back(earlier);
        }
    }
    return job;
}

/// Returns a scheduler that has just claimed one executor, and the claim's
/// order.
std::pair<job_scheduler, order_id> make_successor()
{
    job_scheduler scheduler{scheduler_limits{}};
    std::vector<scheduler_action> out;
    executor_description description;
    description.name = "e1";
    description.address = "127.0.0.1:9001";
    description.service = "desk";
    description.domain = domain_id{1};
    description.capacity = {64'000, 65'536, 0};
    description.incarnation = incarnation;
    scheduler.list(host, description, start_time, out);
    scheduler.take_over(token, true, start_time, out);
    order_id claim{};
    for (auto const& action : out)
    {
        if (auto const* const poll = std::get_if<poll_executor>(&action))
        {
            claim = poll->order;
        }
    }
    return {std::move(scheduler), claim};
}

poll_answer make_answer(order_id claim)
{
    poll_answer answer;
    answer.order = claim;
    answer.executor = host;
    answer.outcome = order_outcome::accepted;
    answer.clock = host_clock;
    answer.incarnation = incarnation;
    return answer;
}

void take_over(benchmark::State& state, graph_shape shape, bool ends_listed)
{
    auto const groups = static_cast<std::uint16_t>(state.range(0));
    auto const job = make_job(groups, shape);
    auto const last = static_cast<std::uint16_t>(groups - 1);
    for (auto _ : state)
    {
        state.PauseTiming();
        auto [scheduler, claim] = make_successor();
        auto answer = make_answer(claim);
        answer.running.push_back({{{job_id, last, 0}, 1}, {}});
        for (std::uint16_t i = 0; ends_listed && i < last; ++i)
        {
            answer.finished.push_back(
                {std::uint64_t{i} + 1, {{job_id, i, 0}, 1}, run_end::done});
        }
        std::vector<scheduler_action> out;
        job_offer const offered{job, {}, true};
        state.ResumeTiming();
        scheduler.offer(origin, offered, start_time, out);
        scheduler.poll_answered(answer, start_time, out);
        benchmark::DoNotOptimize(out);
    }
}

void run_in_chain(benchmark::State& state)
{
    take_over(state, graph_shape::chain, false);
}

void run_in_full_graph(benchmark::State& state)
{
    take_over(state, graph_shape::full, false);
}

void ends_in_chain(benchmark::State& state)
{
    take_over(state, graph_shape::chain, true);
}

void ends_in_full_graph(benchmark::State& state)
{
    take_over(state, graph_shape::full, true);
}

void set_sizes(benchmark::internal::Benchmark* measured)
{
    for (std::int64_t const groups : {10, 40, 200, 1'000})
    {
        measured->Arg(groups);
    }
    measured->Unit(benchmark::kMicrosecond);
}

BENCHMARK(run_in_chain)->Apply(set_sizes);
BENCHMARK(run_in_full_graph)->Apply(set_sizes);
BENCHMARK(ends_in_chain)->Apply(set_sizes);
BENCHMARK(ends_in_full_graph)->Apply(set_sizes);

} // namespace

BENCHMARK_MAIN();
