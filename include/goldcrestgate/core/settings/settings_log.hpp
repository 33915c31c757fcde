#pragma once

#include "goldcrestgate/core/ids.hpp"
#include "goldcrestgate/core/settings/settings_record.hpp"
#include "goldcrestgate/core/settings/settings_tree.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace goldcrestgate::core
{

/// Outcome of applying one record of the log.
enum class apply_outcome : std::uint8_t
{
    /// The publication changed the tree.
    applied,
    /// The publication was refused: a touched path changed after its base, the
    /// base is before the horizon or after the record, or the changes do not
    /// fit into the tree.
    conflict,
    /// A publication with this id was processed before; the record is ignored.
    repeated_publication,
    /// The record is malformed; every instance ignores it.
    malformed,
    /// A snapshot; the history of the changes that it covers is discarded.
    snapshot_seen,
    /// A snapshot replaced the state after a gap in the log.
    snapshot_adopted,
    /// The record was applied before.
    repeated_record,
    /// Records before this one are missing; read from `next_offset`.
    out_of_order,
    /// The record was skipped in the search for a snapshot after a gap.
    skipped
};

/// @brief Applies the records of the log stream `settings` in order.
///
/// The state depends on the records alone: instances that applied all records
/// before an offset have equal states, whether they read each record, started
/// from a snapshot or adopted the state of a peer. The version never decreases.
///
/// Memory is bounded: a snapshot in the log, or more than
/// @ref memory_limit_bytes of remembered paths and publication ids, raises the
/// horizon and discards the history before it. A publication that is repeated
/// after its id was discarded has a base before the horizon and is refused as
/// a conflict; it is never applied twice.
class settings_log
{
public:
    /// When the remembered changes and publication ids exceed this size, all of
    /// them are discarded. Together with the limit of the tree, this keeps a
    /// snapshot within the size limit of a settings text.
    static constexpr std::size_t memory_limit_bytes = 524'288;

    // reading the log

    /// @brief Returns the offset of the record to read next.
    ///
    /// The offset can decrease when a snapshot is adopted; the version does
    /// not.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::uint64_t next_offset() const;

    /// @brief Applies a record that was read from the log.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    apply_outcome apply(std::uint64_t offset, std::string_view record);

    /// @brief Handles the expiry of the records before @a first in the log.
    ///
    /// If needed records have expired, the state stays in force until a
    /// snapshot that covers them is read or a newer state of a peer is adopted.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void on_records_expired(std::uint64_t first);

    /// @brief Handles a log that was read to its end and holds no records: the
    /// empty tree is in force.
    /// @pre the log was read from offset 0
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void on_empty_log();

    // exchange with peers and the log

    /// @brief Writes the state as a snapshot record, for the log or a peer.
    /// @pre @ref ready
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::string snapshot() const;

    /// @brief Adopts the state of a peer if it is newer or there is none yet.
    /// @param snapshot the text that the peer's @ref snapshot returned
    /// @return whether the state was adopted
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    bool adopt_snapshot(std::string_view snapshot);

    // observers

    /// @brief Returns whether a tree is in force.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] bool ready() const;

    /// @brief Returns whether needed records have expired and no newer state
    /// has been adopted since, from the log or from a peer.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] bool seeking_snapshot() const;

    /// @brief Returns the version in force.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] settings_version version() const;

    /// @brief Returns the tree in force.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] settings_tree const& tree() const;

    /// @brief Returns the whole state.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] settings_state const& state() const;

    /// @brief Returns the outcome of a publication, as long as it is
    /// remembered.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::optional<publication_outcome>
    outcome(std::string_view publication) const;

    /// @brief Finds the conflict that a publication would cause as the next
    /// record.
    /// @return a touched path that changed after the publication's base;
    /// `base` for a base before the horizon or after the version in force;
    /// nothing without a conflict
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::optional<std::string>
    find_conflict(settings_publication const& publication) const;

    /// @brief Returns the number of records since the last snapshot that was
    /// read from the log, or since offset 0 without one.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::uint64_t records_since_snapshot() const;

    /// @brief Returns the offset of the last snapshot that was read from the
    /// log.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::optional<std::uint64_t> last_snapshot_offset() const;

private:
    apply_outcome apply_parsed(settings_publication const& publication);
    apply_outcome apply_parsed(settings_state const& snapshot);
    apply_outcome apply_parsed(malformed_record const& record);
    apply_outcome seek_snapshot(std::uint64_t offset, std::string_view record);
    [[nodiscard]] bool changed_after(std::string_view path,
                                     settings_version base) const;
    void record_change(std::string const& path);
    void discard_history_before(settings_version horizon);
    void limit_history();

    settings_state state_;
    bool has_state_ = false;
    /// Offset to read next during the search for a snapshot.
    std::optional<std::uint64_t> seek_offset_;
    /// Highest reported offset of the first record that the log still holds.
    std::uint64_t first_offset_ = 0;
    std::optional<std::uint64_t> last_snapshot_offset_;
};

} // namespace goldcrestgate::core
