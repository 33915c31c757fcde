#include "fuzz/message_inputs.hpp"
#include "support/corpus.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace goldcrestgate;

// Guards against regressions: replays inputs on which the frame decoder once
// failed, and inputs that come close to such a failure.
class frame_corpus_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(frame_corpus_test);
    CPPUNIT_TEST(corpus_is_replayed);
    CPPUNIT_TEST_SUITE_END();

public:
    void corpus_is_replayed()
    {
        test::replay_corpus("frame", fuzz::run_frame);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(frame_corpus_test, "frame_corpus");

} // namespace
