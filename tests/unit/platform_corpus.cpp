#include "fuzz/platform_inputs.hpp"
#include "support/corpus.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace goldcrestgate;

// Guards against odd entries of other writers that end a process or are taken
// for usable ones: replays inputs that once were, and their beginnings.
class platform_corpus_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(platform_corpus_test);
    CPPUNIT_TEST(executor_entries_are_replayed);
    CPPUNIT_TEST(poll_answers_are_replayed);
    CPPUNIT_TEST(store_snapshots_are_replayed);
    CPPUNIT_TEST(store_records_are_replayed);
    CPPUNIT_TEST(configurations_are_replayed);
    CPPUNIT_TEST(submitted_jobs_are_replayed);
    CPPUNIT_TEST_SUITE_END();

public:
    void executor_entries_are_replayed()
    {
        test::replay_corpus("executor_entry", fuzz::run_executor_entry);
    }

    void poll_answers_are_replayed()
    {
        test::replay_corpus("poll_answer", fuzz::run_poll_answer);
    }

    void store_snapshots_are_replayed()
    {
        test::replay_corpus("store_snapshot", fuzz::run_store_snapshot);
    }

    void store_records_are_replayed()
    {
        test::replay_corpus("store_records", fuzz::run_store_records);
    }

    void configurations_are_replayed()
    {
        test::replay_corpus("operator_configuration",
                            fuzz::run_operator_configuration);
    }

    void submitted_jobs_are_replayed()
    {
        test::replay_corpus("submitted_job", fuzz::run_submitted_job);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(platform_corpus_test, "platform_corpus");

} // namespace
