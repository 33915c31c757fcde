#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace goldcrestgate::core
{

/// Maximum number of parts of a path; bounds the depth of a tree.
inline constexpr std::size_t settings_path_part_limit = 16;

/// Maximum size of the JSON text of a tree (1 MiB); a change that would exceed
/// it is refused.
inline constexpr std::size_t settings_tree_limit_bytes = 1'048'576;

/// @brief Returns whether a path has the form `part.part`, each part of 1 to
/// 64 letters, digits, hyphens or underscores, and at most 16 parts.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] bool is_settings_path(std::string_view path);

/// @brief Returns whether two paths are equal or one is an ancestor of the
/// other.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] bool paths_overlap(std::string_view left, std::string_view right);

/// @brief The published settings: a tree of JSON objects with plain values.
///
/// The tree does not depend on a schema, so that instances of different
/// versions that apply the same records hold equal trees.
class settings_tree
{
public:
    /// @brief Creates an empty tree.
    settings_tree();

    /// @brief Creates a tree from a JSON object.
    /// @pre @a root is an object
    explicit settings_tree(nlohmann::json root);

    /// @brief Returns the whole tree.
    /// @par Thread safety
    /// Safe for concurrent readers.
    [[nodiscard]] nlohmann::json const& root() const;

    /// @brief Finds the value at a path; the empty path is the whole tree.
    /// @return the value, or null when there is none
    /// @par Thread safety
    /// Safe for concurrent readers.
    [[nodiscard]] nlohmann::json const* find(std::string_view path) const;

    /// @brief Sets a value or replaces a whole branch; creates missing objects
    /// above it.
    /// @pre @a path is a settings path
    /// @return false, with the tree unchanged, when an ancestor of the path is
    /// not an object
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] bool set(std::string_view path, nlohmann::json value);

    /// @brief Removes a value or a whole branch.
    /// @pre @a path is a settings path
    /// @return whether there was something to remove
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    bool unset(std::string_view path);

    friend bool operator==(settings_tree const&,
                           settings_tree const&) = default;

private:
    nlohmann::json root_;
};

/// @brief The changes that turn one tree into another.
struct settings_changes
{
    std::map<std::string, nlohmann::json> set;
    std::vector<std::string> unset;

    friend bool operator==(settings_changes const&,
                           settings_changes const&) = default;
};

/// @brief Applies all changes or none.
/// @return false, with the tree unchanged, when an ancestor of a path is not an
/// object or the tree would exceed @ref settings_tree_limit_bytes
/// @par Thread safety
/// Not safe; the owner of the tree serializes calls.
[[nodiscard]] bool apply_changes(settings_changes const& changes,
                                 settings_tree& tree);

/// @brief Returns the smallest changes that turn @a from into @a to.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] settings_changes compare_trees(settings_tree const& from,
                                             settings_tree const& to);

} // namespace goldcrestgate::core
