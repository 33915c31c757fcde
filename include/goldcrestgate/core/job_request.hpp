#pragma once

#include "goldcrestgate/core/task.hpp"
#include "goldcrestgate/core/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace goldcrestgate::core
{

/// @brief One task of a job as described by the caller.
struct task_request
{
    std::string payload;
    /// Declared run time, a hint.
    std::optional<duration> run_time;
    /// Overrides the job's value.
    std::optional<bool> repeatable;
};

/// @brief A job as described by the caller, parsed and syntactically valid.
struct job_request
{
    std::string service;
    std::string team;
    /// Time after arrival at which the caller no longer needs the answer.
    std::optional<duration> deadline;
    core::urgency urgency = core::urgency::normal;
    std::optional<bool> repeatable;
    std::vector<task_request> tasks;
    /// Hash of the body, which distinguishes a resubmission from another job
    /// under the same id.
    std::uint64_t body_hash = 0;
    /// The JSON text, kept for forwarding to the owner.
    std::string body;
};

} // namespace goldcrestgate::core
