#include "goldcrestgate/core/settings/settings_resolver.hpp"

#include "goldcrestgate/core/settings/effective.hpp"
#include "goldcrestgate/core/settings/tree_schema.hpp"

#include <chrono>
#include <span>

namespace goldcrestgate::core
{

namespace
{

/// Stores an accepted value in the policy member that its key sets.
template <typename Policy>
struct member_setter
{
    Policy& policy;
    nlohmann::json const& value;

    void operator()(duration Policy::*member) const
    {
        policy.*member = std::chrono::milliseconds{value.get<std::int64_t>()};
    }

    template <typename Member>
    void operator()(Member Policy::*member) const
    {
        policy.*member = value.get<Member>();
    }
};

template <typename Policy>
Policy make_policy(std::vector<effective_value> const& values,
                   std::span<policy_key<Policy> const> keys)
{
    Policy policy;
    for (auto const& value : values)
    {
        auto const* const key = find_policy_key(keys, value.key);
        std::visit(member_setter<Policy>{policy, value.value}, key->member);
    }
    return policy;
}

// Returns the id of a name; a new name gets the next id.
template <typename Id, typename Policy>
Id find_or_add_id(std::map<std::string, Id, std::less<>>& ids,
                  std::vector<Policy>& policies, std::string const& name)
{
    auto const next = Id{static_cast<typename Id::rep>(policies.size())};
    auto const [entry, inserted] = ids.emplace(name, next);
    if (inserted)
    {
        policies.emplace_back();
    }
    return entry->second;
}

} // namespace

settings_ptr settings_resolver::resolve(settings_tree const& tree,
                                        settings_version version)
{
    auto view = std::make_shared<settings_view>();
    view->version = version;
    for (auto const& path : list_services(tree))
    {
        auto const id = find_or_add_id(service_ids_, services_, path);
        services_[id.value()] =
            make_policy(effective_service(tree, path), service_keys());
        view->service_ids.emplace(path, id);
    }
    for (auto const& name : list_teams(tree))
    {
        auto const id = find_or_add_id(team_ids_, teams_, name);
        teams_[id.value()] =
            make_policy(effective_team(tree, name), team_keys());
        view->team_ids.emplace(name, id);
    }
    view->services = services_;
    view->teams = teams_;
    view->urgent = make_policy(effective_urgency(tree), urgency_keys());
    return view;
}

std::vector<settings_fault> find_ignored(settings_tree const& tree)
{
    settings_document document;
    document.value = tree.root();
    return check_tree(document, "published settings");
}

} // namespace goldcrestgate::core
