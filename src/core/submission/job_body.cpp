#include "goldcrestgate/core/submission/job_body.hpp"

#include "goldcrestgate/core/detail/hash_bytes.hpp"

#include "goldcrestgate/core/submission/answer.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <bitset>
#include <optional>
#include <utility>

namespace goldcrestgate::core
{

namespace
{

enum class field : std::uint8_t
{
    service,
    team,
    deadline_ms,
    urgency,
    repeatable,
    tasks,
    payload,
    run_time_ms
};

constexpr std::size_t field_count = 8;

struct field_name
{
    std::string_view name;
    field which;
};

constexpr std::array job_fields = {
    field_name{"service", field::service},
    field_name{"team", field::team},
    field_name{"deadline_ms", field::deadline_ms},
    field_name{"urgency", field::urgency},
    field_name{"repeatable", field::repeatable},
    field_name{"tasks", field::tasks}};

constexpr std::array task_fields = {
    field_name{"payload", field::payload},
    field_name{"run_time_ms", field::run_time_ms},
    field_name{"repeatable", field::repeatable}};

/// The part of the body that is being parsed.
enum class parse_scope : std::uint8_t
{
    outside,
    in_job,
    in_task_list,
    in_task
};

/// @brief Builds a job from the parser's SAX events.
///
/// Each function returns whether parsing continues. No document tree is built,
/// so that nested and unknown values take no memory.
class job_sax_handler : public nlohmann::json_sax<nlohmann::json>
{
public:
    bool null() override
    {
        return refuse("is null");
    }

    bool boolean(bool value) override
    {
        if (field_ != field::repeatable)
        {
            return refuse("is not a boolean field");
        }
        (scope_ == parse_scope::in_job ? job.repeatable
                                       : job.tasks.back().repeatable) = value;
        return end_value();
    }

    bool number_integer(number_integer_t value) override
    {
        // The parser reports non-negative numbers as unsigned.
        return value < 0 ? refuse("is negative")
                         : number_unsigned(static_cast<std::uint64_t>(value));
    }

    bool number_unsigned(number_unsigned_t value) override
    {
        if (field_ != field::deadline_ms && field_ != field::run_time_ms)
        {
            return refuse("is not a number field");
        }
        auto const limit =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                job_time_limit);
        if (value == 0 || value > static_cast<std::uint64_t>(limit.count()))
        {
            return refuse("is not from 1 to 86400000");
        }
        duration const time =
            std::chrono::milliseconds{static_cast<std::int64_t>(value)};
        (field_ == field::deadline_ms ? job.deadline
                                      : job.tasks.back().run_time) = time;
        return end_value();
    }

    bool number_float(number_float_t /*value*/,
                      string_t const& /*text*/) override
    {
        return refuse("is not a whole number");
    }

    bool string(string_t& value) override
    {
        switch (field_.value_or(field::tasks))
        {
        case field::service:
            job.service = std::move(value);
            return end_value();
        case field::team:
            job.team = std::move(value);
            return end_value();
        case field::payload:
            job.tasks.back().payload = std::move(value);
            return end_value();
        case field::urgency:
            return set_urgency(value);
        default:
            return refuse("is not a string field");
        }
    }

    bool binary(binary_t& /*value*/) override
    {
        return refuse("is binary");
    }

    bool start_object(std::size_t /*size*/) override
    {
        if (scope_ == parse_scope::outside)
        {
            scope_ = parse_scope::in_job;
            return true;
        }
        if (scope_ != parse_scope::in_task_list)
        {
            return refuse("is an object");
        }
        if (job.tasks.size() == job_task_limit)
        {
            return refuse(error_code::too_many_tasks,
                          "a job has at most 1800 tasks");
        }
        scope_ = parse_scope::in_task;
        job.tasks.emplace_back();
        task_seen_.reset();
        return true;
    }

    bool key(string_t& name) override
    {
        field_.reset();
        key_ = name;
        return scope_ == parse_scope::in_job
                   ? find_field(job_fields, job_seen_)
                   : find_field(task_fields, task_seen_);
    }

    bool end_object() override
    {
        if (scope_ == parse_scope::in_task)
        {
            scope_ = parse_scope::in_task_list;
            return require(task_seen_, field::payload, "payload");
        }
        scope_ = parse_scope::outside;
        return require(job_seen_, field::service, "service") &&
               require(job_seen_, field::team, "team") &&
               require(job_seen_, field::tasks, "tasks");
    }

    bool start_array(std::size_t /*size*/) override
    {
        if (field_ != field::tasks || scope_ != parse_scope::in_job)
        {
            return refuse("is an array");
        }
        scope_ = parse_scope::in_task_list;
        return true;
    }

    bool end_array() override
    {
        scope_ = parse_scope::in_job;
        key_ = "tasks";
        return job.tasks.empty() ? refuse("is empty") : end_value();
    }

    bool parse_error(std::size_t position, std::string const& /*token*/,
                     nlohmann::json::exception const& /*cause*/) override
    {
        return refuse(error_code::malformed_json,
                      "not JSON at byte " + std::to_string(position));
    }

    job_request job;
    std::optional<error> failure;

private:
    bool refuse(error_code code, std::string message)
    {
        if (!failure)
        {
            failure = error{code, "read a submission", {}, std::move(message)};
        }
        return false;
    }

    bool refuse(std::string_view problem)
    {
        if (scope_ == parse_scope::outside)
        {
            return refuse(error_code::invalid_field,
                          "the body is not an object");
        }
        std::string message =
            scope_ == parse_scope::in_job
                ? ""
                : "tasks[" +
                      std::to_string(job.tasks.size() -
                                     (scope_ == parse_scope::in_task)) +
                      "].";
        message += scope_ == parse_scope::in_task_list ? "" : key_;
        message += ' ';
        message += problem;
        return refuse(error_code::invalid_field, std::move(message));
    }

    template <std::size_t Count>
    bool find_field(std::array<field_name, Count> const& fields,
                    std::bitset<field_count>& seen)
    {
        for (auto const& known : fields)
        {
            if (known.name != key_)
            {
                continue;
            }
            auto const index = static_cast<std::size_t>(known.which);
            if (seen.test(index))
            {
                return refuse("is given twice");
            }
            seen.set(index);
            field_ = known.which;
            return true;
        }
        return refuse("is an unknown key");
    }

    bool require(std::bitset<field_count> const& seen, field which,
                 char const* name)
    {
        return seen.test(static_cast<std::size_t>(which)) ||
               refuse(error_code::invalid_field,
                      std::string{name} + " is missing");
    }

    bool set_urgency(std::string_view value)
    {
        if (value != "normal" && value != "urgent")
        {
            return refuse("is neither normal nor urgent");
        }
        job.urgency = value == "urgent" ? urgency::urgent : urgency::normal;
        return end_value();
    }

    bool end_value()
    {
        field_.reset();
        return true;
    }

    parse_scope scope_ = parse_scope::outside;
    std::string key_;
    /// The field whose value comes next.
    std::optional<field> field_;
    std::bitset<field_count> job_seen_;
    std::bitset<field_count> task_seen_;
};

} // namespace

std::uint64_t hash_body(std::string_view body)
{
    return detail::hash_bytes(body);
}

std::variant<job_request, error> parse_job_body(std::string_view body)
{
    if (!is_utf8(body))
    {
        return error{error_code::invalid_utf8,
                     "read a submission",
                     {},
                     "the body is not UTF-8"};
    }
    job_sax_handler handler;
    bool const complete = nlohmann::json::sax_parse(body, &handler);
    if (!complete || handler.failure)
    {
        return handler.failure.value_or(error{
            error_code::malformed_json, "read a submission", {}, "not JSON"});
    }
    handler.job.body_hash = hash_body(body);
    handler.job.body = body;
    return std::move(handler.job);
}

} // namespace goldcrestgate::core
