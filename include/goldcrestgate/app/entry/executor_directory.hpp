#pragma once

#include "goldcrestgate/core/leasing/executor.hpp"
#include "platform/executor_codec.hpp"
#include "platform/record_codec.hpp"

#include <functional>
#include <string>
#include <unordered_map>

namespace goldcrestgate::app
{

/// @brief Callbacks for changes of the executors of a failure domain, and the
/// questions that their list depends on.
struct directory_callbacks
{
    /// An executor was added or its description has changed.
    std::function<void(core::executor_id, core::executor_description const&)>
        on_listed;
    /// An executor was removed.
    std::function<void(core::executor_id)> on_unlisted;
    /// An entry of the store names no executor to use; an executor that is
    /// known under its key counts as missing.
    std::function<void(std::string_view name)> on_invalid_entry;
    /// Returns whether an executor has runs and answers; if empty, none has.
    std::function<bool(core::executor_id)> is_busy{};
    /// Returns whether a configuration names a service; if empty, each counts
    /// as named.
    std::function<bool(std::string_view service)> names_service{};
};

/// @brief Maintains the list of a failure domain's executors from their entries
/// in the store.
///
/// The store drops entries during an outage, and executors write them again
/// within 2 s after its end. An executor is therefore removed only after its
/// entry has been missing for some time while the store could be read. An entry
/// of another writer under an executor's name, or for another service that no
/// configuration names, changes nothing that is known of
/// it; the executor's own entry counts as missing then, but as long as the
/// executor has runs and answers it is not removed.
///
/// @par Thread safety
/// Not safe; all members must be called from one thread.
class executor_directory
{
public:
    executor_directory(core::domain_id own_domain,
                       adapter::domain_lookup domains,
                       directory_callbacks callbacks);

    /// @brief Applies a snapshot with the latest entry of each executor;
    /// executors without an entry count as missing from @a now on.
    void apply_snapshot(adapter::topic_page const& page, core::time_point now);

    /// @brief Applies entries that were written or deleted.
    ///
    /// Between @ref replace and the next snapshot they may be older than the
    /// list. An entry then only shows that its executor is present, as an
    /// earlier address would end the runs at the present one.
    void apply_changes(adapter::topic_page const& page, core::time_point now);

    /// @brief Adds executors that another instance has reported. They count as
    /// missing from @a now on, until the store has entries for them.
    void merge(std::vector<core::executor_description> const& executors,
               core::time_point now);

    /// @brief Replaces the list by that of another instance, for an instance
    /// that does not read the store itself. The executors count as missing from
    /// @a now on, until the store has entries for them. The descriptions are
    /// kept until the next snapshot.
    void replace(std::vector<core::executor_description> const& executors,
                 core::time_point now);

    /// @brief Returns all executors.
    [[nodiscard]] std::vector<core::executor_description> descriptions() const;

    /// @brief Returns the id of an executor by its name, if it is known.
    [[nodiscard]] std::optional<core::executor_id>
    find(std::string_view name) const;

    /// @brief Returns whether each executor whose process lives is in the list:
    /// the latest snapshot was read after the last failed read, and the entries
    /// that lapsed before have had the time to return.
    [[nodiscard]] bool is_complete(core::time_point now) const;

    /// @brief Suspends the removal of missing executors until entries are read
    /// again, as the store cannot be reached.
    void mark_store_unreachable()
    {
        store_readable_since_.reset();
    }

    /// @brief Removes executors that have been missing for too long while the
    /// store could be read.
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
        /// Offset of the last record of the entry in the store.
        std::optional<std::uint64_t> offset;
        /// Whether the entry is missing because another writer has replaced it.
        bool replaced = false;
    };

    struct removed_id
    {
        core::executor_id id;
        core::time_point removed_at;
    };

    void apply_record(adapter::keyed_record const& record,
                      core::time_point now);
    /// Decodes an entry that names an executor to use, given what is known
    /// under its name.
    [[nodiscard]] std::optional<core::executor_description>
    decode(std::string const& name, std::string_view value,
           entry const* known) const;
    static void mark_missing(entry& known, bool replaced, core::time_point now);
    [[nodiscard]] bool is_expired(entry const& known,
                                  core::time_point now) const;
    entry& add(core::executor_description const& description);
    void remove(std::string const& name, core::executor_id id,
                core::time_point now);
    void update(entry& known, core::executor_description const& description);

    core::domain_id own_domain_;
    adapter::domain_lookup domains_;
    directory_callbacks callbacks_;
    std::unordered_map<std::string, entry> entries_;
    /// Ids by name of executors that were removed lately.
    std::unordered_map<std::string, removed_id> removed_ids_;
    std::uint32_t last_id_ = 0;
    /// Whether the list is that of another instance; ends with a snapshot.
    bool follows_roster_ = false;
    /// Start of the period without failed reads; empty before the first read
    /// and while the store is unreachable.
    std::optional<core::time_point> store_readable_since_;
};

} // namespace goldcrestgate::app
