#include "fuzz/message_inputs.hpp"
#include "support/corpus.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace goldcrestgate;

// Replays inputs that once broke the parser of submissions, or that come close
// to its limits.
class job_body_corpus_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(job_body_corpus_test);
    CPPUNIT_TEST(corpus_is_replayed);
    CPPUNIT_TEST_SUITE_END();

public:
    void corpus_is_replayed()
    {
        test::replay_corpus("job_body", fuzz::run_job_body);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(job_body_corpus_test, "job_body_corpus");

} // namespace
