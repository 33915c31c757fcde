#include "goldcrestgate/core/leasing/roster_status.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace
{

using goldcrestgate::core::roster_status;

class roster_status_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(roster_status_test);
    CPPUNIT_TEST(first_claim_has_no_complete_list);
    CPPUNIT_TEST(list_of_an_owner_without_entries_is_not_complete);
    CPPUNIT_TEST(claim_after_a_complete_list_is_complete);
    CPPUNIT_TEST(list_of_an_earlier_owner_is_not_complete);
    CPPUNIT_TEST(owner_completes_its_list);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a list that counts as complete only because its instance
    // has claimed.
    void first_claim_has_no_complete_list()
    {
        roster_status roster;
        CPPUNIT_ASSERT(!roster.claimed(10));
        CPPUNIT_ASSERT(!roster.complete());
        CPPUNIT_ASSERT(!roster.claimed(11));
    }

    // Guards against two runs of a task at a time: an instance that restarted
    // while the store was unreachable claimed without executors, and its
    // successor took the empty list for complete.
    void list_of_an_owner_without_entries_is_not_complete()
    {
        roster_status restarted;
        CPPUNIT_ASSERT(!restarted.claimed(20));
        roster_status successor;
        successor.received({10, {}, true});
        successor.owner_seen(20);
        CPPUNIT_ASSERT(!successor.received({20, {}, restarted.complete()}));
        CPPUNIT_ASSERT(!successor.claimed(30));
    }

    // Guards against a wait for leases at each ordinary succession.
    void claim_after_a_complete_list_is_complete()
    {
        roster_status roster;
        roster.owner_seen(10);
        CPPUNIT_ASSERT(roster.received({10, {}, true}));
        CPPUNIT_ASSERT(roster.claimed(20));
        CPPUNIT_ASSERT(roster.complete());
        roster.outdated();
        CPPUNIT_ASSERT(!roster.complete());
    }

    // Guards against the use of a list that lacks the executors of a later
    // owner.
    void list_of_an_earlier_owner_is_not_complete()
    {
        roster_status roster;
        CPPUNIT_ASSERT(roster.received({10, {}, true}));
        roster.owner_seen(20);
        CPPUNIT_ASSERT(!roster.is_current({10, {}, true}));
        CPPUNIT_ASSERT(!roster.claimed(30));
    }

    // Guards against an owner whose list stays incomplete.
    void owner_completes_its_list()
    {
        roster_status roster;
        CPPUNIT_ASSERT(!roster.claimed(10));
        roster.entries_read();
        CPPUNIT_ASSERT(roster.complete());
        CPPUNIT_ASSERT(roster.claimed(20));
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(roster_status_test, "roster_status");

} // namespace
