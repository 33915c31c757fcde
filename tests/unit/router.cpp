#include "goldcrestgate/core/routing/router.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

namespace
{

using namespace goldcrestgate::core;
using namespace std::chrono_literals;

constexpr service_id service{0};
constexpr duration declared = 200ms;

class router_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(router_test);
    CPPUNIT_TEST(learned_speed_orders_servers);
    CPPUNIT_TEST(a_server_that_becomes_slow_loses_its_place);
    CPPUNIT_TEST(wrong_declarations_are_corrected);
    CPPUNIT_TEST(every_slot_has_one_holder);
    CPPUNIT_TEST(free_slots_of_others_are_used_as_replies_show);
    CPPUNIT_TEST(a_refusal_blocks_the_server_for_a_while);
    CPPUNIT_TEST(a_failing_server_is_ejected_and_probed);
    CPPUNIT_TEST(a_task_that_fails_everywhere_ejects_no_server);
    CPPUNIT_TEST(ejection_leaves_most_servers);
    CPPUNIT_TEST(a_task_refused_by_all_servers_cannot_run);
    CPPUNIT_TEST(waiting_beats_a_slow_server);
    CPPUNIT_TEST(transferred_slots_change_their_holder);
    CPPUNIT_TEST(decisions_take_as_many_steps_with_more_servers);
    CPPUNIT_TEST_SUITE_END();

    static task_demand demand(bool repeatable = false)
    {
        return {service, declared, repeatable, {}, {}};
    }

    static void add_servers(router& tested, std::uint32_t count,
                            std::uint32_t slots = 8)
    {
        for (std::uint32_t i = 0; i < count; ++i)
        {
            tested.add_server(server_id{i}, slots);
        }
    }

    static std::optional<server_id> place(router& tested, time_point now,
                                          bool repeatable = false)
    {
        auto const placed = tested.place(demand(repeatable), now);
        auto const* const found = std::get_if<placement>(&placed);
        return found == nullptr ? std::nullopt : std::optional{found->server};
    }

    static void run(router& tested, server_id server, task_outcome outcome,
                    duration work, std::uint32_t open, time_point now)
    {
        tested.task_started(server, service, declared, now);
        tested.task_ended(server, service, declared, outcome, work, open, now);
    }

    static void record_work_times(router& tested, std::uint32_t server,
                                  duration work, int samples)
    {
        for (int i = 0; i < samples; ++i)
        {
            run(tested, server_id{server}, task_outcome::succeeded, work, 0,
                {});
        }
    }

    // Makes enough placements for the servers to be sorted again.
    static void trigger_sort(router& tested)
    {
        for (int i = 0; i < 100; ++i)
        {
            place(tested, {});
        }
    }

    static std::uint32_t take_all(router& tested)
    {
        std::uint32_t taken = 0;
        while (auto const server = place(tested, {}))
        {
            tested.task_started(*server, service, declared, {});
            ++taken;
        }
        return taken;
    }

public:
    // Guards against choosing by anything but the learned work time.
    void learned_speed_orders_servers()
    {
        router tested;
        add_servers(tested, 3);
        record_work_times(tested, 0, 300ms, 20);
        record_work_times(tested, 1, 100ms, 20);
        record_work_times(tested, 2, 200ms, 20);
        trigger_sort(tested);
        CPPUNIT_ASSERT(place(tested, {}) == server_id{1});
    }

    // Guards against estimates that stop adapting after many samples.
    void a_server_that_becomes_slow_loses_its_place()
    {
        router tested;
        add_servers(tested, 2);
        record_work_times(tested, 0, 100ms, 500);
        record_work_times(tested, 1, 200ms, 500);
        trigger_sort(tested);
        CPPUNIT_ASSERT(place(tested, {}) == server_id{0});
        record_work_times(tested, 0, 400ms, 10);
        trigger_sort(tested);
        CPPUNIT_ASSERT(place(tested, {}) == server_id{1});
    }

    // Guards against estimates that trust the declared run times.
    void wrong_declarations_are_corrected()
    {
        router tested;
        add_servers(tested, 1);
        record_work_times(tested, 0, 1000ms, 200);
        auto const placed = std::get<placement>(tested.place(demand(), {}));
        CPPUNIT_ASSERT(placed.expected > 900ms && placed.expected < 1100ms);
    }

    // Guards against two instances that count on the same slot.
    void every_slot_has_one_holder()
    {
        for (std::uint32_t const count : {1U, 2U, 3U, 7U, 8U, 11U})
        {
            std::uint32_t held = 0;
            for (std::uint32_t rank = 0; rank < count; ++rank)
            {
                router tested;
                tested.set_borrowing(false);
                add_servers(tested, 50);
                tested.set_view(rank, count);
                held += take_all(tested);
            }
            CPPUNIT_ASSERT_EQUAL(std::uint32_t{50 * 8}, held);
        }
    }

    // Guards against slots that stay idle because their holder has no work.
    void free_slots_of_others_are_used_as_replies_show()
    {
        router tested;
        add_servers(tested, 1);
        tested.set_view(0, 2);
        run(tested, server_id{0}, task_outcome::succeeded, declared, 4, {});
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{4}, take_all(tested));
        router other;
        add_servers(other, 1);
        other.set_view(0, 2);
        run(other, server_id{0}, task_outcome::succeeded, declared, 1, {});
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{6}, take_all(other));
    }

    // Guards against a stream of starts to a server that refuses them.
    void a_refusal_blocks_the_server_for_a_while()
    {
        router tested;
        add_servers(tested, 1);
        time_point const now{1s};
        run(tested, server_id{0}, task_outcome::refused_busy, {}, 8, now);
        CPPUNIT_ASSERT(!place(tested, now));
        CPPUNIT_ASSERT(tested.next_backoff_end().has_value());
        CPPUNIT_ASSERT(place(tested, *tested.next_backoff_end()) ==
                       server_id{0});
    }

    // Guards against a server that attracts work by failing it fast.
    void a_failing_server_is_ejected_and_probed()
    {
        router tested;
        add_servers(tested, 10);
        record_work_times(tested, 0, 50ms, 20);
        time_point now{1s};
        for (int i = 0; i < 3; ++i)
        {
            run(tested, server_id{0}, task_outcome::failed, 1ms, 0, now);
        }
        trigger_sort(tested);
        CPPUNIT_ASSERT(place(tested, now, true) != server_id{0});
        now += 2s;
        CPPUNIT_ASSERT(place(tested, now, false) != server_id{0});
        CPPUNIT_ASSERT(place(tested, now, true) == server_id{0});
        CPPUNIT_ASSERT(place(tested, now, true) != server_id{0});
        run(tested, server_id{0}, task_outcome::succeeded, 50ms, 0, now);
        CPPUNIT_ASSERT(place(tested, now, false) == server_id{0});
    }

    // Guards against a faulty job that gets servers ejected for all others.
    void a_task_that_fails_everywhere_ejects_no_server()
    {
        router tested;
        add_servers(tested, 10);
        for (int round = 0; round < 20; ++round)
        {
            for (std::uint32_t i = 0; i < 10; ++i)
            {
                run(tested, server_id{i}, task_outcome::failed, 1ms, 0, {});
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{80}, take_all(tested));
    }

    // Guards against ejecting more servers than the settings allow.
    void ejection_leaves_most_servers()
    {
        router tested;
        add_servers(tested, 10);
        for (std::uint32_t i = 0; i < 10; ++i)
        {
            record_work_times(tested, 9 - i, 50ms, 50);
            for (int failure = 0; failure < 10; ++failure)
            {
                run(tested, server_id{i}, task_outcome::failed, 1ms, 0, {});
            }
        }
        CPPUNIT_ASSERT(take_all(tested) >= 7 * 8);
    }

    // Guards against a task that no server can run and that waits forever.
    void a_task_refused_by_all_servers_cannot_run()
    {
        router tested;
        add_servers(tested, 2);
        std::array<server_id, 2> const excluded = {server_id{0}, server_id{1}};
        task_demand all{service, declared, false, excluded, {}};
        CPPUNIT_ASSERT(
            std::holds_alternative<cannot_run>(tested.place(all, {})));
        tested.add_server(server_id{2}, 1);
        auto const placed = tested.place(all, {});
        CPPUNIT_ASSERT(std::get<placement>(placed).server == server_id{2});
        tested.task_started(server_id{2}, service, declared, {});
        CPPUNIT_ASSERT(
            std::holds_alternative<no_capacity>(tested.place(all, {})));
    }

    // Guards against a long task on a slow server while a fast one is about
    // to become free.
    void waiting_beats_a_slow_server()
    {
        router tested;
        tested.add_server(server_id{0}, 8);
        tested.add_server(server_id{1}, 8);
        record_work_times(tested, 0, 100ms, 50);
        record_work_times(tested, 1, 800ms, 50);
        trigger_sort(tested);
        for (int i = 0; i < 8; ++i)
        {
            tested.task_started(server_id{0}, service, declared, {});
        }
        task_demand waits = demand();
        waits.waiting_work = declared;
        auto const held = tested.place(waits, {});
        CPPUNIT_ASSERT(std::get<no_capacity>(held).better_to_wait);
        waits.waiting_work = declared * 1000;
        auto const placed = tested.place(waits, {});
        CPPUNIT_ASSERT(std::get<placement>(placed).server == server_id{1});
    }

    // Guards against slots that two instances hold after an exchange.
    void transferred_slots_change_their_holder()
    {
        router sender;
        router receiver;
        for (auto* const tested : {&sender, &receiver})
        {
            tested->set_borrowing(false);
            add_servers(*tested, 4);
        }
        sender.set_view(0, 2);
        receiver.set_view(1, 2);
        CPPUNIT_ASSERT(place(sender, {}).has_value());
        std::vector<slot_update> updates;
        receiver.exchange_slots(10, {}, updates);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, updates.size());
        updates.front().rank = 1;
        sender.receive_slots(updates.front());
        updates.clear();
        sender.exchange_slots(0, {}, updates);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, updates.size());
        updates.front().rank = 0;
        receiver.receive_slots(updates.front());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{6}, take_all(sender));
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{26}, take_all(receiver));
    }

    // Guards against a decision cost that grows with the number of servers. It
    // counts steps, so that the result does not depend on timing.
    void decisions_take_as_many_steps_with_more_servers()
    {
        std::array<std::uint64_t, 2> steps{};
        std::array<std::uint32_t, 2> const sizes = {50, 677};
        for (std::size_t i = 0; i < sizes.size(); ++i)
        {
            router tested;
            add_servers(tested, sizes[i]);
            trigger_sort(tested);
            auto const before = tested.steps();
            for (int task = 0; task < 300; ++task)
            {
                auto const server = place(tested, {});
                tested.task_started(*server, service, declared, {});
            }
            steps[i] = tested.steps() - before;
        }
        CPPUNIT_ASSERT(steps[1] * 10 <= steps[0] * 13);
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(router_test, "router");

} // namespace
