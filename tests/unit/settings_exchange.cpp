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
using goldcrestgate::test::fake_log;
using goldcrestgate::test::record;
using nlohmann::json;
using namespace std::chrono_literals;

// Publications with random paths and bases, repeated records, snapshots and
// expiry; several readers that read in bursts, repeat, pause, start late and
// take states from one another.
struct random_run
{
    explicit random_run(std::uint32_t seed)
        : random(seed)
    {
    }

    std::uint32_t below(std::uint32_t limit)
    {
        return static_cast<std::uint32_t>(random() % limit);
    }

    std::string path()
    {
        static std::vector<std::string> const names = {"a", "b", "c"};
        std::string text = names[below(3)];
        for (std::uint32_t depth = below(3); depth > 0; --depth)
        {
            text += '.' + names[below(3)];
        }
        return text;
    }

    void append_publication(std::uint64_t number)
    {
        auto const id = "p" + std::to_string(number - below(4) % (number + 1));
        std::uint64_t const next = stream.records.size();
        std::uint64_t const base =
            next - std::min<std::uint64_t>(below(6), next);
        if (below(3) == 0)
        {
            stream.append(record(id, base, json::object(), {path()}));
        }
        else
        {
            stream.append(record(id, base, {{path(), number}}));
        }
    }

    // Reads a part of what is there; the records may come again.
    void read_some(settings_log& reader)
    {
        reader.on_records_expired(stream.first);
        for (std::uint32_t step = below(8); step > 0; --step)
        {
            auto const next = reader.next_offset();
            auto const from = next - std::min<std::uint64_t>(below(3), next);
            auto const end =
                std::min<std::uint64_t>(next + 2, stream.records.size());
            for (auto offset = std::max(from, stream.first); offset < end;
                 ++offset)
            {
                reader.apply(offset, stream.records[offset]);
            }
        }
    }

    // A snapshot is written while others append; the records before the one
    // before the last snapshot expire.
    void append_snapshot(settings_log const& writer)
    {
        if (!writer.ready())
        {
            return;
        }
        pending.push_back(writer.snapshot());
        if (pending.size() > 1)
        {
            stream.append(pending.front());
            pending.erase(pending.begin());
        }
    }

    std::mt19937 random;
    fake_log stream;
    std::vector<std::string> pending;
};

void assert_equal_states(random_run& run, settings_log& complete,
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

// Guards against instances that differ after any order of deliveries, and
// against a log that is left without a snapshot.
class settings_exchange_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(settings_exchange_test);
    CPPUNIT_TEST(shuffled_deliveries_give_equal_states);
    CPPUNIT_TEST(snapshot_is_due_by_time_records_and_expiry);
    CPPUNIT_TEST_SUITE_END();

public:
    void shuffled_deliveries_give_equal_states()
    {
        for (std::uint32_t seed = 1; seed <= 60; ++seed)
        {
            random_run run(seed);
            settings_log complete;
            std::vector<settings_log> readers(4);
            for (std::uint64_t number = 0; number < 300; ++number)
            {
                run.append_publication(number);
                run.stream.read_into(complete);
                auto& reader = readers[run.below(4)];
                auto const before = reader.version();
                run.read_some(reader);
                if (run.below(20) == 0)
                {
                    auto const& giver = readers[run.below(4)];
                    auto& taker = readers[run.below(4)];
                    if (giver.ready())
                    {
                        taker.adopt_snapshot(giver.snapshot());
                    }
                }
                CPPUNIT_ASSERT(reader.version() >= before);
                if (run.below(30) == 0)
                {
                    run.append_snapshot(complete);
                }
                if (run.below(60) == 0)
                {
                    run.stream.first = complete.state().horizon.value();
                }
                if (run.below(80) == 0)
                {
                    readers[run.below(4)] = settings_log{};
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
        // By time, after the delay, and not again during the pause.
        CPPUNIT_ASSERT(!schedule.due(log, 0, start + 1h));
        CPPUNIT_ASSERT(schedule.due(log, 0, start + 1h + 10s));
        CPPUNIT_ASSERT(!schedule.due(log, 0, start + 1h + 20s));
        CPPUNIT_ASSERT(schedule.due(log, 0, start + 1h + 1min));
        // The snapshot of another instance ends the need.
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
