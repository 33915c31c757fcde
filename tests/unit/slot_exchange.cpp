#include "goldcrestgate/core/routing/slot_exchange.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <vector>

namespace
{

using namespace goldcrestgate::core;
using namespace std::chrono_literals;

class slot_exchange_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(slot_exchange_test);
    CPPUNIT_TEST(free_slots_go_where_tasks_wait);
    CPPUNIT_TEST(contended_slots_go_to_the_greater_need);
    CPPUNIT_TEST(an_instance_without_slots_gets_one);
    CPPUNIT_TEST(a_need_is_announced_when_it_begins_and_ends);
    CPPUNIT_TEST_SUITE_END();

    using counts = std::vector<std::uint32_t>;

    static slot_exchange make_exchange()
    {
        slot_exchange exchange;
        exchange.set_view(0, 3);
        return exchange;
    }

public:
    // Guards against idle slots while tasks wait at another instance, and
    // against transferring more slots than are needed.
    void free_slots_go_where_tasks_wait()
    {
        slot_exchange exchange = make_exchange();
        CPPUNIT_ASSERT(exchange.divide({0, 50}, 50) == (counts{0, 0, 0}));
        exchange.record_need(1, {30, 10});
        exchange.record_need(2, {10, 10});
        CPPUNIT_ASSERT(exchange.divide({0, 22}, 22) == (counts{0, 15, 5}));
        CPPUNIT_ASSERT(exchange.divide({0, 50}, 50) == (counts{0, 15, 5}));
        CPPUNIT_ASSERT(exchange.divide({0, 50}, 50) == (counts{0, 0, 0}));
    }

    // Guards against slots that go back and forth between equal needs.
    void contended_slots_go_to_the_greater_need()
    {
        slot_exchange exchange = make_exchange();
        exchange.record_need(1, {100, 100});
        CPPUNIT_ASSERT(exchange.divide({90, 100}, 4) == (counts{0, 0, 0}));
        exchange.record_need(2, {1000, 100});
        CPPUNIT_ASSERT(exchange.divide({90, 100}, 4) == (counts{0, 0, 4}));
    }

    // Guards against an instance that never runs anything where the failure
    // domain has fewer slots than instances.
    void an_instance_without_slots_gets_one()
    {
        slot_exchange exchange = make_exchange();
        exchange.record_need(1, {2, 0});
        CPPUNIT_ASSERT(exchange.divide({0, 1}, 1) == (counts{0, 1, 0}));
        exchange.record_need(2, {1, 0});
        CPPUNIT_ASSERT(exchange.divide({1000, 1}, 1) == (counts{0, 0, 1}));
    }

    // Guards against an announcement for every change of a queue.
    void a_need_is_announced_when_it_begins_and_ends()
    {
        slot_exchange exchange = make_exchange();
        time_point const now{1s};
        CPPUNIT_ASSERT(!exchange.should_announce({0, 50}, now));
        CPPUNIT_ASSERT(exchange.should_announce({10, 50}, now));
        CPPUNIT_ASSERT(!exchange.should_announce({11, 50}, now + 1s));
        CPPUNIT_ASSERT(!exchange.should_announce({100, 50}, now + 10ms));
        CPPUNIT_ASSERT(exchange.should_announce({100, 50}, now + 30ms));
        CPPUNIT_ASSERT(exchange.should_announce({0, 50}, now + 40ms));
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(slot_exchange_test, "slot_exchange");

} // namespace
