#pragma once

#include <chrono>
#include <cstdint>
#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestgate::test
{

/// Virtual time since the start of a run.
using sim_time = std::chrono::microseconds;

/// Request or fault at one moment of a run.
enum class step_kind : std::uint8_t
{
    /// A caller submits a new job through instance a; b = number of tasks, c =
    /// flags of @ref job_flag.
    submit,
    /// A caller submits job number a again through instance b.
    resubmit,
    /// A caller submits job number a with another body through instance b.
    conflict,
    /// A caller queries job number a through instance b.
    query,
    /// A caller cancels job number a through instance b.
    cancel,
    /// Instance a is killed and restarted after b ms (never for 0).
    kill,
    /// Instance a is paused for b ms.
    pause,
    /// The connection between instances a and b is cut for c ms.
    cut,
    /// Instance a cannot read the instance list for b ms.
    blind,
    /// The instance list is not updated for a ms.
    stale_list,
    /// Instance a begins a graceful stop.
    stop,
    /// Backend server a is listed as leaving and refuses starts b ms later
    /// (never for 0).
    leave,
    /// Backend server a crashes and is down for b ms.
    crash_server,
    /// Tasks that end on backend server a within b ms fail.
    fail_server,
};

/// Flags of a submitted job; traces store the numbers.
enum job_flag : std::uint32_t
{
    repeatable = 1,
    poisoned = 2,
    disconnects_early = 4,
    short_deadline = 8,
    no_wait = 16,
};

struct schedule_step
{
    sim_time at{};
    step_kind kind = step_kind::submit;
    std::uint32_t a = 0;
    std::uint32_t b = 0;
    std::uint32_t c = 0;
};

/// @brief Complete input of a run; together with the code it determines the
/// run.
struct schedule
{
    /// Seeds the random source for message faults, work times and clocks.
    std::uint64_t seed = 0;
    /// Number of instances in each of the two failure domains.
    std::uint32_t instances[2] = {2, 2};
    /// Probabilities, in 1/1,000, that a message between instances is lost,
    /// duplicated or delayed.
    std::uint32_t loss = 0;
    std::uint32_t duplication = 0;
    std::uint32_t delay = 0;
    /// Probability, in 1/1,000, that a start or its answer is lost.
    std::uint32_t start_loss = 0;
    /// Whether ids and answers have a short retention time.
    bool short_retention = false;
    /// Whether the loss of one owner is the only fault, so that the fates of
    /// its jobs must be known within the time limit.
    bool single_owner_loss = false;
    /// Whether tasks run long and servers have one slot each, so that many
    /// tasks wait while their copies are sealed.
    bool long_tasks = false;
    std::vector<schedule_step> steps;
};

/// @brief Derives a schedule from a seed.
[[nodiscard]] schedule make_schedule(std::uint64_t seed);

/// @brief Writes a schedule as a trace: four header lines, then one line for
/// each step.
void write_schedule(std::ostream& out, schedule const& plan);

/// @brief Reads a trace.
/// @throw std::runtime_error for a malformed trace
[[nodiscard]] schedule read_schedule(std::istream& in);

} // namespace goldcrestgate::test
