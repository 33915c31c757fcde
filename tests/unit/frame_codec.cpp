#include "goldcrestgate/wire/frame_codec.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <variant>
#include <vector>

namespace
{

using namespace goldcrestgate;

core::instance_key key(std::uint32_t number)
{
    return {core::domain_id{7}, core::instance_id{number},
            core::incarnation{0xfedcba9876543210}};
}

core::submission_id submission()
{
    return {key(3), 0x1234567890};
}

core::copy_batch make_batch()
{
    core::task_key const task{submission(), core::task_index{1799}};
    core::copy_batch batch{
        key(1), 2, core::copy_epoch{3}, {key(4), key(5)}, 6, true, true, {}};
    batch.records = {
        core::job_accepted_record{submission(), 0xabcdef0123456789, 1800},
        core::task_starting_record{task, 2, core::server_id{501}},
        core::task_result_record{task, core::task_fate::unknown, "r\xc3\xa4"},
        core::job_final_record{submission(), core::job_state::failed, 204,
                               "a task failed"},
        core::job_forgotten_record{submission()}};
    return batch;
}

core::job_offer make_offer()
{
    using std::chrono::milliseconds;
    core::task_group first;
    first.task_count = 3;
    first.each_task = {27'000, 64, 1};
    first.estimate = milliseconds{60};
    first.required_label = "a";
    first.preferred_rack = "r1-2";
    first.max_per_executor = 2;
    auto second = first;
    second.after = {0};
    core::leased_job job;
    job.id = core::client_job_id{0xfedcba9876543210};
    job.route = "desk-urgent";
    job.origin_domain = core::domain_id{2};
    job.service = "desk";
    job.payload = "payload";
    job.groups = {first, second};
    job.max_attempts = 4;
    job.priority = 5;
    job.objective = milliseconds{156};
    job.time_limit = milliseconds{1500};
    return {job, milliseconds{7}, true, true, 8, 9, core::message_mark{45, 46}};
}

core::run_time_histogram make_run_times()
{
    core::run_time_histogram weights{};
    weights.front() = 1.5F;
    weights.back() = 2.5F;
    return weights;
}

core::owner_heartbeat make_heartbeat()
{
    using std::chrono::milliseconds;
    core::owner_heartbeat heartbeat;
    heartbeat.term = 29;
    heartbeat.highest_term = 30;
    heartbeat.highest_token_term = 31;
    heartbeat.clock = 37;
    heartbeat.mark = core::message_mark{41, -43};
    heartbeat.weight = 31;
    heartbeat.leaving = true;
    heartbeat.free_millicores = 32;
    heartbeat.expected_wait = milliseconds{33};
    heartbeat.configuration_version = 38;
    heartbeat.time_to_claim = milliseconds{39};
    heartbeat.interval = milliseconds{40};
    heartbeat.successors = {core::instance_id{41}, core::instance_id{42}};
    heartbeat.owner_known = true;
    heartbeat.yields_to = core::instance_id{43};
    heartbeat.evacuated = {44, {core::domain_id{45}, core::domain_id{46}}};
    heartbeat.crashes = {{{core::client_job_id{47}, 48, 49},
                          {{50, core::crash_state::shared, true},
                           {51, core::crash_state::confirmed, true}}}};
    return heartbeat;
}

/// Returns messages of all types. Apart from a slot message without a need, no
/// field has its default value, so that a field that is not encoded is noticed.
std::vector<core::peer_message> all_messages()
{
    return {
        core::hello{key(1), "127.0.0.1:9100"},
        core::heartbeat{key(1), core::settings_version{9}, true, 40, 11, 10},
        core::probe_request{key(2), 77},
        core::probe_reply{key(2), 77, true},
        make_batch(),
        core::copy_ack{key(1), 2, core::copy_epoch{3}, 6},
        core::copy_refused{key(1), 2, core::copy_epoch{3}, true},
        core::seal_request{key(1), 2, core::copy_epoch{3}, 8},
        core::seal_reply{key(1), 2, 8, true, core::copy_epoch{3}, {key(4)}},
        core::forward_request{5, core::forward_kind::cancel, submission(), "{}",
                              30000, true},
        core::forward_reply{5, 200, "{\"state\":\"done\"}"},
        core::settings_pull{core::settings_version{17}},
        core::settings_push{core::settings_version{18}, "{}"},
        core::slot_message{
            19,
            core::slot_need{20, 21},
            {{core::server_id{22}, 23}, {core::server_id{24}, 25}}},
        core::slot_message{26, std::nullopt, {}},
        make_offer(),
        core::job_withdrawal{core::client_job_id{27}, 29,
                             std::chrono::microseconds{150'001},
                             core::message_mark{47, 48}},
        core::job_verdict{core::client_job_id{28}, core::job_outcome::rejected,
                          std::chrono::seconds{2}, 30},
        make_heartbeat(),
        core::executor_speeds{{{"i-1", 0.625, 12.0}},
                              {{"desk-urgent", 7, make_run_times()}}},
        core::peer_addresses{{"127.0.0.1:9101", "127.0.0.1:9102"}},
        core::published_configuration{34, "{\"version\":34}"},
        core::configuration_query{38, 39, true},
        core::configuration_report{
            40, 41, std::chrono::milliseconds{42}, {43, {core::domain_id{44}}}},
        core::configuration_report{45, 46, std::nullopt, {}},
        core::executor_roster{35,
                              {{"i-1",
                                "127.0.0.1:9103",
                                "desk",
                                core::domain_id{36},
                                {64'000, 1024, 2},
                                {"a", "r1-2"},
                                true,
                                37}},
                              true}};
}

std::string frame_of(core::peer_message const& message)
{
    std::string out;
    CPPUNIT_ASSERT(std::holds_alternative<std::monostate>(
        wire::append_frame(out, message)));
    return out;
}

core::error_code decode_error(std::string const& bytes)
{
    auto const result = wire::read_frame(bytes);
    CPPUNIT_ASSERT(std::holds_alternative<core::error>(result));
    return std::get<core::error>(result).code;
}

class frame_codec_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(frame_codec_test);
    CPPUNIT_TEST(messages_keep_all_fields);
    CPPUNIT_TEST(records_keep_all_fields);
    CPPUNIT_TEST(frames_are_extracted_from_a_stream);
    CPPUNIT_TEST(invalid_headers_are_rejected);
    CPPUNIT_TEST(corrupted_envelopes_are_decoded_safely);
    CPPUNIT_TEST(out_of_range_values_are_rejected);
    CPPUNIT_TEST(invalid_crash_reports_are_left_out);
    CPPUNIT_TEST(oversized_message_is_not_written);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a field that is lost or swapped in encoding or decoding.
    // A frame contains all fields, so equal frames mean equal messages.
    void messages_keep_all_fields()
    {
        for (auto const& message : all_messages())
        {
            auto const frame = frame_of(message);
            auto const result = wire::read_frame(frame);
            auto const& decoded = std::get<wire::frame_decoded>(result);
            CPPUNIT_ASSERT_EQUAL(frame.size(), decoded.consumed);
            CPPUNIT_ASSERT_EQUAL(message.index(), decoded.message.index());
            CPPUNIT_ASSERT(frame_of(decoded.message) == frame);
        }
    }

    // Guards against a replicated copy that differs from the owner's records.
    void records_keep_all_fields()
    {
        auto const result = wire::read_frame(frame_of(make_batch()));
        auto const batch = std::get<core::copy_batch>(
            std::get<wire::frame_decoded>(result).message);
        CPPUNIT_ASSERT(batch.owner == key(1) && batch.chain == 2);
        CPPUNIT_ASSERT(batch.members == (std::vector{key(4), key(5)}));
        CPPUNIT_ASSERT(batch.starts_catch_up && batch.catch_up_pending);
        auto const accepted =
            std::get<core::job_accepted_record>(batch.records.at(0));
        CPPUNIT_ASSERT(accepted.submission == submission());
        CPPUNIT_ASSERT(accepted.body_hash == 0xabcdef0123456789);
        auto const starting =
            std::get<core::task_starting_record>(batch.records.at(1));
        CPPUNIT_ASSERT(starting.task.task == core::task_index{1799});
        CPPUNIT_ASSERT(starting.attempt == 2);
        CPPUNIT_ASSERT(starting.server == core::server_id{501});
        auto const result_record =
            std::get<core::task_result_record>(batch.records.at(2));
        CPPUNIT_ASSERT(result_record.fate == core::task_fate::unknown);
        CPPUNIT_ASSERT_EQUAL(std::string{"r\xc3\xa4"}, result_record.body);
        auto const final_record =
            std::get<core::job_final_record>(batch.records.at(3));
        CPPUNIT_ASSERT(final_record.state == core::job_state::failed);
        CPPUNIT_ASSERT(final_record.error == 204);
    }

    // Guards against messages that are lost or merged when TCP delivers a
    // stream in pieces that do not match its frames.
    void frames_are_extracted_from_a_stream()
    {
        std::string stream;
        for (auto const& message : all_messages())
        {
            stream += frame_of(message);
        }
        std::size_t decoded_count = 0;
        std::size_t begin = 0;
        for (std::size_t end = 0; end <= stream.size(); ++end)
        {
            auto const result = wire::read_frame(
                std::string_view{stream}.substr(begin, end - begin));
            CPPUNIT_ASSERT(!std::holds_alternative<core::error>(result));
            if (auto const* const frame =
                    std::get_if<wire::frame_decoded>(&result))
            {
                begin += frame->consumed;
                ++decoded_count;
            }
        }
        CPPUNIT_ASSERT_EQUAL(all_messages().size(), decoded_count);
        CPPUNIT_ASSERT_EQUAL(stream.size(), begin);
    }

    // Guards against waiting for bytes that never arrive because a length is
    // wrong, and against a peer with another protocol version.
    void invalid_headers_are_rejected()
    {
        using namespace std::string_literals;
        CPPUNIT_ASSERT(decode_error("\x08\0\0\0\x02\0"s) ==
                       core::error_code::peer_version_mismatch);
        CPPUNIT_ASSERT(decode_error("\xff\xff\xff\xff\x01\0"s) ==
                       core::error_code::frame_too_large);
        CPPUNIT_ASSERT(decode_error("\x01\0\0\0\x01\0"s) ==
                       core::error_code::malformed_frame);
        CPPUNIT_ASSERT(decode_error("\x02\0\0\0\x01\0"s) ==
                       core::error_code::malformed_frame);
        CPPUNIT_ASSERT(decode_error("GET / HTTP/1.1\r\n") ==
                       core::error_code::peer_version_mismatch);
    }

    // Guards against reads beyond the buffer when the envelope is corrupted;
    // sanitizer builds detect them. The header is intact, so the frame must not
    // be reported as incomplete.
    void corrupted_envelopes_are_decoded_safely()
    {
        for (auto const& message : all_messages())
        {
            auto const frame = frame_of(message);
            for (std::size_t i = wire::frame_header_bytes; i < frame.size();
                 ++i)
            {
                for (char const corruption : {'\x01', '\x80', '\xff'})
                {
                    auto corrupted = frame;
                    corrupted[i] = static_cast<char>(corrupted[i] ^ corruption);
                    auto const result = wire::read_frame(corrupted);
                    CPPUNIT_ASSERT(
                        !std::holds_alternative<wire::frame_incomplete>(
                            result));
                }
            }
        }
    }

    // Guards against fates, request kinds and texts that no instance can
    // handle.
    void out_of_range_values_are_rejected()
    {
        auto batch = make_batch();
        std::get<core::task_result_record>(batch.records.at(2)).fate =
            static_cast<core::task_fate>(6);
        CPPUNIT_ASSERT(decode_error(frame_of(batch)) ==
                       core::error_code::malformed_frame);
        CPPUNIT_ASSERT(
            decode_error(frame_of(core::forward_reply{1, 200, "\xff"})) ==
            core::error_code::malformed_frame);
        core::forward_request request;
        request.kind = static_cast<core::forward_kind>(3);
        CPPUNIT_ASSERT(decode_error(frame_of(request)) ==
                       core::error_code::malformed_frame);
        for (auto const age : {core::duration{-1}, core::duration::max()})
        {
            core::configuration_report const report{1, 2, age, {}};
            CPPUNIT_ASSERT(decode_error(frame_of(report)) ==
                           core::error_code::malformed_frame);
        }
    }

    // Guards against a report that gives up tasks without cause or fills the
    // memory of its receiver, and against losing the heartbeat with it.
    void invalid_crash_reports_are_left_out()
    {
        constexpr core::crash_observation valid{1, core::crash_state::confirmed,
                                                true};
        auto const invalid = static_cast<core::crash_state>(4);
        auto const decoded = [](std::vector<core::task_crashes> const& crashes)
        {
            core::owner_heartbeat heartbeat;
            heartbeat.term = 7;
            heartbeat.crashes = crashes;
            auto const read = wire::read_frame(frame_of(heartbeat));
            auto const& received = std::get<core::owner_heartbeat>(
                std::get<wire::frame_decoded>(read).message);
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, received.term);
            return received.crashes;
        };
        CPPUNIT_ASSERT(decoded({{{}, {{2, invalid, true}}}}).empty());
        CPPUNIT_ASSERT((std::vector<core::task_crashes>{{{}, {valid}}} ==
                        decoded({{{}, {{2, invalid, true}, valid}}})));
        std::vector<core::crash_observation> const too_many(
            core::max_observed_crashes + 1, valid);
        CPPUNIT_ASSERT(decoded({{{}, too_many}}).empty());
        CPPUNIT_ASSERT(
            decoded(std::vector<core::task_crashes>(
                        core::max_reported_crashes + 1, {{}, {valid}}))
                .empty());
    }

    // Guards against sending a frame that the receiver has to reject as too
    // large.
    void oversized_message_is_not_written()
    {
        core::forward_reply reply;
        reply.body.assign(wire::frame_limit_bytes, 'x');
        std::string out = "earlier";
        auto const result = wire::append_frame(out, reply);
        CPPUNIT_ASSERT(std::get<core::error>(result).code ==
                       core::error_code::frame_too_large);
        CPPUNIT_ASSERT_EQUAL(std::string{"earlier"}, out);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(frame_codec_test, "frame_codec");

} // namespace
