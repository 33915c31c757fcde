// Measures in virtual time what the copies of one owner's records cost:
// messages, bytes of frames, and the delay of a start until its copies are
// acknowledged.

#include "goldcrestgate/core/recovery/copy_chain.hpp"
#include "goldcrestgate/core/recovery/copy_store.hpp"
#include "goldcrestgate/wire/frame_codec.hpp"

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <utility>
#include <vector>

namespace
{

using namespace goldcrestgate::core;
using namespace std::chrono_literals;

constexpr duration one_way_delay = 250us;
constexpr duration work_time = 250ms;
constexpr duration simulated_time = 5s;
constexpr std::size_t result_bytes = 200;
constexpr instance_key owner{domain_id{1}, instance_id{1}, incarnation{1}};

struct run_parameters
{
    std::uint32_t starts_per_second = 0;
    std::uint16_t tasks_per_job = 0;
    std::uint32_t members = 0;
};

struct copy_costs
{
    std::uint64_t starts = 0;
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    duration start_wait{};
};

/// @brief Simulates an owner, the copy stores of its copy set and the network
/// between them.
class copy_simulation
{
public:
    explicit copy_simulation(run_parameters const& parameters)
        : parameters_(parameters)
        , chain_(copy_chain_builder{}
                     .self(owner)
                     .copies(parameters.members)
                     .build())
    {
        for (std::uint32_t id = 2; id < 2 + parameters.members; ++id)
        {
            instance_key const key{domain_id{1}, instance_id{id},
                                   incarnation{1}};
            peers_.push_back(key);
            stores_.emplace(key.instance,
                            copy_store_builder{}.self(key).build());
        }
    }

    copy_costs run()
    {
        chain_.set_candidates(peers_, now_);
        flush();
        duration const interval =
            duration{1'000'000} / parameters_.starts_per_second;
        for (time_point at = now_ + 50ms; at < now_ + simulated_time;
             at += interval)
        {
            events_.push({at, ++order_,
                          [this]
                          {
                              begin_task();
                          }});
        }
        while (!events_.empty())
        {
            auto const next = events_.top();
            events_.pop();
            now_ = next.at;
            next.callback();
            flush();
        }
        return costs_;
    }

private:
    struct scheduled_event
    {
        time_point at;
        std::uint64_t order = 0;
        std::function<void()> callback;

        bool operator<(scheduled_event const& other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    void begin_task()
    {
        auto const number = costs_.starts++;
        auto const job = number / parameters_.tasks_per_job;
        auto const index = number % parameters_.tasks_per_job;
        submission_id const id{owner, job};
        if (index == 0)
        {
            chain_.record(
                job_accepted_record{id, job, parameters_.tasks_per_job});
        }
        task_key const task{id, task_index{static_cast<std::uint16_t>(index)}};
        begin_times_[task] = now_;
        chain_.record(task_starting_record{task, 1, server_id{1}});
    }

    void end_task(task_key const& task)
    {
        chain_.record(task_result_record{task, task_fate::done,
                                         std::string(result_bytes, 'r')});
        auto& ended_count = ended_tasks_[task.submission.sequence];
        if (++ended_count == parameters_.tasks_per_job)
        {
            chain_.record(
                job_final_record{task.submission, job_state::done, 0, {}});
            chain_.record(job_forgotten_record{task.submission});
        }
    }

    void flush()
    {
        std::vector<action> out;
        chain_.flush(now_, out);
        for (auto& sent : out)
        {
            deliver(std::get<send_to_peer>(sent));
        }
        for (auto const& outcome : chain_.take_outcomes())
        {
            auto const& released = std::get<attempt_released>(outcome);
            costs_.start_wait += now_ - begin_times_[released.task];
            begin_times_.erase(released.task);
            events_.push({now_ + work_time, ++order_,
                          [this, task = released.task]
                          {
                              end_task(task);
                          }});
        }
    }

    void count(peer_message const& message)
    {
        frame_.clear();
        (void)goldcrestgate::wire::append_frame(frame_, message);
        ++costs_.messages;
        costs_.bytes += frame_.size();
    }

    void deliver(send_to_peer const& sent)
    {
        count(sent.message);
        std::vector<action> replies;
        stores_.at(sent.peer).handle(owner, std::get<copy_batch>(sent.message),
                                     now_, replies);
        for (auto const& reply : replies)
        {
            auto const& ack = std::get<send_to_peer>(reply).message;
            count(ack);
            events_.push(
                {now_ + 2 * one_way_delay, ++order_,
                 [this, from = sent.peer, ack]
                 {
                     instance_key const key{domain_id{1}, from, incarnation{1}};
                     chain_.handle(key, std::get<copy_ack>(ack), now_);
                 }});
        }
    }

    run_parameters parameters_;
    time_point now_{1s};
    std::uint64_t order_ = 0;
    copy_chain chain_;
    std::vector<instance_key> peers_;
    std::map<instance_id, copy_store> stores_;
    std::priority_queue<scheduled_event> events_;
    std::map<task_key, time_point> begin_times_;
    std::map<std::uint64_t, std::uint16_t> ended_tasks_;
    std::string frame_;
    copy_costs costs_;
};

} // namespace

int main()
{
    // Starts per second of one instance. 134 is the present load: 1,070 in
    // total over 8 instances. 6923 is the load expected in two years: 720,000
    // in total over 13 failure domains of 8 instances each.
    constexpr std::uint32_t rates[] = {134, 1000, 6923};
    constexpr std::uint16_t sizes[] = {1, 100, 1800};
    std::puts("starts/s  tasks/job  members  messages/task  bytes/task  "
              "messages/s  KB/s  start wait us");
    for (auto const rate : rates)
    {
        for (auto const size : sizes)
        {
            for (std::uint32_t const members : {1U, 2U})
            {
                auto const costs = copy_simulation{{rate, size, members}}.run();
                auto const starts = static_cast<double>(costs.starts);
                auto const messages =
                    static_cast<double>(costs.messages) / starts;
                auto const bytes = static_cast<double>(costs.bytes) / starts;
                std::printf(
                    "%8u  %9u  %7u  %13.2f  %10.0f  %10.0f  %4.0f  "
                    "%13.0f\n",
                    rate, static_cast<unsigned>(size), members, messages, bytes,
                    messages * rate, bytes * rate / 1000,
                    static_cast<double>(costs.start_wait.count()) / starts);
            }
        }
    }
    return 0;
}
