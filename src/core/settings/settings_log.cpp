#include "goldcrestgate/core/settings/settings_log.hpp"

#include <algorithm>
#include <utility>

namespace goldcrestgate::core
{

namespace
{

// Size of the JSON punctuation, the version and the outcome of an entry.
constexpr std::size_t entry_overhead_bytes = 64;

settings_version version_after(std::uint64_t offset)
{
    return settings_version{offset + 1};
}

template <typename Entries>
std::size_t history_bytes(Entries const& entries)
{
    std::size_t bytes = 0;
    for (auto const& [name, value] : entries)
    {
        bytes += name.size() + entry_overhead_bytes;
    }
    return bytes;
}

} // namespace

std::uint64_t settings_log::next_offset() const
{
    return seek_offset_.value_or(state_.version.value());
}

apply_outcome settings_log::apply(std::uint64_t offset, std::string_view record)
{
    if (offset < next_offset())
    {
        return apply_outcome::repeated_record;
    }
    if (offset > next_offset())
    {
        return apply_outcome::out_of_order;
    }
    if (seek_offset_)
    {
        return seek_snapshot(offset, record);
    }
    // Refused and malformed records advance the version as well, so that it is
    // always the offset to read next.
    state_.version = version_after(offset);
    has_state_ = true;
    auto const outcome = std::visit(
        [this](auto const& parsed_record)
        {
            return apply_parsed(parsed_record);
        },
        parse_record(record));
    limit_history();
    return outcome;
}

apply_outcome
settings_log::apply_parsed(settings_publication const& publication)
{
    if (state_.publications.contains(publication.publication))
    {
        return apply_outcome::repeated_publication;
    }
    // The base cannot be after the record. Otherwise, a publication that is
    // repeated after its id was discarded could be applied.
    bool const applied = publication.base < state_.version &&
                         !find_conflict(publication) &&
                         apply_changes(publication.changes, state_.tree);
    state_.publications.emplace(publication.publication,
                                publication_outcome{state_.version, applied});
    if (!applied)
    {
        return apply_outcome::conflict;
    }
    for (auto const& [path, value] : publication.changes.set)
    {
        record_change(path);
    }
    for (auto const& path : publication.changes.unset)
    {
        record_change(path);
    }
    return apply_outcome::applied;
}

apply_outcome settings_log::apply_parsed(settings_state const& snapshot)
{
    if (snapshot.version >= state_.version)
    {
        return apply_outcome::malformed;
    }
    last_snapshot_offset_ = state_.version.value() - 1;
    discard_history_before(snapshot.version);
    return apply_outcome::snapshot_seen;
}

apply_outcome settings_log::apply_parsed(malformed_record const& /*record*/)
{
    return apply_outcome::malformed;
}

// A snapshot is usable when the log still holds every record after those that
// it covers; reading then continues with the first of these records.
apply_outcome settings_log::seek_snapshot(std::uint64_t offset,
                                          std::string_view record)
{
    seek_offset_ = offset + 1;
    auto parsed = parse_record(record);
    auto* const snapshot = std::get_if<settings_state>(&parsed);
    if (snapshot == nullptr || snapshot->version.value() > offset ||
        snapshot->version.value() < first_offset_ ||
        snapshot->version < state_.version)
    {
        return apply_outcome::skipped;
    }
    state_ = std::move(*snapshot);
    has_state_ = true;
    seek_offset_.reset();
    return apply_outcome::snapshot_adopted;
}

void settings_log::on_records_expired(std::uint64_t first)
{
    first_offset_ = std::max(first_offset_, first);
    if (next_offset() < first)
    {
        seek_offset_ = first;
    }
}

void settings_log::on_empty_log()
{
    has_state_ = true;
}

std::string settings_log::snapshot() const
{
    return write_snapshot(state_);
}

bool settings_log::adopt_snapshot(std::string_view snapshot)
{
    auto parsed = parse_record(snapshot);
    auto* const state = std::get_if<settings_state>(&parsed);
    if (state == nullptr || (has_state_ && state->version <= state_.version))
    {
        return false;
    }
    state_ = std::move(*state);
    has_state_ = true;
    // The next read shows whether the log still holds the records after the new
    // state.
    seek_offset_.reset();
    return true;
}

bool settings_log::ready() const
{
    return has_state_;
}

bool settings_log::seeking_snapshot() const
{
    return seek_offset_.has_value();
}

settings_version settings_log::version() const
{
    return state_.version;
}

settings_tree const& settings_log::tree() const
{
    return state_.tree;
}

settings_state const& settings_log::state() const
{
    return state_;
}

std::optional<publication_outcome>
settings_log::outcome(std::string_view publication) const
{
    auto const found = state_.publications.find(publication);
    return found == state_.publications.end() ? std::nullopt
                                              : std::optional{found->second};
}

std::optional<std::string>
settings_log::find_conflict(settings_publication const& publication) const
{
    if (publication.base < state_.horizon || publication.base > state_.version)
    {
        return "base";
    }
    for (auto const& [path, value] : publication.changes.set)
    {
        if (changed_after(path, publication.base))
        {
            return path;
        }
    }
    for (auto const& path : publication.changes.unset)
    {
        if (changed_after(path, publication.base))
        {
            return path;
        }
    }
    return std::nullopt;
}

std::uint64_t settings_log::records_since_snapshot() const
{
    auto const next = state_.version.value();
    return last_snapshot_offset_ ? next - *last_snapshot_offset_ - 1 : next;
}

std::optional<std::uint64_t> settings_log::last_snapshot_offset() const
{
    return last_snapshot_offset_;
}

bool settings_log::changed_after(std::string_view path,
                                 settings_version base) const
{
    return std::any_of(state_.changed.begin(), state_.changed.end(),
                       [path, base](auto const& entry)
                       {
                           return entry.second > base &&
                                  paths_overlap(entry.first, path);
                       });
}

void settings_log::record_change(std::string const& path)
{
    // A change of a path supersedes the older changes below it.
    std::erase_if(state_.changed,
                  [&path](auto const& entry)
                  {
                      return entry.first.starts_with(path + '.');
                  });
    state_.changed.insert_or_assign(path, state_.version);
}

void settings_log::discard_history_before(settings_version horizon)
{
    state_.horizon = std::max(state_.horizon, horizon);
    std::erase_if(state_.changed,
                  [this](auto const& entry)
                  {
                      return entry.second <= state_.horizon;
                  });
    std::erase_if(state_.publications,
                  [this](auto const& entry)
                  {
                      return entry.second.version <= state_.horizon;
                  });
}

void settings_log::limit_history()
{
    if (history_bytes(state_.changed) + history_bytes(state_.publications) >
        memory_limit_bytes)
    {
        discard_history_before(state_.version);
    }
}

} // namespace goldcrestgate::core
