#include "platform/executor_codec.hpp"
#include "support/fleet_owner.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace
{

using namespace goldcrestgate;
using core::order_outcome;

core::poll_answer decode(std::string body)
{
    io::http_result result;
    result.outcome = io::call_outcome::answered;
    result.status = 200;
    result.body = std::move(body);
    return adapter::decode_answer(core::poll_executor{}, result);
}

// Guards against two runs of a task at a time: a run counts as ended if an
// answer with a list that cannot be read is taken for one without runs.
class odd_poll_answers_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(odd_poll_answers_test);
    CPPUNIT_TEST(answer_that_is_no_object_counts_as_no_answer);
    CPPUNIT_TEST(odd_row_costs_only_itself);
    CPPUNIT_TEST(numbers_out_of_range_are_not_taken_over);
    CPPUNIT_TEST(incomplete_answers_are_marked);
    CPPUNIT_TEST(run_in_an_unreadable_row_is_not_started_again);
    CPPUNIT_TEST_SUITE_END();

public:
    void answer_that_is_no_object_counts_as_no_answer()
    {
        for (std::string const& body :
             {std::string{}, std::string{"{"}, std::string{"[]"},
              std::string{"\xff"}, std::string{R"({"clock_ms":1}x)"},
              std::string(100'000, '[')})
        {
            CPPUNIT_ASSERT_MESSAGE(body.substr(0, 40),
                                   decode(body).outcome ==
                                       order_outcome::unanswered);
        }
    }

    // Guards against a row that hides the runs listed after it.
    void odd_row_costs_only_itself()
    {
        for (std::string const& row :
             {std::string{"1e999"}, std::string{"[1e999]"}, std::string{"null"},
              std::string{R"({"a":1})"}, std::string{R"(["x",1,"",2])"},
              std::string{"[\"\xff\",1]"},
              std::string(1000, '[') + std::string(1000, ']'),
              R"(["5c0e7a21d94b36f8.0.1.3",1,)" + std::string(1000, '[') +
                  std::string(1000, ']') + "]",
              std::string{R"(["5c0e7a21d94b36f8.0.1.3",4294967296,"",1])"}})
        {
            std::string body = R"({"clock_ms":5,"born":12,"running":[)";
            body.append(row).append(
                R"(,["5c0e7a21d94b36f8.0.1.17",2,"",41,3]],"finished":[)");
            body.append(row).append(
                R"(,[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})");
            auto const answer = decode(std::move(body));
            auto const what = row.substr(0, 60);
            CPPUNIT_ASSERT_MESSAGE(what,
                                   answer.outcome == order_outcome::accepted);
            CPPUNIT_ASSERT_MESSAGE(what, !answer.running.empty());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(what, std::uint16_t{17},
                                         answer.running.back().run.task.index);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(what, std::size_t{1},
                                         answer.finished.size());
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, answer.incarnation);
        }
    }

    // Guards against an end number after which no end is taken note of, and
    // against a clock on which leases overflow.
    void numbers_out_of_range_are_not_taken_over()
    {
        auto const answer = decode(
            R"({"clock_ms":18446744073709551615,"born":18446744073709551615,)"
            R"("finished":[[18446744073709551615,)"
            R"("5c0e7a21d94b36f8.0.1.9",1,"done",""]]})");
        CPPUNIT_ASSERT(answer.outcome == order_outcome::accepted);
        CPPUNIT_ASSERT(!answer.clock);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, answer.incarnation);
        CPPUNIT_ASSERT(answer.finished.empty());
    }

    void incomplete_answers_are_marked()
    {
        CPPUNIT_ASSERT(decode(R"({"running":[],"finished":[]})").complete);
        CPPUNIT_ASSERT(decode("{}").complete);
        for (std::string const body :
             {R"({"running":[5]})", R"({"running":5})", R"({"running":1e999})",
              R"({"finished":{}})", R"({"finished":[[1]]})"})
        {
            CPPUNIT_ASSERT_MESSAGE(body, !decode(body).complete);
        }
    }

    void run_in_an_unreadable_row_is_not_started_again()
    {
        tests::executor_fleet fleet{2};
        tests::fleet_owner owner{fleet};
        owner.start(1);
        owner.submit(1, 2, std::chrono::milliseconds{400});
        fleet.run_for(std::chrono::milliseconds{50});
        for (auto const id : fleet.ids())
        {
            fleet.behaviour(id).rows_unreadable = true;
        }
        fleet.run_for(std::chrono::milliseconds{1500});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                             fleet.starts(core::client_job_id{1}));
        CPPUNIT_ASSERT(owner.verdicts.contains(core::client_job_id{1}));
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(odd_poll_answers_test,
                                      "odd_poll_answers");

} // namespace
