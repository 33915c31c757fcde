#include "platform/configuration_codec.hpp"
#include "platform/executor_codec.hpp"
#include "platform/job_codec.hpp"
#include "platform/record_codec.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <array>

namespace
{

using namespace goldcrestgate;
using namespace goldcrestgate::adapter;
using std::chrono::milliseconds;

constexpr core::client_job_id job_id{0x5c0e7a21d94b36f8};

std::optional<core::domain_id> one_domain(std::string_view name)
{
    return name == "north" ? std::optional{core::domain_id{1}} : std::nullopt;
}

io::http_result make_response(std::uint16_t status, std::string body)
{
    io::http_result result;
    result.outcome = io::call_outcome::answered;
    result.status = status;
    result.body = std::move(body);
    return result;
}

// Guards against misreading messages of the platform, and against accepting
// malformed ones.
class platform_codecs_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(platform_codecs_test);
    CPPUNIT_TEST(job_is_decoded);
    CPPUNIT_TEST(malformed_jobs_are_rejected);
    CPPUNIT_TEST(task_names_round_trip);
    CPPUNIT_TEST(executor_entry_is_decoded);
    CPPUNIT_TEST(unusable_executor_entries_are_rejected);
    CPPUNIT_TEST(start_order_has_all_fields);
    CPPUNIT_TEST(answers_give_their_outcome);
    CPPUNIT_TEST(poll_answer_is_decoded);
    CPPUNIT_TEST(records_round_trip);
    CPPUNIT_TEST(malformed_records_are_counted_or_rejected);
    CPPUNIT_TEST(configuration_is_decoded);
    CPPUNIT_TEST_SUITE_END();

public:
    void job_is_decoded()
    {
        auto const decoding = decode_job(
            job_id,
            R"({"task_spec":"text","best_effort":true,"new":1,"phases":[)"
            R"({"count":4,"cpu":500,"mem_mb":256,"estimated_ms":900},)"
            R"({"count":2,"cpu":2000,"after":[0],"requirements":"a"}]})");
        auto const& submitted = std::get<submitted_job>(decoding);
        CPPUNIT_ASSERT(submitted.kept_in_memory);
        CPPUNIT_ASSERT(submitted.unsupported.empty());
        auto const& groups = submitted.job.groups;
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, groups.size());
        CPPUNIT_ASSERT(groups[0].each_task ==
                       (core::resource_amounts{500, 256, 0}));
        CPPUNIT_ASSERT(groups[0].estimate == milliseconds{900});
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{0}, groups[1].after.at(0));
        CPPUNIT_ASSERT_EQUAL(std::string{"a"}, groups[1].required_label);
    }

    void malformed_jobs_are_rejected()
    {
        constexpr std::array<std::string_view, 9> bodies = {
            "",
            "[]",
            R"({"phases":[{"count":1}]})",
            R"({"task_spec":"t"})",
            R"({"task_spec":"t","phases":[]})",
            R"({"task_spec":"t","phases":[{"count":0}]})",
            R"({"task_spec":"t","phases":[{"count":1,"cpu":-1}]})",
            R"({"task_spec":"t","phases":[{"count":1,"after":[0]}]})",
            R"({"task_spec":"t","phases":[{"count":1801}]})"};
        for (auto const body : bodies)
        {
            CPPUNIT_ASSERT(std::holds_alternative<malformed_job>(
                decode_job(job_id, body)));
        }
        auto const gang = decode_job(
            job_id, R"({"task_spec":"t","best_effort":true,)"
                    R"("phases":[{"count":1,"all_or_nothing":true}]})");
        CPPUNIT_ASSERT(!std::get<submitted_job>(gang).unsupported.empty());
    }

    void task_names_round_trip()
    {
        core::leased_task const task{job_id, 1, 17};
        CPPUNIT_ASSERT_EQUAL(std::string{"5c0e7a21d94b36f8.0.1.17"},
                             format_task_name(task));
        CPPUNIT_ASSERT(parse_task_name(format_task_name(task)) == task);
        CPPUNIT_ASSERT(!parse_task_name("5c0e7a21d94b36f8.0.1"));
        CPPUNIT_ASSERT(!parse_task_name("5C0E7A21D94B36F8.0.1.2"));
        CPPUNIT_ASSERT(!parse_job_id("5c0e7a21d94b36f"));
    }

    void executor_entry_is_decoded()
    {
        auto const executor =
            decode_executor("i-1", executor_entry(), one_domain);
        CPPUNIT_ASSERT(executor);
        CPPUNIT_ASSERT_EQUAL(std::string{"10.1.0.9:80"}, executor->address);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{16'000},
                             executor->capacity.cpu_millicores);
        CPPUNIT_ASSERT(executor->draining);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{99}, executor->incarnation);
        CPPUNIT_ASSERT_EQUAL(std::string{"a"}, executor->labels.at(0));
    }

    void unusable_executor_entries_are_rejected()
    {
        std::array<std::pair<std::string, std::string>, 4> const changes = {
            {{"\"draining\"", "\"asleep\""},
             {"\"north\"", "\"unknown\""},
             {"\"address\":", "\"other\":"},
             {"16000", "\"many\""}}};
        for (auto const& [from, to] : changes)
        {
            auto text = executor_entry();
            text.replace(text.find(from), from.size(), to);
            CPPUNIT_ASSERT(!decode_executor("i-1", text, one_domain));
        }
        CPPUNIT_ASSERT(!decode_executor("i-1", "\xff\x01", one_domain));
    }

    void start_order_has_all_fields()
    {
        core::start_run order;
        order.run = {{job_id, 0, 3}, 2};
        order.payload = "text";
        order.token = core::fencing_token{7};
        order.lease_until = core::executor_clock{486'000};
        auto const call = encode_order(order, "i-1");
        CPPUNIT_ASSERT_EQUAL(std::string{"/api/run-start"}, call.path);
        auto const body = nlohmann::json::parse(call.body);
        CPPUNIT_ASSERT(
            body == nlohmann::json::parse(R"({"task":"5c0e7a21d94b36f8.0.0.3",)"
                                          R"("execution":2,"task_spec":"text",)"
                                          R"("deadline_ms":486000,)"
                                          R"("fencing_token":7})"));
    }

    void answers_give_their_outcome()
    {
        using core::order_outcome;
        std::array<std::pair<io::http_result, order_outcome>, 8> const cases = {
            {{make_response(200, R"({"clock_ms":5})"), order_outcome::accepted},
             {make_response(409, R"({"reason":"fence"})"),
              order_outcome::fenced},
             {make_response(409, R"({"reason":"old"})"),
              order_outcome::stale_execution},
             {make_response(409, R"({"reason":"late"})"),
              order_outcome::lease_expired},
             {make_response(409, R"({"reason":"room"})"),
              order_outcome::no_room},
             {make_response(421, ""), order_outcome::other_incarnation},
             {make_response(503, ""), order_outcome::unhealthy},
             {io::http_result{}, order_outcome::unanswered}}};
        for (auto const& [result, outcome] : cases)
        {
            CPPUNIT_ASSERT(decode_answer(core::start_run{}, result).outcome ==
                           outcome);
        }
    }

    void poll_answer_is_decoded()
    {
        auto const answer = decode_answer(
            core::poll_executor{},
            make_response(
                200, R"({"clock_ms":482113,"born":12,"running":[)"
                     R"(["5c0e7a21d94b36f8.0.1.17",2,"",41,3],["x",1,"",2]],)"
                     R"("finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""],)"
                     R"([59,"5c0e7a21d94b36f8.0.1.8",1,"lapsed",""]]})"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, answer.running.size());
        CPPUNIT_ASSERT(answer.running[0].progress_percent == 41U);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, answer.finished.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{58}, answer.finished[0].number);
        CPPUNIT_ASSERT(answer.finished[1].end == core::run_end::lease_expired);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, answer.incarnation);
    }

    void records_round_trip()
    {
        std::string const head(16, '\0');
        auto const page =
            decode_records(head + encode_keyed_record("key", "value") +
                               encode_keyed_record("gone", ""),
                           40);
        CPPUNIT_ASSERT(page);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{42}, page->next_offset);
        CPPUNIT_ASSERT_EQUAL(std::string{"value"}, *page->records[0].value);
        CPPUNIT_ASSERT(!page->records[1].value);
    }

    void malformed_records_are_counted_or_rejected()
    {
        std::string const head(16, '\0');
        CPPUNIT_ASSERT(!decode_records("short", 0));
        std::string const truncated_record("\0\0\0\x09"
                                           "abc",
                                           7);
        CPPUNIT_ASSERT(!decode_records(head + truncated_record, 0));
        std::string const truncated_key("\0\0\0\x02\x09x", 6);
        auto const page = decode_records(head + truncated_key, 3);
        CPPUNIT_ASSERT(page);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, page->malformed_records);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, page->next_offset);
    }

    void configuration_is_decoded()
    {
        auto const table = decode_configuration(
            R"({"version":7,"routes":[{"name":"r","hostname":"h",)"
            R"("path_prefix":"/p/","timeout_ms":1500,"target_latency_ms":60,)"
            R"("priority":2,"service":"s","max_attempts":2,)"
            R"("stretch_factor":1.6},{"name":"broken"}]})");
        CPPUNIT_ASSERT(table);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, table->version);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table->routes.size());
        CPPUNIT_ASSERT(table->routes[0].target_latency == milliseconds{60});
        CPPUNIT_ASSERT(!decode_configuration("{}"));
        CPPUNIT_ASSERT(!decode_configuration("\xff"));
    }

private:
    static std::string executor_entry()
    {
        return R"({"service":"s","address":"10.1.0.9:80","zone":"north",)"
               R"("version":"v1","slots":8,"cold_remaining_ms":0,)"
               R"("state":"draining","capacity":{"cpu":16000,"mem_mb":32768,)"
               R"("gpus":0},"labels":["a","r1-3"],"born":99,"sequence":4})";
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(platform_codecs_test, "platform_codecs");

} // namespace
