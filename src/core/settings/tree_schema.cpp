#include "goldcrestgate/core/settings/tree_schema.hpp"

#include <array>
#include <charconv>

namespace goldcrestgate::core
{

namespace
{

constexpr std::int64_t second_ms = 1000;
constexpr std::int64_t hour_ms = 3600 * second_ms;

using service = service_policy;
using team = team_policy;
using urgent = urgency_policy;

constexpr std::array service_table = std::to_array<policy_key<service>>({
    {{"default_run_time_ms", integer_rule{1, hour_ms, 250},
      "Run time assumed for a task that declares none and has no history."},
     &service::default_run_time},
    {{"attempt_timeout_ms", integer_rule{10, hour_ms, 30 * second_ms},
      "An attempt without an answer counts as lost after this time."},
     &service::attempt_timeout},
    {{"default_deadline_ms", integer_rule{10, 24 * hour_ms, 60 * second_ms},
      "Deadline of a job that specifies none, relative to its arrival."},
     &service::default_deadline},
    {{"max_queue_wait_ms", integer_rule{10, hour_ms, 3500},
      "A job that would wait behind other work is refused when that work and "
      "its own are expected to take longer than this."},
     &service::max_queue_wait},
    {{"repeatable", boolean_rule{false},
      "Whether tasks may run more than once if the caller does not specify "
      "it."},
     &service::repeatable},
    {{"max_attempts", integer_rule{1, 10, 3},
      "Maximum number of starts of a repeatable task, including the first."},
     &service::max_attempts},
    {{"retry_budget_ratio", number_rule{0, 1, 0.1},
      "Retries allowed per first start."},
     &service::retry_budget_ratio},
    {{"hedge_budget_ratio", number_rule{0, 1, 0.0},
      "Hedged attempts of slow repeatable tasks allowed per first start."},
     &service::hedge_budget_ratio},
    {{"hedge_after_ratio", number_rule{1, 100, 2.0},
      "A hedged attempt starts when the first one has run for this multiple "
      "of its expected run time."},
     &service::hedge_after_ratio},
    {{"ejection_max_ratio", number_rule{0, 1, 0.3},
      "Maximum share of the servers that may be ejected because of failures "
      "of the service."},
     &service::ejection_max_ratio},
});

constexpr std::array team_table = std::to_array<policy_key<team>>({
    {{"weight", number_rule{0.01, 1000, 1.0},
      "Share of the capacity under contention, relative to other teams."},
     &team::weight},
    {{"max_running_tasks", integer_rule{0, 1'000'000, 0},
      "Maximum number of the team's tasks that run concurrently in one "
      "failure domain; 0 means no limit."},
     &team::max_running_tasks},
    {{"may_be_urgent", boolean_rule{true},
      "Whether jobs of the team may be urgent."},
     &team::may_be_urgent},
});

constexpr std::array urgency_table = std::to_array<policy_key<urgent>>({
    {{"urgent_weight", number_rule{1, 1000, 4.0},
      "Weight of an urgent task relative to a normal one of the same team."},
     &urgent::urgent_weight},
    {{"urgent_max_ratio", number_rule{0, 1, 0.5},
      "Share of the capacity that urgent tasks may take under contention."},
     &urgent::urgent_max_ratio},
});

constexpr std::array domain_table = std::to_array<key_schema>({
    {"name", text_rule{text_form::label, {}, {}},
     "Name of the failure domain in the output of the operator's command."},
    {"region", text_rule{text_form::label, {}, {}},
     "Region to which the failure domain belongs."},
});

template <typename Policy, std::size_t Count>
std::vector<key_schema>
schemas(std::array<policy_key<Policy>, Count> const& table)
{
    std::vector<key_schema> list;
    list.reserve(Count);
    for (auto const& key : table)
    {
        list.push_back(key.schema);
    }
    return list;
}

bool is_domain_number(std::string_view text)
{
    unsigned value = 0;
    auto const* const last = text.data() + text.size();
    auto const [end, failure] = std::from_chars(text.data(), last, value);
    return failure == std::errc{} && end == last && value > 0 &&
           value <= 65535 && text.front() != '0';
}

bool is_name(std::string_view text)
{
    return is_settings_path(text) && text.find('.') == std::string_view::npos;
}

/// Walks a tree and collects its faults.
class tree_checker
{
public:
    tree_checker(settings_document const& document, std::string_view file)
        : document_(document)
        , file_(file)
    {
    }

    std::vector<settings_fault> run() &&
    {
        if (!check_is_object({}, document_.value))
        {
            return std::move(faults_);
        }
        for (auto const& [name, value] : document_.value.items())
        {
            check_section(name, value);
        }
        return std::move(faults_);
    }

private:
    void check_section(std::string const& name, nlohmann::json const& value)
    {
        if (name != "services" && name != "teams" && name != "urgency" &&
            name != "failure_domains")
        {
            add(error_code::settings_unknown_key, name, value,
                "services, teams, urgency or failure_domains");
        }
        else if (!check_is_object(name, value))
        {
            return;
        }
        else if (name == "services")
        {
            check_service(name, value);
        }
        else if (name == "urgency")
        {
            check_values(name, value, schemas(urgency_table));
        }
        else
        {
            check_members(name, value);
        }
    }

    void check_service(std::string const& path, nlohmann::json const& node)
    {
        auto const schema = schemas(service_table);
        for (auto const& [name, value] : node.items())
        {
            std::string const child_path = join_path(path, name);
            if (is_child_service(name, value))
            {
                check_service(child_path, value);
            }
            else
            {
                check_entry(child_path, name, value, schema);
            }
        }
    }

    // The members of `teams` and `failure_domains` are named objects.
    void check_members(std::string const& section, nlohmann::json const& object)
    {
        bool const teams = section == "teams";
        auto const schema =
            teams ? schemas(team_table)
                  : std::vector(domain_table.begin(), domain_table.end());
        for (auto const& [name, value] : object.items())
        {
            std::string const path = join_path(section, name);
            if (teams ? !is_name(name) : !is_domain_number(name))
            {
                add(error_code::settings_unknown_key, path, value,
                    teams ? "a name of letters, digits, hyphens or underscores"
                          : "a number from 1 to 65535");
            }
            else if (check_is_object(path, value))
            {
                check_values(path, value, schema);
            }
        }
    }

    void check_values(std::string const& path, nlohmann::json const& object,
                      std::span<key_schema const> schema)
    {
        for (auto const& [name, value] : object.items())
        {
            check_entry(join_path(path, name), name, value, schema);
        }
    }

    void check_entry(std::string const& path, std::string const& name,
                     nlohmann::json const& value,
                     std::span<key_schema const> schema)
    {
        auto const* const key = find_key(schema, name);
        if (key == nullptr)
        {
            add(error_code::settings_unknown_key, path, value,
                "a key that docs/settings.md lists");
        }
        else if (auto const code = check_value(key->rule, value))
        {
            add(*code, path, value, describe_range(key->rule));
        }
    }

    bool check_is_object(std::string const& path, nlohmann::json const& value)
    {
        if (!value.is_object())
        {
            add(error_code::settings_wrong_type, path, value, "an object");
        }
        return value.is_object();
    }

    void add(error_code code, std::string_view path,
             nlohmann::json const& value, std::string expected)
    {
        faults_.push_back(make_fault(code, document_, file_, path, value,
                                     std::move(expected)));
    }

    settings_document const& document_;
    std::string_view file_;
    std::vector<settings_fault> faults_;
};

} // namespace

std::span<policy_key<service_policy> const> service_keys()
{
    return service_table;
}

std::span<policy_key<team_policy> const> team_keys()
{
    return team_table;
}

std::span<policy_key<urgency_policy> const> urgency_keys()
{
    return urgency_table;
}

std::span<key_schema const> domain_keys()
{
    return domain_table;
}

bool is_child_service(std::string_view name, nlohmann::json const& value)
{
    return value.is_object() && is_name(name) &&
           find_policy_key(service_keys(), name) == nullptr;
}

std::vector<settings_fault> check_tree(settings_document const& document,
                                       std::string_view file)
{
    return tree_checker(document, file).run();
}

settings_tree_check parse_settings_tree(std::string_view text,
                                        std::string_view file)
{
    settings_document document = parse_document(text, file);
    std::vector<settings_fault> faults = std::move(document.faults);
    if (faults.empty() || !document.value.is_null())
    {
        auto found = check_tree(document, file);
        faults.insert(faults.end(), std::make_move_iterator(found.begin()),
                      std::make_move_iterator(found.end()));
    }
    if (!faults.empty())
    {
        return {{}, std::move(faults)};
    }
    return {settings_tree(std::move(document.value)), {}};
}

std::string describe_tree_schema()
{
    return "### services\n\n" + describe_schema(schemas(service_table)) +
           "\n### teams\n\n" + describe_schema(schemas(team_table)) +
           "\n### urgency\n\n" + describe_schema(schemas(urgency_table)) +
           "\n### failure_domains\n\n" + describe_schema(domain_table);
}

} // namespace goldcrestgate::core
