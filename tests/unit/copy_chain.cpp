#include "goldcrestgate/core/recovery/copy_chain.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <vector>

namespace
{

using namespace goldcrestgate::core;
using namespace std::chrono_literals;

constexpr instance_key key(std::uint32_t instance,
                           std::uint64_t incarnation_value = 1)
{
    return {domain_id{1}, instance_id{instance},
            incarnation{incarnation_value}};
}

constexpr auto owner = key(1);
constexpr auto peer_a = key(2);
constexpr auto peer_b = key(3);

constexpr task_key task(std::uint64_t job, std::uint16_t index)
{
    return {{owner, job}, task_index{index}};
}

// Guards against starts whose records a copy lacks, and against changes of the
// copy set after which two members could report different fates.
class copy_chain_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(copy_chain_test);
    CPPUNIT_TEST(a_start_waits_for_every_member);
    CPPUNIT_TEST(without_peers_a_start_does_not_wait);
    CPPUNIT_TEST(records_share_one_batch_in_flight);
    CPPUNIT_TEST(an_unresponsive_member_is_removed_after_copy_wait);
    CPPUNIT_TEST(a_new_member_learns_the_set_with_its_whole_history);
    CPPUNIT_TEST(nothing_is_released_while_the_set_changes);
    CPPUNIT_TEST(an_unresponsive_last_member_loses_the_chain);
    CPPUNIT_TEST(an_ended_last_member_moves_the_jobs);
    CPPUNIT_TEST(a_member_that_may_have_sealed_moves_no_jobs);
    CPPUNIT_TEST(a_seal_stops_all_releases);
    CPPUNIT_TEST(a_seal_by_a_non_member_is_ignored);
    CPPUNIT_TEST(a_leaving_last_member_is_released_by_an_empty_set);
    CPPUNIT_TEST(an_old_acknowledgement_does_not_count);
    CPPUNIT_TEST(a_pause_of_the_owner_loses_no_member);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        chain_ = copy_chain_builder{}.self(owner).build();
        now_ = time_point{10s};
        sent_.clear();
    }

    void a_start_waits_for_every_member()
    {
        establish_set({peer_a, peer_b});
        accept_and_start(1);
        flush();
        CPPUNIT_ASSERT(released().empty());
        acknowledge(peer_a);
        CPPUNIT_ASSERT(released().empty());
        acknowledge(peer_b);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, released().size());
    }

    void without_peers_a_start_does_not_wait()
    {
        accept_and_start(1);
        flush();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, released().size());
    }

    void records_share_one_batch_in_flight()
    {
        establish_set({peer_a});
        for (std::uint64_t job = 1; job <= 50; ++job)
        {
            accept_and_start(job);
        }
        flush();
        accept_and_start(51);
        accept_and_start(52);
        flush();
        CPPUNIT_ASSERT_EQUAL(std::size_t{100},
                             last_batch(peer_a).records.size());
        acknowledge(peer_a);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, last_batch(peer_a).records.size());
    }

    void an_unresponsive_member_is_removed_after_copy_wait()
    {
        establish_set({peer_a, peer_b});
        accept_and_start(1);
        flush();
        acknowledge(peer_a);
        pass(999ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, chain_.members().size());
        pass(1ms);
        acknowledge(peer_a);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, chain_.members().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, released().size());
    }

    void a_new_member_learns_the_set_with_its_whole_history()
    {
        chain_ = copy_chain_builder{}.self(owner).batch_limit(3, 4096).build();
        establish_set({peer_a});
        for (std::uint64_t job = 1; job <= 4; ++job)
        {
            accept_and_start(job);
        }
        flush();
        establish_set({peer_a});
        std::array const both{peer_a, peer_b};
        chain_.set_candidates(both, now_);
        flush();
        std::size_t records = 0;
        while (true)
        {
            auto const batch = last_batch(peer_b);
            records += batch.records.size();
            bool const is_member =
                std::find(batch.members.begin(), batch.members.end(), peer_b) !=
                batch.members.end();
            if (is_member)
            {
                break;
            }
            CPPUNIT_ASSERT_EQUAL(records < 8, batch.catch_up_pending);
            acknowledge(peer_b);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, records);
    }

    void nothing_is_released_while_the_set_changes()
    {
        establish_set({peer_a});
        std::array const both{peer_a, peer_b};
        chain_.set_candidates(both, now_);
        flush();
        acknowledge(peer_b);
        accept_and_start(1);
        flush();
        acknowledge(peer_a);
        acknowledge(peer_a);
        CPPUNIT_ASSERT(released().empty());
        acknowledge(peer_b);
        acknowledge(peer_b);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, released().size());
    }

    void an_unresponsive_last_member_loses_the_chain()
    {
        establish_set({peer_a});
        accept_and_start(1);
        flush();
        pass(1s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, lost().size());
        pass(1s);
        CPPUNIT_ASSERT(released().empty());
        accept_and_start(2);
        flush();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, released().size());
    }

    void an_ended_last_member_moves_the_jobs()
    {
        establish_set({peer_a});
        accept_and_start(1);
        flush();
        chain_.peer_ended(peer_a, false, now_);
        std::array const next{peer_b};
        chain_.set_candidates(next, now_);
        flush();
        CPPUNIT_ASSERT_EQUAL(1U, last_batch(peer_b).chain);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, last_batch(peer_b).records.size());
        acknowledge(peer_b);
        CPPUNIT_ASSERT(released().empty());
        acknowledge(peer_b);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, released().size());
        CPPUNIT_ASSERT(lost().empty());
    }

    void a_member_that_may_have_sealed_moves_no_jobs()
    {
        establish_set({peer_a});
        accept_and_start(1);
        flush();
        chain_.peer_ended(peer_a, true, now_);
        flush();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, lost().size());
        CPPUNIT_ASSERT(released().empty());
    }

    void a_seal_stops_all_releases()
    {
        establish_set({peer_a, peer_b});
        accept_and_start(1);
        flush();
        acknowledge(peer_a);
        chain_.handle(peer_b,
                      copy_refused{owner, 0, last_batch(peer_b).epoch, true},
                      now_);
        flush();
        pass(5s);
        CPPUNIT_ASSERT(chain_.sealed());
        CPPUNIT_ASSERT(released().empty());
    }

    void a_seal_by_a_non_member_is_ignored()
    {
        establish_set({peer_a});
        chain_.handle(peer_b, copy_refused{owner, 0, {}, true}, now_);
        accept_and_start(1);
        flush();
        acknowledge(peer_a);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, released().size());
    }

    void a_leaving_last_member_is_released_by_an_empty_set()
    {
        establish_set({peer_a});
        chain_.set_candidates({}, now_);
        accept_and_start(1);
        flush();
        CPPUNIT_ASSERT(released().empty());
        CPPUNIT_ASSERT(last_batch(peer_a).members.empty());
        acknowledge(peer_a);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, released().size());
    }

    void an_old_acknowledgement_does_not_count()
    {
        establish_set({peer_a});
        auto const old = last_batch(peer_a);
        accept_and_start(1);
        flush();
        chain_.handle(peer_a, copy_ack{owner, 0, old.epoch, old.sequence},
                      now_);
        flush();
        CPPUNIT_ASSERT(released().empty());
        chain_.handle(
            key(2, 9),
            copy_ack{owner, 0, old.epoch, last_batch(peer_a).sequence}, now_);
        flush();
        CPPUNIT_ASSERT(released().empty());
    }

    void a_pause_of_the_owner_loses_no_member()
    {
        establish_set({peer_a});
        accept_and_start(1);
        flush();
        now_ += 20s;
        flush();
        CPPUNIT_ASSERT(lost().empty());
        acknowledge(peer_a);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, released().size());
    }

private:
    void flush()
    {
        std::vector<action> out;
        chain_.flush(now_, out);
        for (auto& one : out)
        {
            sent_.push_back(std::get<send_to_peer>(std::move(one)));
        }
        for (auto& outcome : chain_.take_outcomes())
        {
            outcomes_.push_back(std::move(outcome));
        }
    }

    // Flushes every 100 ms, as a longer gap counts as a pause of this process.
    void pass(duration time)
    {
        constexpr duration step = 100ms;
        for (; time > step; time -= step)
        {
            now_ += step;
            flush();
        }
        now_ += time;
        flush();
    }

    copy_batch last_batch(instance_key const& peer) const
    {
        auto const found = std::find_if(sent_.rbegin(), sent_.rend(),
                                        [&peer](send_to_peer const& one)
                                        {
                                            return one.peer == peer.instance;
                                        });
        CPPUNIT_ASSERT(found != sent_.rend());
        return std::get<copy_batch>(found->message);
    }

    void acknowledge(instance_key const& peer)
    {
        auto const batch = last_batch(peer);
        chain_.handle(peer,
                      copy_ack{owner, batch.chain, batch.epoch, batch.sequence},
                      now_);
        flush();
    }

    // Acknowledges batches until the set consists of these members and they
    // hold all records.
    void establish_set(std::vector<instance_key> const& members)
    {
        chain_.set_candidates(members, now_);
        flush();
        for (int round = 0; round < 8; ++round)
        {
            for (auto const& member : members)
            {
                acknowledge(member);
            }
        }
        CPPUNIT_ASSERT_EQUAL(members.size(), chain_.members().size());
        sent_.erase(sent_.begin(), sent_.end() - 1);
        outcomes_.clear();
    }

    void accept_and_start(std::uint64_t job)
    {
        chain_.record(job_accepted_record{{owner, job}, 7, 2});
        chain_.record(task_starting_record{task(job, 0), 1, server_id{5}});
    }

    std::vector<attempt_released> released() const
    {
        std::vector<attempt_released> found;
        for (auto const& outcome : outcomes_)
        {
            if (auto const* one = std::get_if<attempt_released>(&outcome))
            {
                found.push_back(*one);
            }
        }
        return found;
    }

    std::vector<submission_id> lost() const
    {
        std::vector<submission_id> found;
        for (auto const& outcome : outcomes_)
        {
            if (auto const* one = std::get_if<chain_lost>(&outcome))
            {
                found.insert(found.end(), one->submissions.begin(),
                             one->submissions.end());
            }
        }
        return found;
    }

    copy_chain chain_ = copy_chain_builder{}.self(owner).build();
    time_point now_{};
    std::vector<send_to_peer> sent_;
    std::vector<chain_outcome> outcomes_;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(copy_chain_test, "copy_chain");

} // namespace
