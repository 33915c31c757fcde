#pragma once

#include "support/fleet_owner.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace goldcrestgate::tests
{

namespace mixed_load_figures
{

inline constexpr core::resource_amounts capacity{16'000, 65'536, 0};
inline constexpr core::resource_amounts small_task{6'000, 64, 0};
inline constexpr core::resource_amounts large_task{12'000, 64, 0};

inline constexpr std::chrono::milliseconds small_work{120};
inline constexpr std::chrono::milliseconds large_work{200};
inline constexpr std::chrono::milliseconds time_limit{1500};

inline constexpr std::size_t executor_count = 12;
inline constexpr double slowest = 1.25;
inline constexpr double largest_overrun = 1.4;
inline constexpr double small_jobs_per_second = 80.0;
inline constexpr double large_jobs_per_second = 4.0;

} // namespace mixed_load_figures

/// @brief Returns limits with a largest number of reservations.
[[nodiscard]] core::scheduler_limits limits_with(std::uint32_t reservations);

/// @brief Makes a job of one group of tasks with the given amounts.
[[nodiscard]] core::leased_job make_job(std::uint64_t id, std::uint16_t tasks,
                                        core::resource_amounts const& amounts,
                                        core::duration estimate);

/// @brief Responses to the jobs of one size.
struct size_result
{
    std::size_t jobs = 0;
    std::size_t on_time = 0;
    /// Sum of the times from the arrivals to the ends beyond the work. A job
    /// that was not completed counts with the time limit.
    core::duration waited{};

    size_result& operator+=(size_result const& other)
    {
        jobs += other.jobs;
        on_time += other.on_time;
        waited += other.waited;
        return *this;
    }

    [[nodiscard]] double on_time_share() const
    {
        return static_cast<double>(on_time) / static_cast<double>(jobs);
    }

    [[nodiscard]] double mean_wait_ms() const
    {
        return static_cast<double>(waited.count()) / 1000.0 /
               static_cast<double>(jobs);
    }
};

/// @brief Responses of a replay by job size.
struct replay_result
{
    size_result small;
    size_result large;
};

/// @brief Replays many jobs of two small tasks and a few of one large task near
/// full utilization, on executors of three speeds. Run times vary by 40%.
[[nodiscard]] replay_result replay_mixed_load(std::uint32_t reservations);

} // namespace goldcrestgate::tests
