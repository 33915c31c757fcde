#pragma once

#include "goldcrestgate/core/dispatcher.hpp"
#include "goldcrestgate/core/submission/answer.hpp"
#include "goldcrestgate/core/submission/job_body.hpp"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace goldcrestgate::test
{

using namespace goldcrestgate::core;
using namespace std::chrono_literals;

/// @brief Settings with the service `desk.check` and the team `inspection`.
inline settings_ptr make_settings(service_policy const& policy = {})
{
    auto view = std::make_shared<settings_view>();
    view->service_ids.emplace("desk.check", service_id{0});
    view->services.push_back(policy);
    view->team_ids.emplace("inspection", team_id{0});
    view->teams.emplace_back();
    return view;
}

/// @brief Drives a dispatcher in virtual time and records its actions.
class dispatcher_driver
{
public:
    static constexpr instance_key self{domain_id{1}, instance_id{7},
                                       incarnation{99}};

    explicit dispatcher_driver(
        service_policy const& policy = {}, std::uint32_t servers = 2,
        std::uint32_t slots = 2,
        dispatcher_builder builder = dispatcher_builder{})
        : core_(builder.self(self).build())
    {
        handle(settings_changed{make_settings(policy)});
        list(servers, slots);
    }

    /// @brief Replaces the instance list by the backend servers 1 to
    /// @a servers.
    void list(std::uint32_t servers, std::uint32_t slots)
    {
        instance_list all;
        for (std::uint32_t id = 1; id <= servers; ++id)
        {
            listed_instance entry;
            entry.kind = listed_kind::backend_server;
            entry.id = id;
            entry.domain = self.domain;
            entry.address = "127.0.0.1:" + std::to_string(9000 + id);
            entry.slots = slots;
            all.entries.push_back(entry);
        }
        handle(all);
    }

    /// @brief Handles an event; its actions replace the recorded ones.
    std::vector<action> const& handle(event input)
    {
        actions_.clear();
        core_.handle(std::move(input), now_, actions_);
        return actions_;
    }

    /// @brief Advances virtual time by @a span, stopping at each deadline.
    std::vector<action> advance(duration span)
    {
        std::vector<action> all;
        time_point const end = now_ + span;
        while (core_.next_deadline() && *core_.next_deadline() <= end)
        {
            now_ = std::max(now_, *core_.next_deadline());
            handle(tick{});
            all.insert(all.end(), actions_.begin(), actions_.end());
        }
        now_ = end;
        handle(tick{});
        all.insert(all.end(), actions_.begin(), actions_.end());
        actions_ = all;
        return all;
    }

    submission_id mint()
    {
        handle(mint_ids{next_request(), 1});
        std::string const body = last<answer_caller>()->body;
        std::size_t const begin = body.find("g1-");
        return *parse_submission_id(
            body.substr(begin, body.find('"', begin) - begin));
    }

    static job_request make_job(std::size_t tasks, bool repeatable,
                                std::uint64_t hash = 1)
    {
        job_request job;
        job.service = "desk.check";
        job.team = "inspection";
        job.repeatable = repeatable;
        job.tasks.resize(tasks);
        for (task_request& task : job.tasks)
        {
            task.payload = "payload";
            task.run_time = 100ms;
        }
        job.body_hash = hash;
        return job;
    }

    /// @brief Submits a job and returns the id of the request.
    request_id submit(submission_id const& id, job_request job,
                      duration wait = 30s)
    {
        request_id const request = next_request();
        handle(submit_job{request, id, std::move(job), wait});
        return request;
    }

    std::vector<action> const& end(start_task const& started,
                                   task_outcome outcome, std::string body = {})
    {
        attempt_ended ended;
        ended.task = started.task;
        ended.attempt = started.attempt;
        ended.server = started.server;
        ended.outcome = outcome;
        ended.body = std::move(body);
        return handle(ended);
    }

    /// @brief Returns the recorded actions of one type.
    template <typename Action>
    std::vector<Action> all() const
    {
        std::vector<Action> found;
        for (action const& candidate : actions_)
        {
            if (auto const* wanted = std::get_if<Action>(&candidate))
            {
                found.push_back(*wanted);
            }
        }
        return found;
    }

    template <typename Action>
    std::optional<Action> last() const
    {
        auto const found = all<Action>();
        return found.empty() ? std::nullopt : std::optional{found.back()};
    }

    request_id next_request()
    {
        return request_id{++requests_};
    }

    [[nodiscard]] time_point now() const
    {
        return now_;
    }

    dispatcher& core()
    {
        return core_;
    }

private:
    dispatcher core_;
    time_point now_{1s};
    std::vector<action> actions_;
    std::uint64_t requests_ = 0;
};

/// @brief Returns whether a text contains another text.
inline bool contains(std::string_view text, std::string_view part)
{
    return text.find(part) != std::string_view::npos;
}

} // namespace goldcrestgate::test
