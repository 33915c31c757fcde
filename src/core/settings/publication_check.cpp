#include "goldcrestgate/core/settings/publication_check.hpp"

#include "goldcrestgate/core/settings/schema.hpp"
#include "goldcrestgate/core/settings/tree_schema.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace goldcrestgate::core
{

namespace
{

using nlohmann::json;

constexpr std::string_view body_name = "publication";
constexpr text_rule label_rule{text_form::label, {}, {}};
constexpr integer_rule version_rule{0, INT64_MAX, {}};
constexpr std::array<std::string_view, 5> publication_members = {
    "publication", "base", "author", "set", "unset"};

bool is_path_text(json const& value)
{
    return value.is_string() &&
           is_settings_path(value.get_ref<std::string const&>());
}

std::size_t remaining_parts(std::string_view path)
{
    auto const dots = std::count(path.begin(), path.end(), '.');
    return settings_path_part_limit - static_cast<std::size_t>(dots) - 1;
}

/// Reads a publication and collects the faults of its form.
class publication_reader
{
public:
    explicit publication_reader(settings_document const& document)
        : document_(document)
    {
    }

    publication_check run() &&
    {
        if (!document_.value.is_object())
        {
            add(error_code::settings_wrong_type, {}, document_.value,
                "an object");
            return std::move(outcome_);
        }
        refuse_unknown_members();
        read_header();
        read_set();
        read_unset();
        check_touched_paths();
        return std::move(outcome_);
    }

private:
    settings_publication& publication()
    {
        return outcome_.publication;
    }

    void refuse_unknown_members()
    {
        for (auto const& [name, value] : document_.value.items())
        {
            if (std::find(publication_members.begin(),
                          publication_members.end(),
                          name) == publication_members.end())
            {
                add(error_code::settings_unknown_key, name, value,
                    "publication, base, author, set or unset");
            }
        }
    }

    json const* require(std::string const& name, value_rule const& rule)
    {
        auto const found = document_.value.find(name);
        if (found == document_.value.end())
        {
            add(error_code::settings_missing_key, name, nullptr,
                describe_range(rule));
            return nullptr;
        }
        if (auto const code = check_value(rule, *found))
        {
            add(*code, name, *found, describe_range(rule));
            return nullptr;
        }
        return &*found;
    }

    void read_header()
    {
        if (auto const* const id = require("publication", label_rule))
        {
            publication().publication = id->get<std::string>();
        }
        if (auto const* const author = require("author", label_rule))
        {
            publication().author = author->get<std::string>();
        }
        if (auto const* const base = require("base", version_rule))
        {
            publication().base = settings_version{base->get<std::uint64_t>()};
        }
    }

    void read_set()
    {
        auto const set = document_.value.find("set");
        if (set == document_.value.end())
        {
            return;
        }
        if (!set->is_object())
        {
            add(error_code::settings_wrong_type, "set", *set, "an object");
            return;
        }
        for (auto const& [path, value] : set->items())
        {
            read_set_entry(path, value);
        }
    }

    void read_set_entry(std::string const& path, json const& value)
    {
        if (!is_settings_path(path))
        {
            add(error_code::settings_unknown_key, join_path("set", path), value,
                "a path such as services.roll-desk.max_attempts");
        }
        else if (!is_tree_value(value, remaining_parts(path)))
        {
            add(error_code::settings_wrong_type, join_path("set", path), value,
                "a number, a string, true, false or an object of these");
        }
        else
        {
            publication().changes.set.emplace(path, value);
        }
    }

    void read_unset()
    {
        auto const unset = document_.value.find("unset");
        if (unset == document_.value.end())
        {
            return;
        }
        if (!unset->is_array() ||
            !std::all_of(unset->begin(), unset->end(), is_path_text))
        {
            add(error_code::settings_wrong_type, "unset", *unset,
                "a list of paths");
            return;
        }
        publication().changes.unset = unset->get<std::vector<std::string>>();
    }

    // Paths of one record must not overlap, so that the order in which they
    // are applied does not matter.
    void check_touched_paths()
    {
        auto const& changes = publication().changes;
        std::vector<std::string> touched = changes.unset;
        touched.reserve(touched.size() + changes.set.size());
        for (auto const& [path, value] : changes.set)
        {
            touched.push_back(path);
        }
        if (touched.empty() || touched.size() > settings_touched_limit)
        {
            add(error_code::settings_out_of_range, "set", touched.size(),
                "from 1 to " + std::to_string(settings_touched_limit) +
                    " paths in set and unset");
            return;
        }
        refuse_overlapping_paths(std::move(touched));
    }

    void refuse_overlapping_paths(std::vector<std::string> touched)
    {
        // With a trailing dot, a path sorts directly before its descendants.
        for (auto& path : touched)
        {
            path += '.';
        }
        std::sort(touched.begin(), touched.end());
        for (std::size_t i = 1; i < touched.size(); ++i)
        {
            if (touched[i].starts_with(touched[i - 1]))
            {
                touched[i].pop_back();
                add(error_code::settings_duplicate_key, touched[i], nullptr,
                    "each path only once and no path below another");
                return;
            }
        }
    }

    void add(error_code code, std::string_view path, json const& value,
             std::string expected)
    {
        outcome_.faults.push_back(make_fault(code, document_, body_name, path,
                                             value, std::move(expected)));
    }

    settings_document const& document_;
    publication_check outcome_;
};

std::vector<settings_fault>
check_values(settings_publication const& publication, settings_tree tree)
{
    auto const touched = [&publication](std::string const& path)
    {
        auto const& changes = publication.changes;
        return std::any_of(changes.set.begin(), changes.set.end(),
                           [&path](auto const& entry)
                           {
                               return paths_overlap(entry.first, path);
                           });
    };
    std::vector<settings_fault> faults;
    settings_document document;
    if (!apply_changes(publication.changes, tree))
    {
        faults.push_back({error_code::settings_wrong_type,
                          std::string{body_name}, 0, "set", "",
                          "paths with only objects as parents, in a tree of "
                          "at most 1 MiB"});
        return faults;
    }
    document.value = tree.root();
    faults = check_tree(document, body_name);
    std::erase_if(faults,
                  [&touched](settings_fault const& fault)
                  {
                      return !touched(fault.key);
                  });
    return faults;
}

} // namespace

publication_check read_publication(settings_document const& document)
{
    return publication_reader(document).run();
}

publication_check check_publication(std::string_view body,
                                    settings_tree const& present)
{
    auto const document = parse_document(body, body_name);
    if (!document.faults.empty())
    {
        return {{}, document.faults};
    }
    auto check = publication_reader(document).run();
    if (check.faults.empty())
    {
        check.faults = check_values(check.publication, present);
    }
    return check;
}

} // namespace goldcrestgate::core
