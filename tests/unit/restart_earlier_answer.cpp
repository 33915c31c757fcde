#include "support/scripted_owner.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace goldcrestgate;
using namespace goldcrestgate::core;
using std::chrono::milliseconds;
using tests::scripted_owner;

class restart_earlier_answer_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(restart_earlier_answer_test);
    CPPUNIT_TEST(answer_of_the_process_at_the_earlier_address_is_ignored);
    CPPUNIT_TEST(answer_to_a_poll_of_an_earlier_ownership_claims_nothing);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an executor at a new address that is usable by the answer
    // of the process at the earlier address.
    void answer_of_the_process_at_the_earlier_address_is_ignored()
    {
        scripted_owner owner;
        owner.prepare();
        owner.offer();
        auto const start = owner.starts.at(0);
        auto const poll = owner.polls.at(start.executor);
        owner.answer_start(start, order_outcome::accepted);
        owner.list(start.executor, 2, "127.0.0.1:9999");
        owner.wait(20);
        auto const before = owner.scheduler.load(owner.now).claimed;
        owner.answer_poll(start.executor, poll.order, 1, {}, {});
        CPPUNIT_ASSERT_EQUAL(before, owner.scheduler.load(owner.now).claimed);
    }

    // Guards against a claim that no executor has confirmed under the present
    // token.
    void answer_to_a_poll_of_an_earlier_ownership_claims_nothing()
    {
        scripted_owner owner;
        for (std::uint32_t id = 1; id <= 2; ++id)
        {
            owner.list(executor_id{id}, 1);
        }
        owner.take_over(1);
        auto const earlier = owner.polls;
        owner.scheduler.release_ownership(owner.now, owner.out);
        owner.collect();
        owner.wait(100);
        owner.take_over(3);
        for (auto const& [id, order] : earlier)
        {
            owner.answer_poll(id, order.order, 1);
        }
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{0},
            std::size_t{owner.scheduler.load(owner.now).claimed});
        owner.offer(true);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, owner.starts.size());
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(restart_earlier_answer_test,
                                      "restart_earlier_answer");

} // namespace
