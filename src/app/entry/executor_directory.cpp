#include "goldcrestgate/app/entry/executor_directory.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace goldcrestgate::app
{

namespace
{

/// Entries are back about 2 s after the store's return; the rest allows for
/// the time between two reads.
constexpr core::duration missing_patience = std::chrono::milliseconds{2600};

} // namespace

executor_directory::executor_directory(core::domain_id own_domain,
                                       adapter::domain_lookup domains,
                                       directory_sinks sinks)
    : own_domain_(own_domain)
    , domains_(std::move(domains))
    , sinks_(std::move(sinks))
{
}

void executor_directory::replace(adapter::topic_page const& page,
                                 core::time_point now)
{
    std::set<std::string_view> present;
    for (auto const& record : page.records)
    {
        present.insert(record.key);
    }
    for (auto& [name, known] : entries_)
    {
        if (!present.contains(name) && !known.missing_since)
        {
            known.missing_since = now;
        }
    }
    update(page, now);
}

void executor_directory::update(adapter::topic_page const& page,
                                core::time_point now)
{
    readable_since_ = readable_since_.value_or(now);
    for (auto const& record : page.records)
    {
        apply(record, now);
    }
}

void executor_directory::apply(adapter::keyed_record const& record,
                               core::time_point now)
{
    auto const known = entries_.find(record.key);
    if (!record.value)
    {
        if (known != entries_.end() && !known->second.missing_since)
        {
            known->second.missing_since = now;
        }
        return;
    }
    auto description =
        adapter::decode_executor(record.key, *record.value, domains_);
    if (!description)
    {
        sinks_.refused(record.key);
        return;
    }
    if (description->domain != own_domain_)
    {
        return;
    }
    if (known == entries_.end())
    {
        add(*description);
        return;
    }
    auto& stored = known->second;
    stored.missing_since.reset();
    if (stored.description != *description)
    {
        stored.description = std::move(*description);
        sinks_.listed(stored.id, stored.description);
    }
}

executor_directory::entry&
executor_directory::add(core::executor_description const& description)
{
    core::executor_id const id{++last_id_};
    auto& stored =
        entries_.emplace(description.name, entry{id, description, std::nullopt})
            .first->second;
    sinks_.listed(id, stored.description);
    return stored;
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

std::optional<core::executor_id>
executor_directory::find(std::string_view name) const
{
    auto const found = entries_.find(std::string{name});
    return found == entries_.end() ? std::nullopt
                                   : std::optional{found->second.id};
}

std::vector<core::executor_description> executor_directory::descriptions() const
{
    std::vector<core::executor_description> all;
    all.reserve(entries_.size());
    for (auto const& [name, known] : entries_)
    {
        all.push_back(known.description);
    }
    return all;
}

void executor_directory::expire(core::time_point now)
{
    if (!readable_since_)
    {
        return;
    }
    std::erase_if(entries_,
                  [this, now](auto const& named)
                  {
                      auto const& missing = named.second.missing_since;
                      bool const gone =
                          missing &&
                          now - std::max(*missing, *readable_since_) >
                              missing_patience;
                      if (gone)
                      {
                          sinks_.unlisted(named.second.id);
                      }
                      return gone;
                  });
}

} // namespace goldcrestgate::app
