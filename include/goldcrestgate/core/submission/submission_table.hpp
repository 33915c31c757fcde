#pragma once

#include "goldcrestgate/core/ids.hpp"
#include "goldcrestgate/core/submission/job.hpp"
#include "goldcrestgate/core/time.hpp"

#include <cstddef>
#include <memory>
#include <unordered_map>

namespace goldcrestgate::core
{

/// @brief The submissions that this process owns.
class submission_table
{
public:
    /// @brief Finds a submission.
    /// @return null if it is not in the table; the pointer stays valid until
    /// @ref erase
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] job* find(submission_id const& id);

    /// @copydoc find
    [[nodiscard]] job const* find(submission_id const& id) const;

    /// @brief Adds a submission.
    /// @pre no submission with this id is in the table
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    job& add(submission_id const& id);

    /// @brief Removes a submission, if it is in the table.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void erase(submission_id const& id);

    /// @brief Returns the number of submissions.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::size_t size() const;

    /// @brief Calls a function for up to @a limit submissions, in unspecified
    /// order.
    /// @param visitor a function that takes a `job const&`
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    template <typename Visitor>
    void visit(std::size_t limit, Visitor&& visitor) const
    {
        for (auto const& [id, stored_job] : jobs_)
        {
            if (limit-- == 0)
            {
                return;
            }
            visitor(static_cast<job const&>(*stored_job));
        }
    }

private:
    std::unordered_map<submission_id, std::unique_ptr<job>> jobs_;
};

} // namespace goldcrestgate::core
