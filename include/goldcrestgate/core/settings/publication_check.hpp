#pragma once

#include "goldcrestgate/core/settings/document.hpp"
#include "goldcrestgate/core/settings/fault.hpp"
#include "goldcrestgate/core/settings/settings_record.hpp"
#include "goldcrestgate/core/settings/settings_tree.hpp"

#include <cstddef>
#include <string_view>
#include <vector>

namespace goldcrestgate::core
{

/// Maximum number of paths that one record may set or unset.
inline constexpr std::size_t settings_touched_limit = 1024;

/// @brief A publication read from a log record or from the body of
/// `POST /v1/admin/settings`, with the faults found.
struct publication_check
{
    settings_publication publication;
    /// Empty for an accepted publication.
    std::vector<settings_fault> faults;
};

/// @brief Reads a publication and checks its form, without a schema.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] publication_check
read_publication(settings_document const& document);

/// @brief Checks the form of a publication, and the values at its paths in the
/// resulting tree against the schema.
///
/// Faults of the tree outside these paths are ignored, so that values which an
/// instance of another program version published do not block the
/// publication.
/// @param body the JSON text of a record
/// @param present the tree in force
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] publication_check check_publication(std::string_view body,
                                                  settings_tree const& present);

} // namespace goldcrestgate::core
