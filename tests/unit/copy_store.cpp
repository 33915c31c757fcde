#include "goldcrestgate/core/recovery/copy_store.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

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
constexpr auto self = key(2);
constexpr auto other = key(3);
constexpr submission_id job{owner, 1};

// Guards against false fates: a partial, stale or unsealed copy must not report
// `not_run` for a task that was started or may still be started.
class copy_store_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(copy_store_test);
    CPPUNIT_TEST(a_repeated_batch_is_acknowledged_and_applied_once);
    CPPUNIT_TEST(a_sequence_gap_is_refused);
    CPPUNIT_TEST(a_sealed_owner_is_refused);
    CPPUNIT_TEST(a_sole_member_answers_at_once);
    CPPUNIT_TEST(not_run_needs_the_seal_of_every_member);
    CPPUNIT_TEST(an_unreachable_member_leaves_fates_unknown);
    CPPUNIT_TEST(a_restarted_member_leaves_fates_unknown);
    CPPUNIT_TEST(a_newer_set_redirects_lookups_and_refuses_the_seal);
    CPPUNIT_TEST(a_partial_copy_does_not_answer);
    CPPUNIT_TEST(a_moved_job_is_answered_by_its_newest_chain);
    CPPUNIT_TEST(results_are_returned_only_when_complete);
    CPPUNIT_TEST(a_full_store_refuses);
    CPPUNIT_TEST(copies_expire_and_discarded_jobs_are_dropped);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        store_ = copy_store_builder{}.self(self).max_bytes(100'000).build();
        now_ = time_point{10s};
        sequence_ = 0;
        sent_.clear();
    }

    void a_repeated_batch_is_acknowledged_and_applied_once()
    {
        auto batch = start_copy({self});
        batch.records = {job_forgotten_record{job}};
        deliver(batch);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, count<copy_ack>());
        CPPUNIT_ASSERT(store_.holds(job));
    }

    void a_sequence_gap_is_refused()
    {
        auto batch = start_copy({self});
        batch.starts_catch_up = false;
        batch.sequence += 2;
        deliver(batch);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count<copy_refused>());
    }

    void a_sealed_owner_is_refused()
    {
        auto batch = start_copy({self});
        CPPUNIT_ASSERT(std::holds_alternative<job_fate>(find_job_fate()));
        deliver(make_next_batch(batch, {}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count<copy_refused>());
        CPPUNIT_ASSERT(std::get<copy_refused>(sent_.back().message).sealed);
    }

    void a_sole_member_answers_at_once()
    {
        start_copy({self});
        auto const fate = std::get<job_fate>(find_job_fate());
        CPPUNIT_ASSERT(fate.tasks[0].fate == task_fate::unknown);
        CPPUNIT_ASSERT(fate.tasks[1].fate == task_fate::not_run);
    }

    void not_run_needs_the_seal_of_every_member()
    {
        start_copy({self, other});
        CPPUNIT_ASSERT(
            std::holds_alternative<seal_in_progress>(find_job_fate()));
        auto const request = std::get<seal_request>(sent_.back().message);
        store_.handle(key(3, 2), make_reply(request, 1, true), now_);
        store_.handle(
            other, seal_reply{owner, 0, request.nonce + 1, true, {}, {}}, now_);
        CPPUNIT_ASSERT(std::holds_alternative<job_fate>(find_job_fate()));
        CPPUNIT_ASSERT(fate_of_second_task() == task_fate::unknown);

        setUp();
        start_copy({self, other});
        (void)find_job_fate();
        store_.handle(other, make_reply(last_request(), 1, true), now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             store_.take_finished_seals().size());
        CPPUNIT_ASSERT(fate_of_second_task() == task_fate::not_run);
    }

    void an_unreachable_member_leaves_fates_unknown()
    {
        start_copy({self, other});
        (void)find_job_fate();
        pass(500ms);
        CPPUNIT_ASSERT(
            std::holds_alternative<seal_in_progress>(find_job_fate()));
        CPPUNIT_ASSERT(count<seal_request>() > 1);
        pass(500ms);
        CPPUNIT_ASSERT(fate_of_second_task() == task_fate::unknown);
    }

    void a_restarted_member_leaves_fates_unknown()
    {
        start_copy({self, other});
        (void)find_job_fate();
        store_.handle(key(3, 2), make_reply(last_request(), 0, false), now_);
        CPPUNIT_ASSERT(fate_of_second_task() == task_fate::unknown);

        setUp();
        start_copy({self, other});
        store_.peer_ended(other, now_);
        CPPUNIT_ASSERT(fate_of_second_task() == task_fate::unknown);
    }

    void a_newer_set_redirects_lookups_and_refuses_the_seal()
    {
        start_copy({self, other});
        (void)find_job_fate();
        auto reply = make_reply(last_request(), 2, true);
        reply.members = {other};
        store_.handle(other, reply, now_);
        auto const found = std::get<redirect_to_members>(find_job_fate());
        CPPUNIT_ASSERT(found.members == std::vector{other});
        CPPUNIT_ASSERT(found.fallback.tasks[1].fate == task_fate::unknown);

        setUp();
        start_copy({self});
        std::vector<action> out;
        store_.handle(other, seal_request{owner, 0, copy_epoch{0}, 9}, now_,
                      out);
        CPPUNIT_ASSERT(!store_.is_sealed(owner));
        store_.handle(other, seal_request{owner, 0, copy_epoch{1}, 9}, now_,
                      out);
        CPPUNIT_ASSERT(store_.is_sealed(owner));
    }

    void a_partial_copy_does_not_answer()
    {
        auto batch = make_batch({self});
        batch.catch_up_pending = true;
        deliver(batch);
        auto const found = std::get<redirect_to_members>(find_job_fate());
        CPPUNIT_ASSERT(found.fallback.tasks[1].fate == task_fate::unknown);
        CPPUNIT_ASSERT(!store_.is_sealed(owner));
    }

    void a_moved_job_is_answered_by_its_newest_chain()
    {
        auto batch = start_copy({self});
        batch.chain = 1;
        batch.members = {};
        deliver(batch);
        CPPUNIT_ASSERT(
            std::holds_alternative<redirect_to_members>(find_job_fate()));
    }

    void results_are_returned_only_when_complete()
    {
        auto const batch = start_copy({self, other});
        deliver(make_next_batch(
            batch, {make_result(0, "one"), make_result(1, "two")}));
        auto const fate = std::get<job_fate>(find_job_fate());
        CPPUNIT_ASSERT(fate.state == job_state::done);
        CPPUNIT_ASSERT_EQUAL(std::string{"two"}, fate.tasks[1].body);
        CPPUNIT_ASSERT(!store_.is_sealed(owner));

        setUp();
        deliver(make_next_batch(start_copy({self}), {make_result(0, "one")}));
        auto const partial = std::get<job_fate>(find_job_fate());
        CPPUNIT_ASSERT(partial.state == job_state::failed);
        CPPUNIT_ASSERT(partial.tasks[0].fate == task_fate::done);
        CPPUNIT_ASSERT(partial.tasks[0].body.empty());
    }

    void a_full_store_refuses()
    {
        auto const batch = start_copy({self});
        auto const large =
            make_next_batch(batch, {make_result(0, std::string(200'000, 'x'))});
        deliver(large);
        deliver(make_next_batch(large, {make_result(1, "y")}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count<copy_refused>());
        CPPUNIT_ASSERT(!std::get<copy_refused>(sent_.back().message).sealed);
    }

    void copies_expire_and_discarded_jobs_are_dropped()
    {
        auto const batch = start_copy({self});
        deliver(make_next_batch(batch, {job_forgotten_record{job}}));
        CPPUNIT_ASSERT(std::holds_alternative<no_copy>(find_job_fate()));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, store_.bytes());

        setUp();
        start_copy({self});
        pass(15min);
        CPPUNIT_ASSERT(!store_.holds(job));
        CPPUNIT_ASSERT(!store_.next_deadline());
    }

private:
    copy_batch make_batch(std::vector<instance_key> members)
    {
        copy_batch batch{owner,       0,    copy_epoch{1}, std::move(members),
                         ++sequence_, true, false,         {}};
        batch.records = {
            job_accepted_record{job, 7, 2},
            task_starting_record{{job, task_index{0}}, 1, server_id{5}}};
        return batch;
    }

    copy_batch start_copy(std::vector<instance_key> members)
    {
        auto batch = make_batch(std::move(members));
        deliver(batch);
        return batch;
    }

    static copy_batch make_next_batch(copy_batch batch,
                                      std::vector<copy_record> records)
    {
        ++batch.sequence;
        batch.starts_catch_up = false;
        batch.records = std::move(records);
        return batch;
    }

    static task_result_record make_result(std::uint16_t index, std::string body)
    {
        return {{job, task_index{index}}, task_fate::done, std::move(body)};
    }

    void deliver(copy_batch const& batch)
    {
        collect(
            [&](std::vector<action>& out)
            {
                store_.handle(owner, batch, now_, out);
            });
    }

    fate_lookup find_job_fate()
    {
        fate_lookup found;
        collect(
            [&](std::vector<action>& out)
            {
                found = store_.find_fate(job, now_, out);
            });
        return found;
    }

    task_fate fate_of_second_task()
    {
        return std::get<job_fate>(find_job_fate()).tasks[1].fate;
    }

    void pass(duration time)
    {
        now_ += time;
        collect(
            [this](std::vector<action>& out)
            {
                store_.advance(now_, out);
            });
    }

    seal_request last_request() const
    {
        return std::get<seal_request>(sent_.back().message);
    }

    static seal_reply make_reply(seal_request const& request,
                                 std::uint32_t epoch, bool holds_copy)
    {
        return {owner, 0, request.nonce, holds_copy, copy_epoch{epoch}, {}};
    }

    template <typename Call>
    void collect(Call call)
    {
        std::vector<action> out;
        call(out);
        for (auto& one : out)
        {
            sent_.push_back(std::get<send_to_peer>(std::move(one)));
        }
    }

    template <typename Message>
    std::size_t count() const
    {
        std::size_t found = 0;
        for (auto const& one : sent_)
        {
            found += std::holds_alternative<Message>(one.message) ? 1 : 0;
        }
        return found;
    }

    copy_store store_ = copy_store_builder{}.self(self).build();
    time_point now_{};
    std::uint64_t sequence_ = 0;
    std::vector<send_to_peer> sent_;
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(copy_store_test, "copy_store");

} // namespace
