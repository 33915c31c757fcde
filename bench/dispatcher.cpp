#include "goldcrestgate/core/dispatcher.hpp"

#include <benchmark/benchmark.h>

#include <chrono>
#include <deque>
#include <string>
#include <utility>
#include <vector>

// Measures the time that one task takes in the whole core: admission,
// placement, start record, result and answer. The run time of a task is virtual
// and not part of the result.

namespace
{

using namespace goldcrestgate::core;
using namespace std::chrono_literals;

constexpr instance_key self{domain_id{1}, instance_id{1}, incarnation{1}};
constexpr instance_key peer{domain_id{1}, instance_id{2}, incarnation{1}};
constexpr std::uint32_t server_slots = 8;

settings_ptr make_settings()
{
    auto view = std::make_shared<settings_view>();
    view->service_ids.emplace("desk.check", service_id{0});
    view->services.emplace_back();
    view->team_ids.emplace("inspection", team_id{0});
    view->teams.emplace_back();
    return view;
}

instance_list make_list(std::uint32_t servers, bool with_peer)
{
    instance_list list;
    for (std::uint32_t id = 1; id <= servers; ++id)
    {
        listed_instance entry;
        entry.kind = listed_kind::backend_server;
        entry.id = id;
        entry.domain = self.domain;
        entry.slots = server_slots;
        list.entries.push_back(entry);
    }
    if (with_peer)
    {
        listed_instance entry;
        entry.id = peer.instance.value();
        entry.domain = self.domain;
        list.entries.push_back(entry);
    }
    return list;
}

/// Stands in for the backend servers and a peer: answers the dispatcher's
/// actions with the events that they would send.
class simulated_environment
{
public:
    simulated_environment(std::uint32_t servers, bool with_peer)
        : core_(dispatcher_builder{}.self(self).build())
    {
        handle(settings_changed{make_settings()});
        handle(make_list(servers, with_peer));
        if (with_peer)
        {
            handle(peer_connected{peer});
            handle(make_heartbeat());
        }
    }

    submission_id mint_id()
    {
        handle(mint_ids{request_id{++requests_}, 1});
        std::size_t const begin = last_answer_.find("g1-");
        return *parse_submission_id(
            last_answer_.substr(begin, last_answer_.find('"', begin) - begin));
    }

    void run_job(job_request const& job)
    {
        handle(submit_job{request_id{++requests_}, mint_id(), job, 30s});
        while (!events_.empty())
        {
            event next = std::move(events_.front());
            events_.pop_front();
            handle(std::move(next));
        }
        now_ += 1ms;
    }

    [[nodiscard]] dispatcher_counts counts() const
    {
        return core_.counts();
    }

    [[nodiscard]] std::uint64_t acknowledgements() const
    {
        return core_.copies().acknowledgements;
    }

private:
    void handle(event input)
    {
        actions_.clear();
        core_.handle(std::move(input), now_, actions_);
        for (action& requested : actions_)
        {
            respond(requested);
        }
    }

    event make_heartbeat()
    {
        heartbeat beat;
        beat.sender = peer;
        beat.ready = true;
        beat.sequence = ++heartbeats_;
        return peer_received{peer, beat};
    }

    void respond(action& requested)
    {
        if (auto const* const started = std::get_if<start_task>(&requested))
        {
            attempt_ended ended;
            ended.task = started->task;
            ended.attempt = started->attempt;
            ended.server = started->server;
            ended.outcome = task_outcome::succeeded;
            ended.body = started->payload;
            ended.work_time = 100ms;
            events_.emplace_back(std::move(ended));
        }
        else if (auto const* const message =
                     std::get_if<send_to_peer>(&requested))
        {
            auto const* const batch =
                std::get_if<copy_batch>(&message->message);
            if (std::holds_alternative<heartbeat>(message->message))
            {
                events_.emplace_back(make_heartbeat());
            }
            else if (batch != nullptr)
            {
                events_.emplace_back(peer_received{
                    peer, copy_ack{batch->owner, batch->chain, batch->epoch,
                                   batch->sequence}});
            }
        }
        else if (auto* const answer = std::get_if<answer_caller>(&requested))
        {
            last_answer_ = std::move(answer->body);
        }
    }

    dispatcher core_;
    time_point now_{1s};
    std::uint64_t requests_ = 0;
    std::uint64_t heartbeats_ = 0;
    std::string last_answer_;
    std::vector<action> actions_;
    std::deque<event> events_;
};

void run_tasks(benchmark::State& state, bool with_peer)
{
    constexpr std::size_t payload_bytes = 200;
    auto const tasks = static_cast<std::size_t>(state.range(0));
    simulated_environment environment{
        static_cast<std::uint32_t>(state.range(1)), with_peer};
    job_request job;
    job.service = "desk.check";
    job.team = "inspection";
    job.tasks.resize(tasks);
    for (task_request& task : job.tasks)
    {
        task.payload.assign(payload_bytes, 'x');
        task.run_time = 100ms;
    }
    for (auto _ : state)
    {
        environment.run_job(job);
    }
    auto const started = environment.counts().first_starts;
    auto const iterations = static_cast<std::uint64_t>(state.iterations());
    if (started != tasks * iterations)
    {
        state.SkipWithError("not all tasks were started");
    }
    bool const is_copied = environment.acknowledgements() >= iterations;
    if (with_peer != is_copied)
    {
        state.SkipWithError(
            "copies acknowledged without a peer, or missing with one");
    }
    state.SetItemsProcessed(static_cast<std::int64_t>(started));
}

void tasks_without_copies(benchmark::State& state)
{
    run_tasks(state, false);
}

void tasks_with_one_copy(benchmark::State& state)
{
    run_tasks(state, true);
}

// Arguments: number of tasks in a job, number of backend servers.
BENCHMARK(tasks_without_copies)
    ->Args({1, 677})
    ->Args({100, 50})
    ->Args({100, 677})
    ->Args({1800, 677});
BENCHMARK(tasks_with_one_copy)
    ->Args({1, 677})
    ->Args({100, 677})
    ->Args({1800, 677});

} // namespace

BENCHMARK_MAIN();
