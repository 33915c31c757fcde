#include "support/resubmission_run.hpp"

#include "support/fleet_owner.hpp"

#include <cppunit/TestAssert.h>

#include <algorithm>
#include <functional>
#include <utility>

namespace goldcrestgate::tests
{

using namespace core;
using std::chrono::milliseconds;

namespace
{

constexpr std::uint32_t executors_per_domain = 4;

/// Time within which callers leave that do not wait for the answer.
constexpr duration longest_early_wait = milliseconds{900};

/// Delay after which a caller that got no answer sends its job again.
constexpr duration resubmission_delay = milliseconds{1300};
constexpr int max_attempts = 3;

constexpr duration run_time = std::chrono::seconds{16};

constexpr duration shortest_cut = milliseconds{200};

/// Longest time by which the bytes that a cut held up arrive after those of
/// the next connection.
constexpr duration longest_late_arrival = milliseconds{60};

} // namespace

resubmission_run::resubmission_run(std::uint64_t seed,
                                   resubmission_faults const& faults,
                                   resubmission_load const& load)
    : name_("seed " + std::to_string(seed))
    , random_(seed)
    , faults_(faults)
    , load_(load)
    , cluster_(domain_count, load.instances_per_domain, executors_per_domain)
    , processes_(cluster_.size(), incarnation{1})
{
    cluster_.set_remote_interval_factor(load.remote_interval_factor);
    cluster_.on_answer = [this](answer_job const& answer)
    {
        record_answer(answer);
    };
}

void resubmission_run::run()
{
    auto& fleet = cluster_.fleet();
    fleet.run_for(milliseconds{800});
    auto const end = fleet.now() + run_time;
    auto next_fault = fleet.now() + pick_time(load_.fault_interval);
    while (fleet.now() < end)
    {
        client_job_id const id{++last_job_};
        auto const work = milliseconds{30} + pick_time(load_.longest_work);
        fleet.set_work(id, work);
        auto job = make_leased_job(
            id.value(), static_cast<std::uint16_t>(1 + pick(3)), work);
        job.time_limit = load_.caller_wait;
        jobs_[id] = std::move(job);
        send(id);
        if (fleet.now() >= next_fault)
        {
            inject_fault();
            next_fault = fleet.now() + pick_time(load_.fault_interval);
        }
        fleet.run_for(milliseconds{1} + pick_time(load_.job_interval));
    }
    fleet.run_for(std::chrono::seconds{8});
}

void resubmission_run::check() const
{
    CPPUNIT_ASSERT_EQUAL_MESSAGE("runs at the same time, " + name_,
                                 std::size_t{0},
                                 cluster_.fleet().duplicate_runs);
    CPPUNIT_ASSERT_MESSAGE("jobs served, " + name_, served_ * 5 > jobs_.size());
}

duration resubmission_run::pick_time(duration longest)
{
    return duration{static_cast<duration::rep>(
        pick(static_cast<std::uint64_t>(longest.count())))};
}

// --- callers ---

void resubmission_run::send(client_job_id id)
{
    request_id const request{++last_request_};
    auto const node = pick(cluster_.size());
    attempts_[request] = {id, node, processes_[node]};
    ++attempts_of_[id];
    if (cluster_.is_down(node))
    {
        leave(request);
        return;
    }
    cluster_.when_resumed(node,
                          [this, request]
                          {
                              submit(request);
                          });
    bool const leaves = faults_.leaving_callers && pick(5) < 2;
    cluster_.fleet().schedule(leaves ? pick_time(longest_early_wait)
                                     : load_.caller_wait,
                              [this, request]
                              {
                                  leave(request);
                              });
}

void resubmission_run::submit(request_id request)
{
    auto& sent = attempts_.at(request);
    // An instance does not accept the request of a caller that has left.
    if (sent.ended || processes_[sent.node] != sent.process)
    {
        return;
    }
    sent.submitted = true;
    cluster_.submit(sent.node, request, jobs_.at(sent.job));
}

void resubmission_run::leave(request_id request)
{
    auto& sent = attempts_.at(request);
    if (std::exchange(sent.ended, true))
    {
        return;
    }
    send_again(sent.job);
    if (sent.submitted)
    {
        cluster_.when_resumed(sent.node,
                              [this, request, left_at = cluster_.fleet().now()]
                              {
                                  auto const& left = attempts_.at(request);
                                  if (processes_[left.node] == left.process)
                                  {
                                      cluster_.disconnect_caller(
                                          left.node, request,
                                          cluster_.fleet().now() - left_at);
                                  }
                              });
    }
}

void resubmission_run::send_again(client_job_id id)
{
    if (attempts_of_[id] < max_attempts)
    {
        cluster_.fleet().schedule(resubmission_delay,
                                  [this, id]
                                  {
                                      send(id);
                                  });
    }
}

void resubmission_run::record_answer(answer_job const& answer)
{
    auto& sent = attempts_.at(answer.request);
    if (std::exchange(sent.ended, true))
    {
        return;
    }
    served_ += answer.outcome == job_outcome::completed ? 1 : 0;
    if (answer.outcome == job_outcome::abandoned)
    {
        send_again(sent.job);
    }
}

// --- faults ---

void resubmission_run::inject_fault()
{
    std::vector<std::function<void()>> kinds;
    if (faults_.resets)
    {
        kinds.emplace_back(
            [this]
            {
                auto const left = pick(cluster_.size());
                auto const right = pick(cluster_.size());
                for (std::uint64_t i = 1 + pick(4); i > 0 && left != right; --i)
                {
                    cluster_.fleet().schedule(pick_time(milliseconds{400}),
                                              [this, left, right]
                                              {
                                                  cluster_.reset(left, right);
                                              });
                }
            });
    }
    if (faults_.pauses)
    {
        kinds.emplace_back(
            [this]
            {
                pause(pick(cluster_.size()), pick_time(load_.longest_pause));
            });
    }
    if (faults_.joint_pauses)
    {
        kinds.emplace_back(
            [this]
            {
                auto const time = pick_time(load_.longest_pause);
                for (std::size_t node = 0; node < cluster_.size(); ++node)
                {
                    pause(node, time);
                }
            });
    }
    if (faults_.restarts)
    {
        kinds.emplace_back(
            [this]
            {
                restart(pick(cluster_.size()));
            });
    }
    if (faults_.joint_restarts)
    {
        kinds.emplace_back(
            [this]
            {
                for (std::size_t node = 0; node < cluster_.size(); ++node)
                {
                    restart(node);
                }
            });
    }
    if (faults_.cuts)
    {
        kinds.emplace_back(
            [this]
            {
                cut_off_domain();
            });
    }
    kinds[pick(kinds.size())]();
}

void resubmission_run::cut_off_domain()
{
    if (std::exchange(cut_, true))
    {
        return;
    }
    auto const domain = pick(domain_count);
    std::vector<std::size_t> inside;
    std::vector<std::size_t> outside;
    for (std::size_t node = 0; node < cluster_.size(); ++node)
    {
        bool const is_inside = node / load_.instances_per_domain == domain;
        (is_inside ? inside : outside).push_back(node);
    }
    // Half of the cuts are in one direction only.
    constexpr std::uint64_t only_out = 0;
    constexpr std::uint64_t only_in = 1;
    constexpr std::uint64_t directions = 4;
    auto const direction = pick(directions);
    if (direction != only_in)
    {
        set_held(inside, outside, true);
    }
    if (direction != only_out)
    {
        set_held(outside, inside, true);
    }
    cluster_.fleet().schedule(shortest_cut +
                                  pick_time(load_.longest_cut - shortest_cut),
                              [this, inside, outside]
                              {
                                  set_held(inside, outside, false);
                                  set_held(outside, inside, false);
                                  cut_ = false;
                              });
}

void resubmission_run::set_held(std::span<std::size_t const> from,
                                std::span<std::size_t const> to, bool held)
{
    for (auto const sender : from)
    {
        for (auto const receiver : to)
        {
            cluster_.set_held(sender, receiver, held,
                              held ? duration{}
                                   : pick_time(longest_late_arrival));
        }
    }
}

void resubmission_run::pause(std::size_t node, duration time)
{
    if (!cluster_.is_paused(node) && time > duration{})
    {
        cluster_.pause(node, time);
    }
}

// The connections of the callers end at once; the new process starts after a
// delay, during which the node takes no requests.
void resubmission_run::restart(std::size_t node)
{
    if (cluster_.is_paused(node))
    {
        return;
    }
    processes_[node] = incarnation{processes_[node].value() + 1};
    cluster_.restart(node, milliseconds{300} + pick_time(milliseconds{700}));
    for (auto& [request, sent] : attempts_)
    {
        if (sent.node == node && sent.process != processes_[node])
        {
            leave(request);
        }
    }
}

void play_resubmission_seeds(resubmission_faults const& faults,
                             resubmission_load const& load, std::uint64_t seeds)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        resubmission_run run{seed, faults, load};
        run.run();
        run.check();
    }
}

} // namespace goldcrestgate::tests
