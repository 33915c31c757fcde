#include "goldcrestgate/core/submission/job_body.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <string>

namespace
{

using namespace goldcrestgate::core;

std::string with_tasks(std::string const& tasks)
{
    return R"({"service":"a","team":"b","tasks":)" + tasks + "}";
}

error_code refusal(std::string const& body)
{
    auto const parsed = parse_job_body(body);
    CPPUNIT_ASSERT_MESSAGE(body, std::holds_alternative<error>(parsed));
    return std::get<error>(parsed).code;
}

class job_body_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(job_body_test);
    CPPUNIT_TEST(all_fields_are_read);
    CPPUNIT_TEST(text_that_is_not_json_is_refused);
    CPPUNIT_TEST(fields_of_another_form_are_refused);
    CPPUNIT_TEST(task_count_has_a_limit);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against fields of a submission that are silently ignored.
    void all_fields_are_read()
    {
        std::string const body =
            R"({"tasks":[{"payload":"p\u00e4","run_time_ms":20},)"
            R"({"repeatable":false,"payload":""}],"service":"x.y",)"
            R"("team":"t","deadline_ms":1500,"urgency":"urgent",)"
            R"("repeatable":true})";
        auto const job = std::get<job_request>(parse_job_body(body));
        CPPUNIT_ASSERT_EQUAL(std::string{"x.y"}, job.service);
        CPPUNIT_ASSERT_EQUAL(std::string{"t"}, job.team);
        CPPUNIT_ASSERT(job.deadline == std::chrono::milliseconds{1500});
        CPPUNIT_ASSERT(job.urgency == urgency::urgent);
        CPPUNIT_ASSERT(job.repeatable == true);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, job.tasks.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"p\xc3\xa4"}, job.tasks[0].payload);
        CPPUNIT_ASSERT(job.tasks[0].run_time == std::chrono::milliseconds{20});
        CPPUNIT_ASSERT(!job.tasks[0].repeatable.has_value());
        CPPUNIT_ASSERT(job.tasks[1].repeatable == false);
        CPPUNIT_ASSERT_EQUAL(body, job.body);
        CPPUNIT_ASSERT_EQUAL(hash_body(body), job.body_hash);
    }

    // Guards against running a job whose body arrived truncated or corrupted.
    void text_that_is_not_json_is_refused()
    {
        auto const whole = with_tasks(R"([{"payload":"p"}])");
        for (std::size_t size = 0; size < whole.size(); ++size)
        {
            CPPUNIT_ASSERT(refusal(whole.substr(0, size)) ==
                           error_code::malformed_json);
        }
        CPPUNIT_ASSERT(refusal(whole + "x") == error_code::malformed_json);
        CPPUNIT_ASSERT(refusal(with_tasks(R"([{"payload":"\ud800"}])")) ==
                       error_code::malformed_json);
        CPPUNIT_ASSERT(refusal(with_tasks("[{\"payload\":\"\xff\"}]")) ==
                       error_code::invalid_utf8);
        CPPUNIT_ASSERT(refusal(std::string(100'000, '[')) ==
                       error_code::invalid_field);
    }

    // Guards against fields that are filled in by default, truncated or read
    // twice although the body is invalid.
    void fields_of_another_form_are_refused()
    {
        constexpr std::array<char const*, 24> bodies = {
            "5",
            "[]",
            "{}",
            R"({"service":"a","team":"b"})",
            R"({"service":"a","tasks":[{"payload":"p"}]})",
            R"({"team":"b","tasks":[{"payload":"p"}]})",
            R"({"service":"a","team":"b","tasks":[]})",
            R"({"service":"a","team":"b","tasks":{}})",
            R"({"service":"a","team":"b","tasks":[1]})",
            R"({"service":"a","team":"b","tasks":[[]]})",
            R"({"service":"a","team":"b","tasks":[{}]})",
            R"({"service":"a","team":"b","tasks":[{"payload":7}]})",
            R"({"service":"a","team":"b","tasks":[{"payload":null}]})",
            R"({"service":"a","team":"b","tasks":[{"payload":{}}]})",
            R"({"service":"a","team":"b","tasks":[{"payload":"","x":1}]})",
            R"({"service":"a","team":"b","tasks":[{"payload":"","payload":""}]})",
            R"({"service":"a","team":"b","tasks":[{"payload":"","run_time_ms":0}]})",
            R"({"service":"a","team":"b","tasks":[{"payload":"","run_time_ms":-1}]})",
            R"({"service":"a","team":"b","tasks":[{"payload":"","run_time_ms":1.5}]})",
            R"({"service":"a","service":"a","team":"b"})",
            R"({"service":"a","deadline_ms":0})",
            R"({"service":"a","deadline_ms":86400001})",
            R"({"service":"a","urgency":"high"})",
            R"({"service":"a","repeatable":"yes"})"};
        for (auto const* const body : bodies)
        {
            CPPUNIT_ASSERT_MESSAGE(body,
                                   refusal(body) == error_code::invalid_field);
        }
    }

    // Guards against jobs that exceed the range of a task index or the memory
    // limits.
    void task_count_has_a_limit()
    {
        std::string list = "[";
        for (std::size_t i = 0; i < job_task_limit; ++i)
        {
            list += R"({"payload":""},)";
        }
        auto const longest = list.substr(0, list.size() - 1) + "]";
        CPPUNIT_ASSERT(std::holds_alternative<job_request>(
            parse_job_body(with_tasks(longest))));
        CPPUNIT_ASSERT(refusal(with_tasks(list + R"({"payload":""}])")) ==
                       error_code::too_many_tasks);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(job_body_test, "job_body");

} // namespace
