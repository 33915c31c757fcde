#pragma once

#include "goldcrestgate/core/leasing/executor.hpp"
#include "platform/executor_codec.hpp"
#include "platform/record_codec.hpp"

#include <functional>
#include <string>
#include <unordered_map>

namespace goldcrestgate::app
{

/// @brief Receives changes of the executors of one failure domain.
struct directory_sinks
{
    /// An executor is new or its description has changed.
    std::function<void(core::executor_id, core::executor_description const&)>
        listed;
    /// An executor is gone.
    std::function<void(core::executor_id)> unlisted;
    /// An entry cannot be used.
    std::function<void(std::string_view name)> refused;
};

/// @brief Keeps the executors of a failure domain from the store's entries.
///
/// An entry that is missing may come back: the store drops entries while it is
/// away, and executors write them again within two seconds of its return. So
/// an executor counts as gone only after a while.
///
/// @par Thread safety
/// Not safe; all members are for one thread.
class executor_directory
{
public:
    executor_directory(core::domain_id own_domain,
                       adapter::domain_lookup domains, directory_sinks sinks);

    /// @brief The newest entry of each executor; the others are missing.
    void replace(adapter::topic_page const& page, core::time_point now);

    /// @brief Entries that were written or dropped.
    void update(adapter::topic_page const& page, core::time_point now);

    /// @brief Adds executors that another instance knows. They are dropped like
    /// missing ones, unless the store names them.
    void merge(std::vector<core::executor_description> const& executors,
               core::time_point now);

    /// @brief Returns all executors.
    [[nodiscard]] std::vector<core::executor_description> descriptions() const;

    /// @brief Returns the executor of a name, if it is known.
    [[nodiscard]] std::optional<core::executor_id>
    find(std::string_view name) const;

    /// @brief The store does not answer; nothing is dropped until it names its
    /// entries again.
    void store_lost()
    {
        readable_since_.reset();
    }

    /// @brief Drops what is missing for too long while the store answers.
    void expire(core::time_point now);

    [[nodiscard]] std::size_t size() const
    {
        return entries_.size();
    }

private:
    struct entry
    {
        core::executor_id id;
        core::executor_description description;
        std::optional<core::time_point> missing_since;
    };

    void apply(adapter::keyed_record const& record, core::time_point now);
    entry& add(core::executor_description const& description);

    core::domain_id own_domain_;
    adapter::domain_lookup domains_;
    directory_sinks sinks_;
    std::unordered_map<std::string, entry> entries_;
    std::uint32_t last_id_ = 0;
    /// Since when the store's entries are read without a failure.
    std::optional<core::time_point> readable_since_;
};

} // namespace goldcrestgate::app
