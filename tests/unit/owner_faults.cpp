#include "support/dispatcher_cluster.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <random>

namespace
{

using namespace goldcrestgate::test;

constexpr std::size_t nodes = 4;
constexpr std::size_t tasks_per_job = 3;

struct sent_request
{
    request_id request;
    submission_id submission;
    std::size_t node = 0;
    /// Number of kills of the instance's process before the request.
    std::size_t kills = 0;
};

/// Random submissions, resubmissions, queries and faults from one seed.
class fault_run
{
public:
    explicit fault_run(std::uint32_t seed)
        : random_(seed)
        , cluster_({1, 1, 1, 1}, {}, 2)
    {
    }

    void run(int steps)
    {
        for (int i = 0; i < steps; ++i)
        {
            step();
            cluster_.run(1ms * static_cast<int>(pick(150)));
        }
        clear_faults();
        cluster_.run(30s);
    }

    /// @brief Compares the answers to the callers with the runs that took
    /// place.
    void check(std::uint32_t seed) const
    {
        for (sent_request const& sent : sent_requests_)
        {
            auto const answer = cluster_.find(sent.request);
            bool const is_served = kills_[sent.node] == sent.kills;
            CPPUNIT_ASSERT_MESSAGE("no answer, seed " + std::to_string(seed) +
                                       " " + to_string(sent.submission),
                                   answer || !is_served);
            if (!answer || !contains(answer->body, "\"tasks\":["))
            {
                continue;
            }
            CPPUNIT_ASSERT_MESSAGE(
                "answer to another request, seed " + std::to_string(seed),
                contains(answer->body, to_string(sent.submission)));
            check_fates(seed, sent.submission, answer->body);
        }
        for (submission_id const& id : ids_)
        {
            for (std::uint16_t i = 0; i < tasks_per_job; ++i)
            {
                CPPUNIT_ASSERT_MESSAGE(
                    "second start, seed " + std::to_string(seed) + " " +
                        to_string(id),
                    cluster_.starts({id, task_index{i}}) <= 1);
            }
        }
    }

private:
    std::uint32_t pick(std::uint32_t count)
    {
        return static_cast<std::uint32_t>(random_() % count);
    }

    std::size_t live_node()
    {
        std::size_t node = pick(nodes);
        while (down_.contains(node) || paused_.contains(node))
        {
            node = (node + 1) % nodes;
        }
        return node;
    }

    void step()
    {
        std::uint32_t const choice = pick(20);
        if (choice < 6)
        {
            ids_.push_back(cluster_.mint(live_node()));
            send_submit(ids_.back());
        }
        else if (choice < 14 && !ids_.empty())
        {
            send_repeat(ids_[ids_.size() - 1 -
                             pick(static_cast<std::uint32_t>(
                                 std::min<std::size_t>(ids_.size(), 6)))]);
        }
        else if (choice < 17)
        {
            inject_process_fault();
        }
        else
        {
            std::size_t const left = pick(nodes);
            std::size_t const right = (left + 1 + pick(nodes - 1)) % nodes;
            cluster_.cut(left, right, choice < 18);
        }
    }

    void send_submit(submission_id const& id)
    {
        std::size_t const node = live_node();
        record_request(cluster_.submit(node, id, tasks_per_job), id, node);
    }

    void send_repeat(submission_id const& id)
    {
        std::size_t const node = live_node();
        switch (pick(4))
        {
        case 0:
        case 1:
            send_submit(id);
            break;
        case 2:
            record_request(cluster_.query(node, id), id, node);
            break;
        default:
            record_request(cluster_.cancel(node, id), id, node);
            break;
        }
    }

    void record_request(request_id request, submission_id const& id,
                        std::size_t node)
    {
        sent_requests_.push_back({request, id, node, kills_[node]});
    }

    void inject_process_fault()
    {
        std::size_t const node = pick(nodes);
        if (down_.erase(node) != 0)
        {
            cluster_.restart(node);
        }
        else if (paused_.erase(node) != 0)
        {
            cluster_.resume(node);
        }
        else if (down_.size() + paused_.size() + 2 < nodes)
        {
            bool const kills = pick(2) == 0;
            kills ? cluster_.kill(node) : cluster_.pause(node);
            (kills ? down_ : paused_).insert(node);
            kills_[node] += kills ? 1 : 0;
        }
    }

    void clear_faults()
    {
        for (std::size_t const node : paused_)
        {
            cluster_.resume(node);
        }
        for (std::size_t const node : down_)
        {
            cluster_.restart(node);
        }
        for (std::size_t left = 0; left < nodes; ++left)
        {
            for (std::size_t right = 0; right < left; ++right)
            {
                cluster_.cut(left, right, false);
            }
        }
    }

    void check_fates(std::uint32_t seed, submission_id const& id,
                     std::string const& body) const
    {
        constexpr std::string_view fate_prefix = "{\"fate\":\"";
        std::size_t at = body.find(fate_prefix);
        for (std::uint16_t i = 0; at != std::string::npos; ++i)
        {
            std::string_view const fate =
                std::string_view{body}.substr(at + fate_prefix.size());
            std::size_t const starts = cluster_.starts({id, task_index{i}});
            bool const is_false_not_run =
                fate.starts_with("not_run") && starts != 0;
            bool const is_false_done = fate.starts_with("done") && starts == 0;
            CPPUNIT_ASSERT_MESSAGE("false fate, seed " + std::to_string(seed) +
                                       " " + body,
                                   !is_false_not_run && !is_false_done);
            at = body.find(fate_prefix, at + fate_prefix.size());
        }
    }

    std::mt19937 random_;
    dispatcher_cluster cluster_;
    std::vector<submission_id> ids_;
    std::vector<sent_request> sent_requests_;
    std::array<std::size_t, nodes> kills_{};
    std::set<std::size_t> down_;
    std::set<std::size_t> paused_;
};

class owner_faults_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(owner_faults_test);
    CPPUNIT_TEST(no_second_start_and_no_false_fate_under_random_faults);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against second starts and false fates when processes are killed or
    // paused and links fail at random times.
    void no_second_start_and_no_false_fate_under_random_faults()
    {
        constexpr std::uint32_t seeds = 150;
        for (std::uint32_t seed = 1; seed <= seeds; ++seed)
        {
            fault_run run{seed};
            run.run(200);
            run.check(seed);
        }
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(owner_faults_test, "owner_faults");

} // namespace
