#pragma once

#include "goldcrestgate/core/ids.hpp"
#include "goldcrestgate/core/settings/fault.hpp"
#include "goldcrestgate/core/settings/settings_tree.hpp"
#include "goldcrestgate/core/settings/settings_view.hpp"

#include <map>
#include <string>
#include <vector>

namespace goldcrestgate::core
{

/// @brief Resolves trees into views; ids of names stay stable between views.
///
/// Each name that was ever in force occupies one table entry for the lifetime
/// of the process.
class settings_resolver
{
public:
    /// @brief Resolves a tree.
    ///
    /// Values that the schema does not accept are ignored: the inherited value
    /// or the default applies. The tables of the view keep the last policy of
    /// removed names, because jobs in flight may still refer to it.
    /// @return the view; never null
    /// @par Thread safety
    /// Not safe; the owner of the object serializes calls.
    [[nodiscard]] settings_ptr resolve(settings_tree const& tree,
                                       settings_version version);

private:
    std::map<std::string, service_id, std::less<>> service_ids_;
    std::map<std::string, team_id, std::less<>> team_ids_;
    std::vector<service_policy> services_;
    std::vector<team_policy> teams_;
};

/// @brief Returns a fault for each published value that this program version
/// does not accept and therefore ignores.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::vector<settings_fault>
find_ignored(settings_tree const& tree);

} // namespace goldcrestgate::core
