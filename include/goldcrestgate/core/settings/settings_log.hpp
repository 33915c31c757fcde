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

/// What applying one record of the log did.
enum class apply_outcome : std::uint8_t
{
    /// The publication changed the tree.
    applied,
    /// A touched path changed after the publication's base, or its base is
    /// older than the horizon.
    conflict,
    /// The publication id was seen before; it counts once.
    repeated_publication,
    /// The record has a form that no instance can use; all pass over it.
    malformed,
    /// A snapshot; changes that it covers are forgotten.
    snapshot_seen,
    /// A snapshot became the state after a gap in the log.
    snapshot_adopted,
    /// The record was applied before.
    repeated_record,
    /// Records before this one are missing; read from `next_offset`.
    out_of_order,
    /// Passed over while looking for a snapshot after a gap.
    skipped
};

/// @brief Applies the records of the log stream `settings` in order.
///
/// The state depends on the records alone: instances that applied all records
/// before an offset have equal states, whether they read each record, started
/// from a snapshot or took the state from a peer. The version never decreases.
///
/// Memory is bounded: a snapshot in the log, or @ref memory_limit_bytes of
/// remembered paths and publication ids, raises the horizon. A publication that
/// arrives again after its id was forgotten has a base before the horizon and
/// is refused as a conflict; it never counts twice.
class settings_log
{
public:
    /// Remembered changes and publication ids beyond this size are forgotten
    /// at once; with the tree's own limit, a snapshot then fits into a text.
    static constexpr std::size_t memory_limit_bytes = 524'288;

    // reading the log

    /// @brief Returns the offset of the record to read next. It can decrease,
    /// when a snapshot was adopted; the version does not.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::uint64_t next_offset() const;

    /// @brief Applies a record that was read from the log.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    apply_outcome apply(std::uint64_t offset, std::string_view record);

    /// @brief Notes that the log no longer holds the records before @a first.
    ///
    /// If records that are needed have expired, the state stays in force and
    /// the next snapshot that covers them is looked for.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    void on_records_expired(std::uint64_t first);

    /// @brief Notes that the log was read to its end and holds no records, so
    /// that the empty tree is the one in force.
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

    /// @brief Takes the state of a peer if it is newer.
    /// @param snapshot the text that the peer's @ref snapshot returned
    /// @return whether the state was taken
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    bool adopt_snapshot(std::string_view snapshot);

    // observers

    /// @brief Returns whether there is a tree to work with.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] bool ready() const;

    /// @brief Returns whether needed records have expired and neither the log
    /// nor a peer has given a newer state since.
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

    /// @brief Returns what became of a publication, as long as it is
    /// remembered.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::optional<publication_outcome>
    outcome(std::string_view publication) const;

    /// @brief Returns a touched path that changed after the publication's
    /// base, if it were the next record; `base` for a base that is too old or
    /// does not exist yet.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::optional<std::string>
    find_conflict(settings_publication const& publication) const;

    /// @brief Returns the number of records since the last snapshot.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::uint64_t records_since_snapshot() const;

    /// @brief Returns the offset of the last snapshot record in the log that
    /// was seen.
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] std::optional<std::uint64_t> last_snapshot_offset() const;

private:
    apply_outcome apply_next(settings_publication const& publication);
    apply_outcome apply_next(settings_state const& snapshot);
    apply_outcome apply_next(malformed_record const& record);
    apply_outcome seek(std::uint64_t offset, std::string_view record);
    [[nodiscard]] bool changed_after(std::string_view path,
                                     settings_version base) const;
    void note_change(std::string const& path);
    void forget_before(settings_version horizon);
    void limit_memory();

    settings_state state_;
    bool has_state_ = false;
    /// Offset to read next while a snapshot is looked for.
    std::optional<std::uint64_t> seek_offset_;
    /// The first record that the log held when a gap was noted.
    std::uint64_t first_offset_ = 0;
    std::optional<std::uint64_t> last_snapshot_;
};

} // namespace goldcrestgate::core
