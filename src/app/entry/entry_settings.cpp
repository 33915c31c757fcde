#include "goldcrestgate/app/entry/entry_settings.hpp"

#include <array>

namespace goldcrestgate::app
{

namespace
{

using core::integer_rule;
using core::number_rule;
using core::text_form;
using core::text_rule;
using settings = entry_settings;

constexpr std::int64_t second_ms = 1000;
constexpr std::int64_t minute_ms = 60 * second_ms;
constexpr std::int64_t kibibyte = 1024;
constexpr std::int64_t mebibyte = 1024 * kibibyte;
constexpr std::string_view log_level_names = "debug|info|warning|error";
constexpr text_rule required_address{text_form::address, {}, {}};

// Parsing, validation and the generated documentation all use this table.
constexpr std::array keys = std::to_array<detail::settings_key<settings>>({
    {{"instance.name", text_rule{text_form::label, {}, {}},
      "Name of the entry instance in the log."},
     &settings::name},
    {{"instance.failure_domain", text_rule{text_form::label, {}, {}},
      "Failure domain in which the instance runs."},
     &settings::failure_domain},
    {{"instance.failure_domains", text_rule{text_form::labels, {}, {}},
      "All failure domains."},
     &settings::failure_domains},
    {{"instance.cpu_share", number_rule{0.001, 1024, 1.0},
      "Processor cores of the instance; the largest instance of a failure "
      "domain is preferred as the owner of its executors."},
     &settings::cpu_share},
    {{"instance.memory_mb", integer_rule{0, 16 * mebibyte, 0},
      "Memory of the process; 0 means the memory of the machine or the limit "
      "of the process, whichever is smaller."},
     &settings::memory_mb},
    {{"listen.callers_address", required_address,
      "Address of the HTTP listener for callers."},
     &settings::callers_address},
    {{"listen.readiness_address", required_address,
      "Address of the HTTP listener for readiness checks."},
     &settings::readiness_address},
    {{"listen.peers_address", required_address,
      "Address of the listener for other entry instances."},
     &settings::peers_address},
    {{"listen.metrics_address", required_address,
      "Address of the HTTP listener for metrics."},
     &settings::metrics_address},
    {{"listen.monitoring_connection_limit", integer_rule{8, 10'000, 64},
      "Maximum number of open connections to the listener for readiness "
      "checks, and to that for metrics; for a further one, the one that has "
      "been idle or incomplete longest is closed."},
     &settings::monitoring_connection_limit},
    {{"platform.store_address", required_address,
      "Address of the platform's store."},
     &settings::store_address},
    {{"platform.configuration_age_limit_ms",
      integer_rule{500, 10 * minute_ms, 2 * second_ms},
      "Time within which a published configuration has to be in force; given "
      "by the platform."},
     &settings::configuration_age_limit},
    {{"instance.seed_addresses", text_rule{text_form::addresses, "", {}},
      "Peer addresses of instances to connect to at startup, in addition to "
      "those in the store."},
     &settings::seed_addresses},
    {{"executors.longest_lease_ms", integer_rule{100, minute_ms, second_ms},
      "Longest lease that an executor grants; given by the platform."},
     &settings::longest_lease},
    {{"executors.stop_time_ms", integer_rule{1, 10 * second_ms, 50},
      "Time that an executor takes to stop a task; given by the platform."},
     &settings::stop_time},
    {{"executors.remote_rack_factor", number_rule{1, 1000, 2.0},
      "Factor by which a task takes longer outside the rack of its data; "
      "given by the platform."},
     &settings::remote_rack_factor},
    {{"executors.response_limit_bytes",
      integer_rule{64 * kibibyte, 64 * mebibyte, 4 * mebibyte},
      "Largest response of an executor; a larger one counts as lost. An "
      "executor lists some hundred bytes for each run."},
     &settings::response_limit_bytes},
    {{"scheduling.reservations", integer_rule{0, 64, 0},
      "Largest number of reservations of executor capacity for large waiting "
      "tasks that an owner has at a time; 0: none."},
     &settings::reservations},
    {{"callers.resubmission_delay_ms", integer_rule{100, minute_ms, 1300},
      "Time after which a caller that lost its connection submits its job "
      "again; given by the platform."},
     &settings::resubmission_delay},
    {{"callers.body_limit_bytes",
      integer_rule{kibibyte, 15 * mebibyte, 256 * kibibyte},
      "Largest request body of a caller."},
     &settings::body_limit_bytes},
    {{"callers.connection_limit", integer_rule{16, 1'000'000, 2'000},
      "Maximum number of open caller connections; for a further one, the one "
      "that has been idle or incomplete longest is closed. The descriptor "
      "limit of the process may allow fewer."},
     &settings::caller_connection_limit},
    {{"callers.open_request_budget_bytes",
      integer_rule{0, mebibyte* mebibyte, 0},
      "Memory for caller requests that are received and not yet answered; 0 "
      "means 16 KiB for each connection, and a quarter of the memory at most. "
      "At least one request of the largest size always fits."},
     &settings::open_request_budget_bytes},
    {{"callers.job_memory_bytes", integer_rule{0, mebibyte* mebibyte, 0},
      "Memory for the decoded jobs of this instance's callers, and the same "
      "amount for all jobs of an owner; further jobs are rejected. 0 means an "
      "eighth of the memory, and 256 MiB at most. One job always fits."},
     &settings::job_memory_bytes},
    {{"callers.request_timeout_ms",
      integer_rule{100, 10 * minute_ms, 15 * second_ms},
      "Time from the first byte of a request until it is complete."},
     &settings::request_timeout},
    {{"callers.least_body_rate_bytes_per_s", integer_rule{0, mebibyte, 4'096},
      "Least rate of a request body, measured every 2 s from 2 s after its "
      "first byte; the connection of a slower sender is closed."},
     &settings::least_body_rate_bytes_per_s},
    {{"callers.stop_grace_ms", integer_rule{100, 10 * minute_ms, 6 * second_ms},
      "Time from the stop signal until the process is killed; given by the "
      "platform."},
     &settings::stop_grace},
    {{"scheduling.class_weight_ratio", number_rule{1, 100, 4.0},
      "Share of a priority class divided by that of the next lower one, while "
      "capacity is insufficient."},
     &settings::class_weight_ratio},
    {{"scheduling.fair_shares", core::boolean_rule{false},
      "Whether waiting jobs are served by priority class and by shares of "
      "routes and failure domains while capacity is insufficient."},
     &settings::fair_shares},
    {{"scheduling.preemption", core::boolean_rule{false},
      "Whether running tasks are stopped for waiting tasks of a higher "
      "priority class that would otherwise miss their objective."},
     &settings::preemption},
    {{"log.level", text_rule{text_form::choice, "info", log_level_names},
      "Log lines below this level are not written."},
     &settings::log_level},
    {{"log.queue_limit_lines", integer_rule{64, 1'000'000, 2'048},
      "Log lines that may wait for the log writer; further ones are dropped "
      "and counted."},
     &settings::log_queue_limit_lines},
});

} // namespace

entry_settings_check check_entry_settings(std::string_view text,
                                          std::string_view file)
{
    detail::settings_document_check<settings> check{keys, text, file};
    check.run();
    return std::move(check.outcome());
}

core::result<entry_settings_check> read_entry_settings(std::string const& file)
{
    BOOST_LEAF_AUTO(text, detail::read_settings_text(file));
    return check_entry_settings(text, file);
}

std::string describe_entry_settings()
{
    return detail::describe_settings<settings>(keys);
}

} // namespace goldcrestgate::app
