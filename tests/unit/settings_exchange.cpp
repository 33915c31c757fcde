#include "goldcrestgate/core/settings/settings_log.hpp"
#include "goldcrestgate/core/settings/snapshot_schedule.hpp"
#include "support/settings_stream.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <random>
#include <string>
#include <vector>

namespace
{

using namespace goldcrestgate::core;
using goldcrestgate::test::fake_log_stream;
using goldcrestgate::test::record;
using nlohmann::json;
using namespace std::chrono_literals;

// A log stream of publications with random paths and bases, repeated ids and
// snapshots, whose oldest records expire. Its readers read in bursts, read
// records repeatedly, pause, restart without state and adopt one another's
// state.
struct random_stream_run
{
    explicit random_stream_run(std::uint32_t seed)
        : random(seed)
    {
    }

    std::uint32_t random_below(std::uint32_t bound)
    {
        return static_cast<std::uint32_t>(random() % bound);
    }

    std::string random_path()
    {
        static std::vector<std::string> const names = {"a", "b", "c"};
        std::string text = names[random_below(3)];
        for (std::uint32_t depth = random_below(3); depth > 0; --depth)
        {
            text += '.' + names[random_below(3)];
        }
        return text;
    }

    void append_publication(std::uint64_t number)
    {
        auto const id =
            "p" + std::to_string(number - random_below(4) % (number + 1));
        std::uint64_t const next = stream.records.size();
        std::uint64_t const base =
            next - std::min<std::uint64_t>(random_below(6), next);
        if (random_below(3) == 0)
        {
            stream.append(record(id, base, json::object(), {random_path()}));
        }
        else
        {
            stream.append(record(id, base, {{random_path(), number}}));
        }
    }

    // Reads some of the available records, possibly including earlier ones.
    void read_some(settings_log& reader)
    {
        reader.on_records_expired(stream.first);
        for (std::uint32_t step = random_below(8); step > 0; --step)
        {
            auto const next = reader.next_offset();
            auto const from =
                next - std::min<std::uint64_t>(random_below(3), next);
            auto const end =
                std::min<std::uint64_t>(next + 2, stream.records.size());
            for (auto offset = std::max(from, stream.first); offset < end;
                 ++offset)
            {
                reader.apply(offset, stream.records[offset]);
            }
        }
    }

    // Appends the previous snapshot and keeps the new one for the next call, as
    // if other records were appended while a snapshot was written.
    void append_snapshot(settings_log const& writer)
    {
        if (!writer.ready())
        {
            return;
        }
        pending_snapshots.push_back(writer.snapshot());
        if (pending_snapshots.size() > 1)
        {
            stream.append(pending_snapshots.front());
            pending_snapshots.erase(pending_snapshots.begin());
        }
    }

    std::mt19937 random;
    fake_log_stream stream;
    std::vector<std::string> pending_snapshots;
};

void assert_equal_states(random_stream_run& run, settings_log& complete,
                         std::vector<settings_log>& readers)
{
    for (auto& reader : readers)
    {
        run.stream.read_into(reader);
        CPPUNIT_ASSERT(reader.seeking_snapshot() ||
                       complete.state() == reader.state());
    }
    run.stream.append(complete.snapshot());
    run.stream.read_into(complete);
    for (auto& reader : readers)
    {
        run.stream.read_into(reader);
        CPPUNIT_ASSERT(complete.state() == reader.state());
    }
}

// Guards against instances whose states diverge when they read the log with
// repetitions, pauses and gaps, and against a log that is left without a
// snapshot.
class settings_exchange_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(settings_exchange_test);
    CPPUNIT_TEST(random_reading_orders_give_equal_states);
    CPPUNIT_TEST(snapshot_is_due_by_time_records_and_expiry);
    CPPUNIT_TEST_SUITE_END();

public:
    void random_reading_orders_give_equal_states()
    {
        for (std::uint32_t seed = 1; seed <= 60; ++seed)
        {
            random_stream_run run(seed);
            settings_log complete;
            std::vector<settings_log> readers(4);
            for (std::uint64_t number = 0; number < 300; ++number)
            {
                run.append_publication(number);
                run.stream.read_into(complete);
                auto& reader = readers[run.random_below(4)];
                auto const before = reader.version();
                run.read_some(reader);
                if (run.random_below(20) == 0)
                {
                    auto const& source = readers[run.random_below(4)];
                    auto& target = readers[run.random_below(4)];
                    if (source.ready())
                    {
                        target.adopt_snapshot(source.snapshot());
                    }
                }
                CPPUNIT_ASSERT(reader.version() >= before);
                if (run.random_below(30) == 0)
                {
                    run.append_snapshot(complete);
                }
                if (run.random_below(60) == 0)
                {
                    run.stream.first = complete.state().horizon.value();
                }
                if (run.random_below(80) == 0)
                {
                    readers[run.random_below(4)] = settings_log{};
                }
            }
            assert_equal_states(run, complete, readers);
        }
    }

    void snapshot_is_due_by_time_records_and_expiry()
    {
        time_point const start{};
        snapshot_schedule schedule({1h, 4, 10s}, start);
        settings_log log;
        CPPUNIT_ASSERT(!schedule.due(log, 0, start + 2h));
        log.apply(0, record("a", 0, {{"urgency.k", 1}}));
        CPPUNIT_ASSERT(!schedule.due(log, 0, start + 1min));
        // By time, after the delay, and not again within the retry interval.
        CPPUNIT_ASSERT(!schedule.due(log, 0, start + 1h));
        CPPUNIT_ASSERT(schedule.due(log, 0, start + 1h + 10s));
        CPPUNIT_ASSERT(!schedule.due(log, 0, start + 1h + 20s));
        CPPUNIT_ASSERT(schedule.due(log, 0, start + 1h + 1min));
        // After a snapshot by another instance, none is due.
        log.apply(1, log.snapshot());
        CPPUNIT_ASSERT(!schedule.due(log, 0, start + 1h + 2min));
        // The last snapshot itself has expired.
        CPPUNIT_ASSERT(!schedule.due(log, 2, start + 1h + 3min));
        CPPUNIT_ASSERT(schedule.due(log, 2, start + 1h + 4min));
        log.apply(2, log.snapshot());
        CPPUNIT_ASSERT(!schedule.due(log, 2, start + 1h + 5min));
        // By the number of records.
        for (std::uint64_t offset = 3; offset < 7; ++offset)
        {
            log.apply(offset, "{}");
        }
        CPPUNIT_ASSERT(!schedule.due(log, 2, start + 1h + 6min));
        CPPUNIT_ASSERT(schedule.due(log, 2, start + 1h + 7min));
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(settings_exchange_test,
                                      "settings_exchange");

} // namespace
