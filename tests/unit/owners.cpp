#include "support/dispatcher_cluster.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace
{

using namespace goldcrestgate::test;

/// Time within which a query is answered with the true fate after the loss of
/// an owner.
constexpr duration fate_bound = 3s;

class owners_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(owners_test);
    CPPUNIT_TEST(start_follows_the_acknowledgement_of_the_copies);
    CPPUNIT_TEST(requests_reach_the_owner_through_any_instance);
    CPPUNIT_TEST(results_survive_their_owner);
    CPPUNIT_TEST(fates_survive_their_owner);
    CPPUNIT_TEST(resubmission_after_the_loss_of_the_owner_starts_nothing);
    CPPUNIT_TEST(restarted_owner_starts_nothing_of_its_predecessor);
    CPPUNIT_TEST(paused_owner_starts_nothing_after_a_seal);
    CPPUNIT_TEST(request_survives_the_loss_of_the_owner);
    CPPUNIT_TEST(ids_of_an_unreachable_domain_are_unknown);
    CPPUNIT_TEST(ids_of_another_domain_are_answered_there);
    CPPUNIT_TEST(unknown_owner_is_not_reported_as_not_run);
    CPPUNIT_TEST(stopped_instance_leaves_its_answers_to_its_peers);
    CPPUNIT_TEST(chain_without_copies_ends_unstarted_tasks);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against starts before the copies have acknowledged them.
    void start_follows_the_acknowledgement_of_the_copies()
    {
        dispatcher_cluster cluster{{1, 1, 1}};
        submission_id const id = cluster.mint(0);
        cluster.submit(0, id, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cluster.starts({id, {}}));
        cluster.run(1ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cluster.starts({id, {}}));
        cluster.run(1ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cluster.starts({id, {}}));
    }

    // Guards against answers that depend on the instance that receives the
    // request.
    void requests_reach_the_owner_through_any_instance()
    {
        dispatcher_cluster cluster{{1, 1, 1}};
        submission_id const id = cluster.mint(0);
        auto const first = cluster.submit(1, id, 2);
        auto const again = cluster.submit(2, id, 2);
        auto const query = cluster.query(2, id);
        cluster.run(1s);
        std::string const body = cluster.find(first)->body;
        CPPUNIT_ASSERT(contains(body, "\"result\":\"result 1\""));
        CPPUNIT_ASSERT_EQUAL(body, cluster.find(again)->body);
        CPPUNIT_ASSERT_EQUAL(body, cluster.find(query)->body);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cluster.starts({id, {}}));
        auto const cancel = cluster.cancel(1, id);
        cluster.run(1s);
        CPPUNIT_ASSERT_EQUAL(body, cluster.find(cancel)->body);
    }

    // Guards against results that are lost with their owner.
    void results_survive_their_owner()
    {
        dispatcher_cluster cluster{{1, 1, 1, 1}};
        submission_id const id = cluster.mint(0);
        cluster.submit(0, id, 2);
        cluster.run(1s);
        cluster.kill(0);
        for (std::size_t node : {1U, 2U, 3U})
        {
            expect_within_bound(cluster, cluster.query(node, id),
                                "\"state\":\"done\"", "result 1");
        }
    }

    // Guards against false fates after the loss of an owner.
    void fates_survive_their_owner()
    {
        dispatcher_cluster cluster{{1, 1, 1, 1}, {}, 1};
        cluster.set_run_time(1h);
        submission_id const id = cluster.mint(0);
        cluster.submit(0, id, 2);
        cluster.run(100ms);
        cluster.kill(0);
        for (std::size_t node : {1U, 2U, 3U})
        {
            expect_within_bound(
                cluster, cluster.query(node, id), "owner_lost",
                "[{\"fate\":\"unknown\"},{\"fate\":\"not_run\"}]");
        }
    }

    // Guards against a second start by an instance that is not the owner.
    void resubmission_after_the_loss_of_the_owner_starts_nothing()
    {
        dispatcher_cluster cluster{{1, 1, 1}};
        cluster.set_run_time(1h);
        submission_id const id = cluster.mint(0);
        cluster.submit(0, id, 1);
        cluster.run(100ms);
        cluster.kill(0);
        auto const again = cluster.submit(1, id, 1);
        cluster.run(10s);
        CPPUNIT_ASSERT(
            contains(cluster.find(again)->body, "[{\"fate\":\"unknown\"}]"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cluster.starts({id, {}}));
    }

    // Guards against a new process of the owner that starts the tasks of the
    // old one again.
    void restarted_owner_starts_nothing_of_its_predecessor()
    {
        dispatcher_cluster cluster{{1, 1, 1}};
        submission_id const id = cluster.mint(0);
        cluster.submit(0, id, 1);
        cluster.run(1s);
        cluster.kill(0);
        cluster.run(500ms);
        cluster.restart(0);
        cluster.run(3s);
        expect_within_bound(cluster, cluster.submit(0, id, 1),
                            "\"state\":\"done\"", "result 0");
        expect_within_bound(cluster, cluster.submit(1, id, 1),
                            "\"state\":\"done\"", "result 0");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cluster.starts({id, {}}));
    }

    // Guards against a start after a peer has reported `not_run`.
    void paused_owner_starts_nothing_after_a_seal()
    {
        dispatcher_cluster cluster{{1, 1, 1}, {}, 1};
        cluster.set_run_time(6s);
        submission_id const id = cluster.mint(0);
        auto const first = cluster.submit(0, id, 2);
        cluster.run(100ms);
        cluster.pause(0);
        auto const query = cluster.query(1, id);
        cluster.run(fate_bound);
        CPPUNIT_ASSERT(cluster.find(query).has_value());
        CPPUNIT_ASSERT(
            contains(cluster.find(query)->body,
                     "[{\"fate\":\"unknown\"},{\"fate\":\"not_run\"}]"));
        cluster.resume(0);
        cluster.run(30s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                             cluster.starts({id, task_index{1}}));
        CPPUNIT_ASSERT_MESSAGE(
            cluster.find(first)->body,
            contains(cluster.find(first)->body, "incarnation_sealed"));
        CPPUNIT_ASSERT(
            contains(cluster.find(first)->body,
                     "[{\"fate\":\"done\"},{\"fate\":\"not_run\"}]"));
        // New work runs under a new incarnation, with copies.
        submission_id const next = cluster.mint(0);
        CPPUNIT_ASSERT(next.owner.incarnation != id.owner.incarnation);
        auto const later = cluster.submit(1, next, 1);
        cluster.run(20s);
        CPPUNIT_ASSERT(
            contains(cluster.find(later)->body, "\"state\":\"done\""));
    }

    // Guards against callers that wait forever for a lost owner.
    void request_survives_the_loss_of_the_owner()
    {
        dispatcher_cluster cluster{{1, 1, 1}};
        cluster.set_run_time(1h);
        submission_id const id = cluster.mint(0);
        auto const forwarded = cluster.submit(1, id, 1);
        cluster.run(100ms);
        cluster.kill(0);
        expect_within_bound(cluster, forwarded, "owner_lost",
                            "[{\"fate\":\"unknown\"}]");
    }

    // Guards against `not_run` for work that may run in an unreachable domain.
    void ids_of_an_unreachable_domain_are_unknown()
    {
        dispatcher_cluster cluster{{1, 2}};
        submission_id const id = cluster.mint(1);
        cluster.cut(0, 1, true);
        cluster.run(2s);
        auto const query = cluster.query(0, id);
        cluster.run(fate_bound);
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{503}, cluster.find(query)->status);
        CPPUNIT_ASSERT(
            contains(cluster.find(query)->body, "\"fate\":\"unknown\""));
    }

    // Guards against wrong answers to callers that reach an instance of one
    // domain only.
    void ids_of_another_domain_are_answered_there()
    {
        dispatcher_cluster cluster{{1, 2, 2}};
        submission_id const id = cluster.mint(1);
        auto const direct = cluster.submit(0, id, 1);
        cluster.run(1s);
        CPPUNIT_ASSERT(
            contains(cluster.find(direct)->body, "\"state\":\"done\""));
        cluster.cut(0, 1, true);
        cluster.run(2s);
        auto const relayed = cluster.query(0, id);
        cluster.run(1s);
        CPPUNIT_ASSERT_EQUAL(cluster.find(direct)->body,
                             cluster.find(relayed)->body);
    }

    // Guards against `not_run` for an id whose owner is unknown to this
    // instance.
    void unknown_owner_is_not_reported_as_not_run()
    {
        dispatcher_cluster cluster{{1, 1}};
        submission_id id = cluster.mint(0);
        id.owner.instance = instance_id{77};
        auto const query = cluster.submit(1, id, 1);
        cluster.run(fate_bound);
        CPPUNIT_ASSERT(
            contains(cluster.find(query)->body, "\"fate\":\"unknown\""));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cluster.starts({id, {}}));
    }

    // Guards against answers that are lost in a graceful shutdown.
    void stopped_instance_leaves_its_answers_to_its_peers()
    {
        dispatcher_cluster cluster{{1, 1, 1}};
        submission_id const id = cluster.mint(0);
        auto const caller = cluster.submit(0, id, 1);
        cluster.run(10ms);
        cluster.stop(0);
        CPPUNIT_ASSERT(!cluster.has_stopped(0));
        cluster.run(5s);
        CPPUNIT_ASSERT(
            contains(cluster.find(caller)->body, "\"state\":\"done\""));
        CPPUNIT_ASSERT(cluster.has_stopped(0));
        cluster.kill(0);
        expect_within_bound(cluster, cluster.query(2, id), "\"state\":\"done\"",
                            "result 0");
    }

    // Guards against jobs that wait forever for unreachable copies, and against
    // a start after such a copy may have reported `not_run`.
    void chain_without_copies_ends_unstarted_tasks()
    {
        dispatcher_cluster cluster{{1, 1, 1}, {}, 1};
        cluster.set_run_time(5s);
        submission_id const id = cluster.mint(0);
        auto const caller = cluster.submit(0, id, 2);
        cluster.run(100ms);
        cluster.cut(0, 1, true);
        cluster.cut(0, 2, true);
        cluster.run(9s);
        std::string const body = cluster.find(caller)->body;
        CPPUNIT_ASSERT_MESSAGE(body, contains(body, "[{\"fate\":\"done\"},"
                                                    "{\"fate\":\"not_run\"}]"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                             cluster.starts({id, task_index{1}}));
        // Later work runs without copies.
        auto const later = cluster.submit(0, cluster.mint(0), 1);
        cluster.run(6s);
        CPPUNIT_ASSERT(
            contains(cluster.find(later)->body, "\"state\":\"done\""));
    }

private:
    static void expect_within_bound(dispatcher_cluster& cluster,
                                    request_id request, std::string_view first,
                                    std::string_view second)
    {
        time_point const asked = cluster.now();
        cluster.run(10s);
        auto const answer = cluster.find(request);
        CPPUNIT_ASSERT(answer.has_value());
        CPPUNIT_ASSERT_MESSAGE(answer->body, contains(answer->body, first));
        CPPUNIT_ASSERT_MESSAGE(answer->body, contains(answer->body, second));
        CPPUNIT_ASSERT(answer->at - asked <= fate_bound);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(owners_test, "owners");

} // namespace
