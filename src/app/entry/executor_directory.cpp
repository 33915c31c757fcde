#include "goldcrestgate/app/entry/executor_directory.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace goldcrestgate::app
{

namespace
{

/// Executors write their entries again about 2 s after the end of an outage of
/// the store; the remainder covers the time between two reads.
constexpr core::duration missing_entry_timeout =
    std::chrono::milliseconds{2600};

/// An executor that returns within this time keeps its id, as the scheduler may
/// still know its runs.
constexpr core::duration id_retention = std::chrono::seconds{60};

} // namespace

executor_directory::executor_directory(core::domain_id own_domain,
                                       adapter::domain_lookup domains,
                                       directory_callbacks callbacks)
    : own_domain_(own_domain)
    , domains_(std::move(domains))
    , callbacks_(std::move(callbacks))
{
}

void executor_directory::apply_snapshot(adapter::topic_page const& page,
                                        core::time_point now)
{
    follows_roster_ = false;
    std::set<std::string_view> present;
    for (auto const& record : page.records)
    {
        present.insert(record.key);
    }
    for (auto& [name, known] : entries_)
    {
        if (!present.contains(name))
        {
            mark_missing(known, false, now);
        }
    }
    apply_changes(page, now);
}

void executor_directory::apply_changes(adapter::topic_page const& page,
                                       core::time_point now)
{
    store_readable_since_ = store_readable_since_.value_or(now);
    for (auto const& record : page.records)
    {
        apply_record(record, now);
    }
}

void executor_directory::apply_record(adapter::keyed_record const& record,
                                      core::time_point now)
{
    auto const known = entries_.find(record.key);
    // Reading on after a snapshot repeats records that are older than those of
    // its later pages.
    if (known != entries_.end() && record.offset &&
        record.offset < known->second.offset)
    {
        return;
    }
    if (known != entries_.end())
    {
        known->second.offset = record.offset;
    }
    auto const description =
        record.value
            ? decode(record.key, *record.value,
                     known == entries_.end() ? nullptr : &known->second)
            : std::nullopt;
    bool const is_odd = record.value && !description;
    // An entry of another writer, or for another failure domain, does not name
    // the executor that is known under its key.
    if (known != entries_.end() &&
        (!description || description->domain != own_domain_))
    {
        mark_missing(known->second, is_odd, now);
    }
    if (is_odd)
    {
        callbacks_.on_invalid_entry(record.key);
        return;
    }
    if (!description || description->domain != own_domain_)
    {
        return;
    }
    if (known == entries_.end())
    {
        if (!follows_roster_)
        {
            add(*description).offset = record.offset;
        }
        return;
    }
    auto& stored = known->second;
    stored.missing_since.reset();
    stored.replaced = false;
    if (!follows_roster_)
    {
        update(stored, *description);
    }
}

std::optional<core::executor_description>
executor_directory::decode(std::string const& name, std::string_view value,
                           entry const* known) const
{
    auto description = adapter::decode_executor(name, value, domains_);
    // An executor keeps a service that a later configuration no longer names.
    bool const is_other_service =
        description && known != nullptr &&
        description->service != known->description.service;
    if (is_other_service && callbacks_.names_service &&
        !callbacks_.names_service(description->service))
    {
        description.reset();
    }
    return description;
}

void executor_directory::mark_missing(entry& known, bool replaced,
                                      core::time_point now)
{
    bool const is_deleted_now = known.replaced && !replaced;
    if (!known.missing_since || is_deleted_now)
    {
        known.missing_since = now;
    }
    known.replaced = replaced;
}

bool executor_directory::is_expired(entry const& known,
                                    core::time_point now) const
{
    bool const is_overdue =
        known.missing_since && store_readable_since_ &&
        now - std::max(*known.missing_since, *store_readable_since_) >
            missing_entry_timeout;
    // What another writer has written says nothing about the executor.
    bool const is_kept =
        known.replaced && callbacks_.is_busy && callbacks_.is_busy(known.id);
    return is_overdue && !is_kept;
}

void executor_directory::update(entry& known,
                                core::executor_description const& description)
{
    if (known.description != description)
    {
        known.description = description;
        callbacks_.on_listed(known.id, known.description);
    }
}

executor_directory::entry&
executor_directory::add(core::executor_description const& description)
{
    auto const removed = removed_ids_.extract(description.name);
    auto const id =
        removed ? removed.mapped().id : core::executor_id{++last_id_};
    auto& stored =
        entries_
            .emplace(description.name,
                     entry{id, description, std::nullopt, std::nullopt})
            .first->second;
    callbacks_.on_listed(id, stored.description);
    return stored;
}

void executor_directory::remove(std::string const& name, core::executor_id id,
                                core::time_point now)
{
    removed_ids_.insert_or_assign(name, removed_id{id, now});
    callbacks_.on_unlisted(id);
}

void executor_directory::merge(
    std::vector<core::executor_description> const& executors,
    core::time_point now)
{
    for (auto const& description : executors)
    {
        if (description.domain == own_domain_ &&
            !entries_.contains(description.name))
        {
            add(description).missing_since = now;
        }
    }
}

void executor_directory::replace(
    std::vector<core::executor_description> const& executors,
    core::time_point now)
{
    follows_roster_ = true;
    std::set<std::string_view> present;
    for (auto const& description : executors)
    {
        present.insert(description.name);
    }
    std::erase_if(entries_,
                  [this, &present, now](auto const& item)
                  {
                      bool const gone = !present.contains(item.first);
                      if (gone)
                      {
                          remove(item.first, item.second.id, now);
                      }
                      return gone;
                  });
    merge(executors, now);
    for (auto const& description : executors)
    {
        auto const known = entries_.find(description.name);
        if (known != entries_.end())
        {
            update(known->second, description);
            known->second.missing_since = now;
        }
    }
}

std::optional<core::executor_id>
executor_directory::find(std::string_view name) const
{
    auto const found = entries_.find(std::string{name});
    return found == entries_.end() ? std::nullopt
                                   : std::optional{found->second.id};
}

std::vector<core::executor_description> executor_directory::descriptions() const
{
    std::vector<core::executor_description> result;
    result.reserve(entries_.size());
    for (auto const& [name, known] : entries_)
    {
        result.push_back(known.description);
    }
    return result;
}

bool executor_directory::is_complete(core::time_point now) const
{
    return store_readable_since_ && !follows_roster_ &&
           now - *store_readable_since_ > missing_entry_timeout;
}

void executor_directory::expire(core::time_point now)
{
    std::erase_if(removed_ids_,
                  [now](auto const& item)
                  {
                      return now - item.second.removed_at > id_retention;
                  });
    if (!store_readable_since_)
    {
        return;
    }
    std::erase_if(entries_,
                  [this, now](auto const& item)
                  {
                      bool const expired = is_expired(item.second, now);
                      if (expired)
                      {
                          remove(item.first, item.second.id, now);
                      }
                      return expired;
                  });
}

} // namespace goldcrestgate::app
