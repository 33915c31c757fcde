#include "goldcrestgate/core/recovery/detail/copy_stream.hpp"

#include <type_traits>

namespace goldcrestgate::core::detail
{

namespace
{

// Approximate size in a frame of a record with ids and numbers only.
constexpr std::size_t bare_record_bytes = 64;

} // namespace

std::size_t record_bytes(copy_record const& record)
{
    return std::visit(
        [](auto const& entry)
        {
            using type = std::decay_t<decltype(entry)>;
            if constexpr (std::is_same_v<type, task_result_record>)
            {
                return bare_record_bytes + entry.body.size();
            }
            else if constexpr (std::is_same_v<type, job_final_record>)
            {
                return bare_record_bytes + entry.message.size();
            }
            else
            {
                return bare_record_bytes;
            }
        },
        record);
}

submission_id const& submission_of(copy_record const& record)
{
    return std::visit(
        [](auto const& entry) -> submission_id const&
        {
            using type = std::decay_t<decltype(entry)>;
            if constexpr (std::is_same_v<type, task_starting_record> ||
                          std::is_same_v<type, task_result_record>)
            {
                return entry.task.submission;
            }
            else
            {
                return entry.submission;
            }
        },
        record);
}

} // namespace goldcrestgate::core::detail
