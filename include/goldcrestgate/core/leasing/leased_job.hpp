#pragma once

#include "goldcrestgate/core/ids.hpp"
#include "goldcrestgate/core/time.hpp"

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace goldcrestgate::core
{

/// Job id chosen by the client; the same for every resubmission.
using client_job_id = strong_id<struct client_job_tag, std::uint64_t>;

/// @brief Amounts of resources that a task needs or an executor has.
struct resource_amounts
{
    std::uint32_t cpu_millicores = 0;
    std::uint32_t memory_mb = 0;
    std::uint32_t accelerators = 0;

    friend bool operator==(resource_amounts const&,
                           resource_amounts const&) = default;

    /// @brief Returns whether these amounts are available in @a free.
    /// @par Thread safety
    /// Safe for concurrent readers.
    [[nodiscard]] constexpr bool fits_into(resource_amounts const& free) const
    {
        return cpu_millicores <= free.cpu_millicores &&
               memory_mb <= free.memory_mb && accelerators <= free.accelerators;
    }

    /// @brief Adds amounts.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    constexpr resource_amounts& operator+=(resource_amounts const& other)
    {
        cpu_millicores += other.cpu_millicores;
        memory_mb += other.memory_mb;
        accelerators += other.accelerators;
        return *this;
    }

    /// @brief Subtracts amounts; each difference is clamped at 0.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    constexpr resource_amounts& operator-=(resource_amounts const& other)
    {
        auto const reduce = [](std::uint32_t& from, std::uint32_t by)
        {
            from = from > by ? from - by : 0;
        };
        reduce(cpu_millicores, other.cpu_millicores);
        reduce(memory_mb, other.memory_mb);
        reduce(accelerators, other.accelerators);
        return *this;
    }
};

/// @brief Group of equal tasks of a job that may run at the same time.
struct task_group
{
    std::uint16_t task_count = 0;
    resource_amounts each_task;
    /// The client's rough estimate of one task's run time.
    duration estimate{};
    /// Label that the executor must have; empty for any executor.
    std::string required_label;
    /// Rack that holds the data; a task takes longer in other racks.
    std::string preferred_rack;
    /// Maximum number of the group's tasks on one executor; 0 for no limit.
    std::uint16_t max_per_executor = 0;
    /// Groups whose tasks must all be done first.
    std::vector<std::uint16_t> after;
};

/// @brief Job whose caller waits for the outcome; it is kept in memory only.
struct leased_job
{
    client_job_id id;
    /// The route that the job was submitted to; empty if the sender of the
    /// offer did not name it.
    std::string route;
    /// Failure domain of the instance that has the caller; 0 if the sender of
    /// the offer did not name it.
    domain_id origin_domain;
    /// The service whose executors run the tasks.
    std::string service;
    std::string payload;
    std::vector<task_group> groups;
    /// Number of failed attempts of one task after which the job fails.
    std::uint16_t max_attempts = 1;
    /// 0 is the highest priority.
    std::uint8_t priority = 0;
    /// Time after the job's arrival within which an answer is on time.
    duration objective{};
    /// Time after the job's arrival at which the caller stops waiting.
    duration time_limit{};
};

/// @brief One task of a leased job.
struct leased_task
{
    client_job_id job;
    std::uint16_t group = 0;
    std::uint16_t index = 0;

    friend auto operator<=>(leased_task const&, leased_task const&) = default;
};

/// @brief Returns the run time of the longest chain of dependent groups, based
/// on the estimated run times.
/// @pre each group depends only on groups before it
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] duration critical_path(std::vector<task_group> const& groups);

} // namespace goldcrestgate::core

template <>
struct std::hash<goldcrestgate::core::leased_task>
{
    std::size_t operator()(goldcrestgate::core::leased_task const& task) const
    {
        using goldcrestgate::core::detail::mix_hash;
        std::size_t const mixed = mix_hash(0, task.job.value());
        return mix_hash(mixed, (std::uint64_t{task.group} << 16U) | task.index);
    }
};
