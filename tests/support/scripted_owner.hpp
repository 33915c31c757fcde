#pragma once

#include "support/fleet_owner.hpp"

#include "goldcrestgate/core/leasing/job_scheduler.hpp"

#include <cppunit/TestAssert.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace goldcrestgate::tests
{

/// @brief Scheduler whose orders are answered one by one.
struct scripted_owner
{
    void list(core::executor_id id, std::uint64_t incarnation,
              std::string const& address = {})
    {
        core::executor_description description;
        description.name = "e" + std::to_string(id.value());
        description.address =
            address.empty() ? "127.0.0.1:" + std::to_string(9000 + id.value())
                            : address;
        description.service = "desk";
        description.domain = core::domain_id{1};
        description.capacity = {64'000, 65'536, 0};
        description.labels = {"a"};
        description.incarnation = incarnation;
        scheduler.list(id, description, now, out);
        collect();
    }

    void take_over(std::uint64_t token)
    {
        scheduler.take_over(core::fencing_token{token}, true, now, out);
        collect();
    }

    void answer_poll(core::executor_id id, core::order_id order,
                     std::uint64_t incarnation,
                     std::vector<core::listed_run> running = {},
                     std::vector<core::finished_run> finished = {})
    {
        core::poll_answer answer;
        answer.order = order;
        answer.executor = id;
        answer.outcome = core::order_outcome::accepted;
        answer.clock = core::executor_clock{10'000};
        answer.incarnation = incarnation;
        answer.running = std::move(running);
        answer.finished = std::move(finished);
        scheduler.poll_answered(answer, now, out);
        collect();
    }

    void answer_start(core::start_run const& order, core::order_outcome outcome)
    {
        scheduler.start_answered(
            {order.order, order.executor, order.run, outcome, std::nullopt},
            now, out);
        collect();
    }

    void answer_stop(core::stop_run const& order, core::order_outcome outcome)
    {
        scheduler.stop_answered(
            {order.order, order.executor, order.run, outcome, std::nullopt},
            now, out);
        collect();
    }

    void offer(bool resumed = false)
    {
        auto job = make_leased_job(1, 1, std::chrono::milliseconds{400});
        job.objective = std::chrono::milliseconds{6000};
        job.time_limit = std::chrono::milliseconds{7000};
        offer(job, resumed);
    }

    void offer(core::leased_job const& job, bool resumed)
    {
        scheduler.offer(core::instance_id{1}, {job, {}, resumed}, now, out);
        collect();
    }

    void wait(int ms)
    {
        now += std::chrono::milliseconds{ms};
        scheduler.tick(now, out);
        collect();
    }

    void claim_all(std::uint64_t incarnation = 1)
    {
        auto const sent = polls;
        for (auto const& [id, order] : sent)
        {
            answer_poll(id, order.order, incarnation);
        }
    }

    /// Owns four claimed executors.
    void prepare()
    {
        for (std::uint32_t id = 1; id <= 4; ++id)
        {
            list(core::executor_id{id}, 1);
        }
        take_over(1);
        claim_all();
        wait(20);
    }

    /// Leaves the first start without an answer, until its task starts again.
    core::start_run lose_first_start()
    {
        offer();
        auto first = starts.at(0);
        now += std::chrono::milliseconds{160};
        answer_start(first, core::order_outcome::unanswered);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stops.size());
        answer_stop(stops.back(), core::order_outcome::accepted);
        wait(60);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, starts.size());
        return first;
    }

    void collect()
    {
        for (auto const& action : out)
        {
            if (auto const* const order = std::get_if<core::start_run>(&action))
            {
                starts.push_back(*order);
            }
            if (auto const* const order = std::get_if<core::stop_run>(&action))
            {
                stops.push_back(*order);
            }
            if (auto const* const order =
                    std::get_if<core::poll_executor>(&action))
            {
                polls[order->executor] = *order;
            }
            if (auto const* const log_event =
                    std::get_if<core::scheduler_log_event>(&action))
            {
                events.push_back(*log_event);
            }
        }
        out.clear();
    }

    core::job_scheduler scheduler{core::scheduler_limits{}};
    core::time_point now = core::time_point{std::chrono::milliseconds{100'000}};
    std::vector<core::scheduler_action> out;
    std::vector<core::start_run> starts;
    std::vector<core::stop_run> stops;
    std::map<core::executor_id, core::poll_executor> polls;
    std::vector<core::scheduler_log_event> events;
};

} // namespace goldcrestgate::tests
