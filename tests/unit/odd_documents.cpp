#include "goldcrestgate/core/leasing/route_table.hpp"
#include "goldcrestgate/io/address.hpp"
#include "platform/configuration_codec.hpp"
#include "platform/job_codec.hpp"
#include "platform/json_document.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace
{

using namespace goldcrestgate;

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

std::string configuration(std::string const& version, std::string const& route)
{
    return R"({"version":)" + version + R"(,"routes":[)" + route +
           R"(,{"name":"r","hostname":"h","path_prefix":"/p/",)"
           R"("timeout_ms":1500,"service":"s","stretch_factor":1.6}]})";
}

// Guards against a body or a configuration that ends the process or hides what
// follows it.
class odd_documents_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(odd_documents_test);
    CPPUNIT_TEST(deeply_nested_jobs_are_rejected);
    CPPUNIT_TEST(jobs_with_too_many_phases_are_not_parsed);
    CPPUNIT_TEST(odd_route_costs_only_itself);
    CPPUNIT_TEST(version_out_of_range_is_refused);
    CPPUNIT_TEST(huge_stretch_gives_no_negative_objective);
    CPPUNIT_TEST(addresses_with_a_zero_byte_are_refused);
    CPPUNIT_TEST_SUITE_END();

public:
    // A copy of a nested value recurses; a body of 256 KiB overflowed the
    // stack.
    void deeply_nested_jobs_are_rejected()
    {
        for (std::string const field : {"after", "x", "cpu"})
        {
            auto const body =
                R"({"task_spec":"t","best_effort":true,"phases":[{"count":1,")" +
                field + "\":" + nested(130'000) + "}]}";
            CPPUNIT_ASSERT_MESSAGE(
                field, std::holds_alternative<adapter::malformed_job>(
                           adapter::decode_job(core::client_job_id{1}, body)));
        }
    }

    // Guards against bodies that are parsed whole although they have more
    // elements than any job; 3,000 phases took 7 ms each.
    void jobs_with_too_many_phases_are_not_parsed()
    {
        using adapter::detail::parse_document;
        auto const phases = [](std::size_t count)
        {
            std::string list = R"([{"count":1,"x":"],,\",["})";
            for (std::size_t i = 1; i < count; ++i)
            {
                list += R"(,{"count":1,"after":[0,0]})";
            }
            return R"({"task_spec":"t","best_effort":true,"phases":)" + list +
                   "]}";
        };
        constexpr std::size_t limit = 1'800;
        CPPUNIT_ASSERT(
            !parse_document(phases(limit), {.elements = limit}).is_discarded());
        CPPUNIT_ASSERT(parse_document(phases(limit + 1), {.elements = limit})
                           .is_discarded());
        CPPUNIT_ASSERT(!parse_document(phases(limit + 1)).is_discarded());
        CPPUNIT_ASSERT(std::holds_alternative<adapter::submitted_job>(
            adapter::decode_job(core::client_job_id{1}, phases(limit))));
        auto const refused =
            adapter::decode_job(core::client_job_id{1}, phases(limit + 1));
        CPPUNIT_ASSERT_EQUAL(
            std::string{"body"},
            std::string{std::get<adapter::malformed_job>(refused).field});
    }

    void odd_route_costs_only_itself()
    {
        for (std::string const& route :
             {std::string{"1e999"}, std::string{R"({"name":1e999})"},
              std::string{"null"}, nested(1000),
              std::string{"{\"name\":\"\xff\"}"}})
        {
            auto const table =
                adapter::decode_configuration(configuration("7", route));
            CPPUNIT_ASSERT_MESSAGE(route.substr(0, 40), table);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table->routes.size());
        }
    }

    // Guards against a version after which no other comes into force.
    void version_out_of_range_is_refused()
    {
        for (std::string const version :
             {"18446744073709551615", "1e999", "-1", "1.5"})
        {
            CPPUNIT_ASSERT_MESSAGE(
                version,
                !adapter::decode_configuration(configuration(version, "null")));
        }
    }

    void huge_stretch_gives_no_negative_objective()
    {
        auto const table = adapter::decode_configuration(
            R"({"version":7,"routes":[{"hostname":"h","path_prefix":"/p/",)"
            R"("timeout_ms":1500,"service":"s","stretch_factor":1e300}]})");
        CPPUNIT_ASSERT(table);
        core::leased_job job;
        job.groups.emplace_back();
        job.groups.back().task_count = 1;
        job.groups.back().estimate = std::chrono::hours{24};
        core::apply_route(table->routes.at(0), std::nullopt, job);
        CPPUNIT_ASSERT(job.objective == std::chrono::milliseconds{1500});
    }

    // Guards against text after the zero byte in the Host header of requests.
    void addresses_with_a_zero_byte_are_refused()
    {
        for (std::string const& address :
             {std::string("10.1.0.9\0:80", 12),
              std::string("10.1.0.9\0\r\nx: y:80", 18),
              std::string("[::1\0]:80", 9)})
        {
            CPPUNIT_ASSERT(!io::socket_address::parse(address));
        }
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(odd_documents_test, "odd_documents");

} // namespace
