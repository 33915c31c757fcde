#include "goldcrestgate/core/leasing/job_memory.hpp"

#include "goldcrestgate/core/leasing/detail/job_record.hpp"

namespace goldcrestgate::core
{

namespace
{

/// Overhead of the allocator and of containers for each allocated part.
constexpr std::size_t allocation_bytes = 16;

} // namespace

std::size_t job_bytes(leased_job const& job)
{
    auto bytes = sizeof(leased_job) + job.route.capacity() +
                 job.service.capacity() + job.payload.capacity() +
                 job.groups.capacity() * sizeof(task_group);
    for (auto const& group : job.groups)
    {
        bytes += group.after.empty()
                     ? 0
                     : allocation_bytes +
                           group.after.capacity() * sizeof(std::uint16_t);
        bytes +=
            group.required_label.capacity() + group.preferred_rack.capacity();
    }
    return bytes;
}

std::size_t job_record_bytes(leased_job const& job)
{
    auto bytes = job_bytes(job) + sizeof(detail::job_record);
    for (auto const& group : job.groups)
    {
        // A group that follows others is noted at each of them.
        bytes +=
            sizeof(detail::group_record) + allocation_bytes +
            group.task_count * sizeof(detail::task_record) +
            group.after.size() * (sizeof(std::uint16_t) + allocation_bytes);
    }
    return bytes;
}

} // namespace goldcrestgate::core
