#include "goldcrestgate/app/instance_settings.hpp"

#include "goldcrestgate/app/detail/settings_table.hpp"

#include <array>
#include <chrono>
#include <string>
#include <utility>

namespace goldcrestgate::app
{

namespace
{

using core::integer_rule;
using core::number_rule;
using core::text_form;
using core::text_rule;

using instance_settings_key = detail::settings_key<instance_settings>;

constexpr std::int64_t second_ms = 1000;
constexpr std::int64_t minute_ms = 60 * second_ms;
constexpr std::int64_t hour_ms = 60 * minute_ms;
constexpr std::int64_t kibibyte = 1024;
constexpr std::int64_t mebibyte = 1024 * kibibyte;
constexpr std::string_view log_level_names = "debug|info|warning|error";

constexpr text_rule required_address{text_form::address, {}, {}};

using settings = instance_settings;

// Parsing, validation and the generated documentation all use this table.
constexpr std::array keys = std::to_array<instance_settings_key>({
    {{"instance.id", integer_rule{1, 4'294'967'295, {}},
      "Number of the entry instance; unique among all failure domains."},
     &settings::id},
    {{"instance.failure_domain", integer_rule{1, 65'535, {}},
      "Number of the failure domain in which the instance runs."},
     &settings::failure_domain},
    {{"instance.rack", text_rule{text_form::label, "none", {}},
      "Rack of the instance; copies are placed in another rack if possible."},
     &settings::rack},
    {{"instance.memory_mb", integer_rule{0, 16 * mebibyte, 0},
      "Memory of the process; 0 means the memory of the machine or the limit "
      "of the process, whichever is smaller."},
     &settings::memory_mb},
    {{"listen.callers_address", required_address,
      "Address of the HTTP listener for callers and operators."},
     &settings::callers_address},
    {{"listen.peers_address", required_address,
      "Address of the listener for other entry instances."},
     &settings::peers_address},
    {{"platform.address", required_address,
      "Address of the platform's log service and instance list."},
     &settings::platform_address},
    {{"platform.timeout_ms", integer_rule{100, minute_ms, 3 * second_ms},
      "A request to the platform fails if no answer arrives within this time."},
     &settings::platform_timeout},
    {{"platform.instance_list_interval_ms", integer_rule{50, 2500, 500},
      "Time between two reads of the instance list; at most 2500 so that a "
      "leaving server gets no new work after 3 s."},
     &settings::instance_list_interval},
    {{"platform.log_wait_ms", integer_rule{100, 30 * second_ms, second_ms},
      "Longest time that a read of the settings log waits for a new record; "
      "the platform timeout is added to it."},
     &settings::log_wait},
    {{"settings.snapshot_interval_ms",
      integer_rule{minute_ms, 24 * hour_ms, hour_ms},
      "A snapshot of the published settings is written to the log after this "
      "time; it must be shorter than half of the log's retention."},
     &settings::snapshot_interval},
    {{"settings.snapshot_record_limit", integer_rule{16, 65'536, 1024},
      "A snapshot is written after this number of records at the latest."},
     &settings::snapshot_record_limit},
    {{"callers.body_limit_bytes",
      integer_rule{kibibyte, 15 * mebibyte, 8 * mebibyte},
      "Largest request body of a caller; a larger one is refused. A larger "
      "limit would not fit into a frame between instances."},
     &settings::body_limit_bytes},
    {{"callers.connection_limit", integer_rule{16, 1'000'000, 10'000},
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
    {{"callers.request_read_timeout_ms",
      integer_rule{100, 10 * minute_ms, 10 * second_ms},
      "A caller must send a whole request within this time."},
     &settings::request_read_timeout},
    {{"callers.default_wait_ms", integer_rule{0, hour_ms, 30 * second_ms},
      "Time that a request waits for the answer when it has no `wait_ms`."},
     &settings::default_wait},
    {{"callers.maximum_wait_ms", integer_rule{0, hour_ms, 5 * minute_ms},
      "Larger values of `wait_ms` are reduced to this time."},
     &settings::maximum_wait},
    {{"submissions.id_lifetime_ms",
      integer_rule{10 * second_ms, 24 * hour_ms, 10 * minute_ms},
      "Time during which an id may be used for a first submission."},
     &settings::id_lifetime},
    {{"submissions.answer_retention_ms",
      integer_rule{second_ms, 24 * hour_ms, 2 * minute_ms},
      "Time for which the answer of a finished job is kept."},
     &settings::answer_retention},
    {{"submissions.copy_wait_ms", integer_rule{10, 30 * second_ms, second_ms},
      "Longest wait for a copy peer before it is removed from the copy set."},
     &settings::copy_wait},
    {{"submissions.copy_peers", integer_rule{1, 2, 2},
      "Peers that hold a copy of each submission, where available."},
     &settings::copy_peers},
    {{"submissions.stop_limit_ms", integer_rule{0, hour_ms, minute_ms},
      "A graceful shutdown ends after this time at the latest."},
     &settings::stop_limit},
    {{"membership.connect_timeout_ms", integer_rule{10, minute_ms, 500},
      "A connection to a peer must be established within this time."},
     &settings::peer_connect_timeout},
    {{"servers.connections_for_each", integer_rule{1, 60, 8},
      "Maximum number of persistent connections to one backend server; all "
      "entry instances of a failure domain together may have 60."},
     &settings::connections_for_each_server},
    {{"servers.connect_timeout_ms", integer_rule{10, minute_ms, second_ms},
      "A connection to a backend server must be established within this time."},
     &settings::server_connect_timeout},
    {{"log.level", text_rule{text_form::choice, "info", log_level_names},
      "Log lines below this level are not written."},
     &settings::log_level},
    {{"log.decision_sample_ratio", number_rule{0, 1, 1.0},
      "Share of the routing and placement decisions that is logged."},
     &settings::decision_sample_ratio},
    {{"log.queue_limit_lines", integer_rule{64, 1'000'000, 8192},
      "Log lines that may wait for the log writer; further ones are dropped "
      "and counted."},
     &settings::log_queue_limit_lines},
});

} // namespace

instance_settings default_instance_settings()
{
    return detail::default_settings<instance_settings>(keys);
}

instance_settings_check check_instance_settings(std::string_view text,
                                                std::string_view file)
{
    detail::settings_document_check<instance_settings> check{keys, text, file};
    check.run();
    // Checks that relate two keys, in addition to the range of each.
    auto const& checked = check.outcome().settings;
    if (checked.default_wait > checked.maximum_wait)
    {
        check.add(core::error_code::settings_out_of_range,
                  "callers.default_wait_ms",
                  std::chrono::duration_cast<std::chrono::milliseconds>(
                      checked.default_wait)
                      .count(),
                  "at most callers.maximum_wait_ms");
    }
    return std::move(check.outcome());
}

core::result<instance_settings_check>
read_instance_settings(std::string const& file)
{
    BOOST_LEAF_AUTO(text, detail::read_settings_text(file));
    return check_instance_settings(text, file);
}

std::string describe_instance_settings()
{
    return detail::describe_settings<instance_settings>(keys);
}

} // namespace goldcrestgate::app
