#include "goldcrestgate/core/admission/request_budget.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>

namespace
{

using namespace goldcrestgate::core;
using namespace std::chrono_literals;

constexpr std::size_t body_bytes = 262'144;
/// Largest headers, and largest request that is never rejected.
constexpr std::size_t small_bytes = std::size_t{16} * 1024;

/// Connections by id, with the calls that io makes for them.
struct connections
{
    explicit connections(request_limits limits)
        : budget(limits)
    {
    }

    void open(std::uint64_t id)
    {
        handles.emplace(id, budget.open(id, now));
    }

    void receive(std::uint64_t id, std::size_t bytes, bool head_complete = true)
    {
        budget.receive(handles.at(id), bytes, head_complete, now);
        std::vector<connection_removal> removed;
        budget.excess(removed);
        close(removed);
    }

    bool complete(std::uint64_t id, std::size_t bytes)
    {
        budget.complete(handles.at(id), bytes);
        std::vector<connection_removal> removed;
        budget.excess(removed);
        close(removed);
        return !budget.rejects(handles.at(id));
    }

    void close(std::vector<connection_removal> const& removed)
    {
        for (auto const& [id, reason] : removed)
        {
            budget.close(handles.at(id));
            handles.erase(id);
            reasons[id] = reason;
        }
    }

    /// Lets time pass as the checks of an instance do.
    void advance(duration time)
    {
        for (auto const end = now + time; now < end;)
        {
            now += 250ms;
            std::vector<connection_removal> removed;
            budget.expire(now, removed);
            close(removed);
        }
    }

    request_budget budget;
    time_point now{1h};
    std::map<std::uint64_t, request_budget::handle> handles;
    std::map<std::uint64_t, removal_reason> reasons;
};

class request_budget_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_budget_test);
    CPPUNIT_TEST(unfinished_bodies_stay_within_the_budget);
    CPPUNIT_TEST(small_complete_requests_are_never_rejected);
    CPPUNIT_TEST(complete_requests_stay_within_the_budget);
    CPPUNIT_TEST(stalled_and_slow_bodies_are_closed);
    CPPUNIT_TEST(requests_within_the_limits_are_kept);
    CPPUNIT_TEST(headers_are_limited);
    CPPUNIT_TEST(longest_waiting_connection_makes_room);
    CPPUNIT_TEST(unread_responses_are_closed);
    CPPUNIT_TEST(pause_of_the_process_closes_no_connection);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against memory that grows with the number of unfinished bodies:
    // 900 clients, each sending in pieces and stopping before the end.
    void unfinished_bodies_stay_within_the_budget()
    {
        constexpr std::size_t budget_bytes = 30'000'000;
        connections all{{.budget_bytes = budget_bytes}};
        for (std::uint64_t id = 0; id < 900; ++id)
        {
            all.open(id);
        }
        for (std::size_t sent = 16'000; sent <= 262'000; sent += 16'000)
        {
            for (std::uint64_t id = 0; id < 900; ++id)
            {
                if (all.handles.contains(id))
                {
                    all.receive(id, sent);
                    CPPUNIT_ASSERT(all.budget.open_bytes() <= budget_bytes);
                }
            }
        }
        // Those open longest went first.
        CPPUNIT_ASSERT(!all.handles.contains(0));
        CPPUNIT_ASSERT(all.handles.contains(899));
        CPPUNIT_ASSERT(all.reasons.at(0) == removal_reason::budget_exhausted);
        // Released bytes are available again.
        while (!all.handles.empty())
        {
            all.close({{all.handles.begin()->first, removal_reason::idle}});
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, all.budget.open_bytes());
    }

    // Guards against rejections of normal callers because of untrusted ones.
    void small_complete_requests_are_never_rejected()
    {
        connections all{{.budget_bytes = 1'000'000}};
        for (std::uint64_t id = 0; id < 100; ++id)
        {
            all.open(id);
            CPPUNIT_ASSERT(all.complete(id, small_bytes));
        }
        CPPUNIT_ASSERT(all.reasons.empty());
    }

    // Guards against memory that grows with complete bodies whose jobs wait.
    void complete_requests_stay_within_the_budget()
    {
        connections all{{.budget_bytes = 4 * body_bytes}};
        std::size_t accepted = 0;
        for (std::uint64_t id = 0; id < 20; ++id)
        {
            all.open(id);
            if (all.complete(id, body_bytes))
            {
                ++accepted;
                continue;
            }
            all.close({{id, removal_reason::budget_exhausted}});
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, accepted);
        // An answered request releases its bytes.
        all.budget.answer(all.handles.at(0), all.now);
        all.budget.receive(all.handles.at(0), 0, false, all.now);
        all.open(30);
        CPPUNIT_ASSERT(all.complete(30, body_bytes));
    }

    // Guards against connections that keep a body open: one sends nothing more,
    // one sends below the least rate, one never ends.
    void stalled_and_slow_bodies_are_closed()
    {
        connections all{{}};
        for (std::uint64_t id = 0; id < 3; ++id)
        {
            all.open(id);
            all.receive(id, 262'000);
        }
        for (std::size_t second = 1; second <= 16; ++second)
        {
            for (std::uint64_t id = 1; id < 3; ++id)
            {
                if (all.handles.contains(id))
                {
                    all.receive(id,
                                262'000 + second * (id == 1 ? 4'000 : 4'200));
                }
            }
            all.advance(1s);
            CPPUNIT_ASSERT(second != 1 || all.handles.size() == 3);
            CPPUNIT_ASSERT(second != 5 || all.handles.size() == 1);
        }
        CPPUNIT_ASSERT(all.reasons.at(0) == removal_reason::body_slow);
        CPPUNIT_ASSERT(all.reasons.at(1) == removal_reason::body_slow);
        CPPUNIT_ASSERT(all.reasons.at(2) == removal_reason::request_late);
    }

    // Guards against limits that normal callers reach: headers that take 3 s,
    // a body at the least rate, an idle time of nearly 15 s, and a response
    // that takes longer than any of them.
    void requests_within_the_limits_are_kept()
    {
        connections all{{}};
        for (std::uint64_t id = 0; id < 3; ++id)
        {
            all.open(id);
        }
        all.receive(0, small_bytes, false);
        all.complete(1, body_bytes);
        all.advance(3s);
        all.receive(0, 17'000);
        for (std::size_t second = 0; second < 11; ++second)
        {
            all.receive(0, 17'000 + second * 4'096);
            all.advance(1s);
        }
        CPPUNIT_ASSERT(all.reasons.empty());
        CPPUNIT_ASSERT(all.complete(0, body_bytes));
    }

    // Guards against headers that never end.
    void headers_are_limited()
    {
        connections all{{}};
        all.open(0);
        all.receive(0, small_bytes, false);
        CPPUNIT_ASSERT(!all.budget.has_large_head(all.handles.at(0)));
        all.open(1);
        all.receive(1, small_bytes + 1, false);
        CPPUNIT_ASSERT(all.budget.has_large_head(all.handles.at(1)));
        all.advance(250ms);
        CPPUNIT_ASSERT(all.reasons.at(1) == removal_reason::headers_too_large);
        all.advance(3s);
        CPPUNIT_ASSERT(all.handles.contains(0));
        all.advance(1s);
        CPPUNIT_ASSERT(all.reasons.at(0) == removal_reason::headers_late);
    }

    // Guards against a connection limit at which nobody else is served.
    void longest_waiting_connection_makes_room()
    {
        connections all{{}};
        for (std::uint64_t id = 0; id < 3; ++id)
        {
            all.open(id);
            all.now += 10ms;
        }
        all.receive(0, 100);
        CPPUNIT_ASSERT(all.budget.longest_waiting(all.now)->connection == 1);
        all.complete(1, 100);
        CPPUNIT_ASSERT(all.budget.longest_waiting(all.now)->connection == 2);
        all.complete(2, 100);
        CPPUNIT_ASSERT(all.budget.longest_waiting(all.now)->connection == 0);
        all.complete(0, 100);
        CPPUNIT_ASSERT(!all.budget.longest_waiting(all.now));
    }

    // Guards against connections that never read their responses.
    void unread_responses_are_closed()
    {
        connections all{{}};
        all.open(0);
        all.complete(0, 100);
        all.budget.answer(all.handles.at(0), all.now);
        CPPUNIT_ASSERT(!all.budget.longest_waiting(all.now));
        all.advance(1s);
        CPPUNIT_ASSERT(all.budget.longest_waiting(all.now)->reason ==
                       removal_reason::response_unread);
        all.advance(15s);
        CPPUNIT_ASSERT(all.reasons.at(0) == removal_reason::response_unread);
    }

    // Guards against closed connections after a pause of the process, during
    // which their bytes waited in the kernel.
    void pause_of_the_process_closes_no_connection()
    {
        connections all{{}};
        all.open(0);
        all.receive(0, 100'000);
        all.open(1);
        all.advance(3s);
        all.now += 20s;
        all.advance(250ms);
        CPPUNIT_ASSERT(all.reasons.empty());
        all.receive(0, 200'000);
        all.advance(1s);
        CPPUNIT_ASSERT(all.complete(0, body_bytes));
        CPPUNIT_ASSERT(all.reasons.empty());
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(request_budget_test, "request_budget");

} // namespace
