#include "goldcrestgate/core/settings/settings_tree.hpp"

#include "goldcrestgate/core/settings/document.hpp"

#include <algorithm>
#include <optional>

namespace goldcrestgate::core
{

namespace
{

using nlohmann::json;

constexpr std::size_t part_limit_bytes = 64;
constexpr std::string_view part_characters =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_";

// Removes the first part of a path and returns it.
std::string_view consume_part(std::string_view& path)
{
    auto const end = std::min(path.find('.'), path.size());
    auto const part = path.substr(0, end);
    path.remove_prefix(std::min(end + 1, path.size()));
    return part;
}

bool is_part(std::string_view part)
{
    return !part.empty() && part.size() <= part_limit_bytes &&
           part.find_first_not_of(part_characters) == std::string_view::npos;
}

bool is_ancestor(std::string_view ancestor, std::string_view descendant)
{
    return descendant.size() > ancestor.size() &&
           descendant.starts_with(ancestor) &&
           descendant[ancestor.size()] == '.';
}

// Returns whether all existing values from the root down to a path, including
// the path itself, are objects.
bool has_only_objects_down_to(json const& root, std::string_view path)
{
    json const* node = &root;
    while (!path.empty())
    {
        if (!node->is_object())
        {
            return false;
        }
        auto const found = node->find(std::string{consume_part(path)});
        if (found == node->end())
        {
            return true;
        }
        node = &*found;
    }
    return node->is_object();
}

void collect_changes(json const& from, json const& to, std::string const& path,
                     settings_changes& changes)
{
    for (auto const& [name, value] : from.items())
    {
        if (!to.contains(name))
        {
            changes.unset.push_back(join_path(path, name));
        }
    }
    for (auto const& [name, value] : to.items())
    {
        auto const before = from.find(name);
        std::string const child_path = join_path(path, name);
        if (before != from.end() && before->is_object() && value.is_object())
        {
            collect_changes(*before, value, child_path, changes);
        }
        else if (before == from.end() || *before != value)
        {
            changes.set.emplace(child_path, value);
        }
    }
}

} // namespace

bool is_settings_path(std::string_view path)
{
    if (path.empty() || path.back() == '.')
    {
        return false;
    }
    std::size_t parts = 0;
    while (!path.empty())
    {
        ++parts;
        if (parts > settings_path_part_limit || !is_part(consume_part(path)))
        {
            return false;
        }
    }
    return true;
}

bool paths_overlap(std::string_view left, std::string_view right)
{
    return left == right || is_ancestor(left, right) ||
           is_ancestor(right, left);
}

settings_tree::settings_tree()
    : root_(json::object())
{
}

settings_tree::settings_tree(json root)
    : root_(std::move(root))
{
}

json const& settings_tree::root() const
{
    return root_;
}

json const* settings_tree::find(std::string_view path) const
{
    json const* node = &root_;
    while (!path.empty())
    {
        if (!node->is_object())
        {
            return nullptr;
        }
        auto const found = node->find(std::string{consume_part(path)});
        if (found == node->end())
        {
            return nullptr;
        }
        node = &*found;
    }
    return node;
}

bool settings_tree::set(std::string_view path, json value)
{
    auto const last = path.rfind('.');
    auto const parent =
        last == std::string_view::npos ? "" : path.substr(0, last);
    if (!has_only_objects_down_to(root_, parent))
    {
        return false;
    }
    json* node = &root_;
    while (!path.empty())
    {
        node = &(*node)[std::string{consume_part(path)}];
    }
    *node = std::move(value);
    return true;
}

bool settings_tree::unset(std::string_view path)
{
    json* node = &root_;
    while (path.find('.') != std::string_view::npos)
    {
        if (!node->is_object())
        {
            return false;
        }
        auto const found = node->find(std::string{consume_part(path)});
        if (found == node->end())
        {
            return false;
        }
        node = &*found;
    }
    return node->is_object() && node->erase(std::string{path}) > 0;
}

bool apply_changes(settings_changes const& changes, settings_tree& tree)
{
    settings_tree changed = tree;
    for (auto const& path : changes.unset)
    {
        changed.unset(path);
    }
    for (auto const& [path, value] : changes.set)
    {
        if (!changed.set(path, value))
        {
            return false;
        }
    }
    if (changed.root().dump().size() > settings_tree_limit_bytes)
    {
        return false;
    }
    tree = std::move(changed);
    return true;
}

settings_changes compare_trees(settings_tree const& from,
                               settings_tree const& to)
{
    settings_changes changes;
    collect_changes(from.root(), to.root(), {}, changes);
    return changes;
}

} // namespace goldcrestgate::core
