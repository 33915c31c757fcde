#include "support/domain_cluster.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <string>
#include <vector>

namespace
{

using namespace goldcrestgate::core;
using goldcrestgate::tests::domain_cluster;
using goldcrestgate::tests::make_patient_job;
using std::chrono::milliseconds;

constexpr client_job_id leaving_job{1};
constexpr client_job_id staying_job{2};
constexpr request_id leaving_request{1};
constexpr request_id staying_request{2};
constexpr domain_id first_domain{1};
constexpr milliseconds resubmission_delay{1300};

/// How an instance is lost.
enum class loss_kind : std::uint8_t
{
    paused,
    killed,
    cut_off
};

struct loss
{
    loss_kind kind = loss_kind::paused;
    /// Time until the instance is back.
    milliseconds time{};
};

/// Instances, by number; the first one owns the executors.
constexpr std::size_t first_owner = 0;
constexpr std::size_t second_instance = 1;
constexpr std::size_t third_instance = 2;

struct takeover_case
{
    loss owner_loss;
    /// Time from the leaving of the caller to the loss of the owner.
    milliseconds lost_after{};
    std::size_t instance_of_caller = first_owner;
    /// Whether the caller's instance is paused with the owner.
    bool caller_instance_paused = false;
    /// Whether the next owner is paused shortly after its claim.
    bool second_loss = false;
    double clock_rate = 1.0;
    /// Pause of the caller's instance, from the leaving of the caller.
    milliseconds short_pause{};

    [[nodiscard]] std::string describe() const
    {
        return "loss " + std::to_string(static_cast<int>(owner_loss.kind)) +
               " for " + std::to_string(owner_loss.time.count()) + " ms, " +
               std::to_string(lost_after.count()) +
               " ms after the caller of instance " +
               std::to_string(instance_of_caller) + " left" +
               (caller_instance_paused ? ", that instance paused" : "") +
               (second_loss ? ", second loss" : "") + ", paused for " +
               std::to_string(short_pause.count()) + " ms, clock rate " +
               std::to_string(clock_rate);
    }
};

/// Plays the loss of an owner around the leaving of a caller. Another caller,
/// whose task runs on the same executor, stays.
class takeover_play
{
public:
    explicit takeover_play(takeover_case const& played)
        : case_(played)
    {
        for (auto const id : cluster_.fleet().ids())
        {
            cluster_.fleet().behaviour(id).clock_rate = case_.clock_rate;
        }
        cluster_.on_answer = [this](answer_job const& answer)
        {
            staying_completed_ |= answer.job == staying_job &&
                                  answer.outcome == job_outcome::completed;
        };
    }

    void run()
    {
        auto& fleet = cluster_.fleet();
        fleet.run_for(milliseconds{3000});
        CPPUNIT_ASSERT_EQUAL(first_owner,
                             cluster_.owner_of(first_domain).value());
        submit(case_.instance_of_caller, leaving_request, leaving_job,
               milliseconds{5000});
        submit(third_instance, staying_request, staying_job,
               milliseconds{2500});
        fleet.run_for(milliseconds{600});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.running(leaving_job));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fleet.running(staying_job));
        auto const left_at = fleet.now();
        fleet.schedule(std::max(-case_.lost_after, milliseconds{}),
                       [this]
                       {
                           leave();
                       });
        fleet.schedule(std::max(case_.lost_after, milliseconds{}),
                       [this]
                       {
                           lose_owner();
                       });
        auto const leaves_at =
            left_at + std::max(-case_.lost_after, milliseconds{});
        fleet.run_for(leaves_at + resubmission_delay - fleet.now());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(case_.describe(), std::size_t{0},
                                     fleet.running(leaving_job));
        auto const starts = fleet.starts(leaving_job);
        fleet.run_for(milliseconds{6000});
        CPPUNIT_ASSERT_EQUAL_MESSAGE(case_.describe(), starts,
                                     fleet.starts(leaving_job));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(case_.describe(), std::size_t{0},
                                     fleet.duplicate_runs);
        CPPUNIT_ASSERT_MESSAGE(case_.describe(), staying_completed_);
        if (must_keep_other_run())
        {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(case_.describe(), std::size_t{1},
                                         fleet.starts(staying_job));
        }
    }

private:
    void submit(std::size_t node, request_id request, client_job_id id,
                milliseconds work)
    {
        auto const job =
            make_patient_job(id.value(), work, milliseconds{10'000});
        cluster_.fleet().set_work(id, work);
        cluster_.submit(node, request, job);
    }

    /// Returns whether the lease lasts until a successor, which claims within
    /// 500 ms, has stopped the run of the caller that left.
    [[nodiscard]] bool must_keep_other_run() const
    {
        constexpr milliseconds lease_without_caller{1200};
        constexpr milliseconds time_to_stop{500 + 150 + 100};
        constexpr milliseconds stopped_by_first_owner{700};
        bool const single_loss = !case_.second_loss &&
                                 !case_.caller_instance_paused &&
                                 case_.short_pause == milliseconds{};
        return single_loss &&
               (case_.lost_after <= lease_without_caller - time_to_stop ||
                case_.lost_after >= stopped_by_first_owner);
    }

    void leave()
    {
        auto const node = case_.instance_of_caller;
        if (case_.short_pause > milliseconds{})
        {
            cluster_.pause(node, case_.short_pause);
        }
        cluster_.when_resumed(node,
                              [this, node, left_at = cluster_.fleet().now()]
                              {
                                  if (!cluster_.is_down(node))
                                  {
                                      cluster_.disconnect_caller(
                                          node, leaving_request,
                                          cluster_.fleet().now() - left_at);
                                  }
                              });
    }

    void lose_owner()
    {
        lose(first_owner, case_.owner_loss);
        bool const other_instance = case_.instance_of_caller != first_owner;
        if (case_.caller_instance_paused && other_instance)
        {
            lose(case_.instance_of_caller,
                 {loss_kind::paused, case_.owner_loss.time});
        }
        if (case_.second_loss)
        {
            await_next_owner();
        }
    }

    void await_next_owner()
    {
        constexpr milliseconds interval{10};
        constexpr milliseconds time_as_owner{60};
        auto const owner = cluster_.owner_of(first_domain);
        if (!owner || *owner == first_owner)
        {
            cluster_.fleet().schedule(interval,
                                      [this]
                                      {
                                          await_next_owner();
                                      });
            return;
        }
        cluster_.fleet().schedule(
            time_as_owner,
            [this, next = *owner]
            {
                if (!cluster_.is_paused(next))
                {
                    lose(next, {loss_kind::paused, milliseconds{900}});
                }
            });
    }

    void lose(std::size_t node, loss const& lost)
    {
        switch (lost.kind)
        {
        case loss_kind::paused:
            if (!cluster_.is_paused(node))
            {
                cluster_.pause(node, lost.time);
            }
            break;
        case loss_kind::killed:
            cluster_.restart(node, lost.time);
            break;
        case loss_kind::cut_off:
            cluster_.set_cut(node, true);
            cluster_.fleet().schedule(lost.time,
                                      [this, node]
                                      {
                                          cluster_.set_cut(node, false);
                                      });
            break;
        }
    }

    takeover_case case_;
    domain_cluster cluster_{1, 3, 1};
    bool staying_completed_ = false;
};

// Guards against two runs of a task at a time: a caller left, the owner of the
// executors was lost before it stopped the caller's run, and the next owner
// kept the run alive until the caller had submitted the job elsewhere.
class callers_leaving_before_takeovers_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(callers_leaving_before_takeovers_test);
    CPPUNIT_TEST(owner_that_freezes);
    CPPUNIT_TEST(owner_that_is_killed);
    CPPUNIT_TEST(owner_that_is_cut_off);
    CPPUNIT_TEST(owner_and_instance_of_the_caller_freeze);
    CPPUNIT_TEST(two_owners_in_a_row_freeze);
    CPPUNIT_TEST(instance_notices_late_that_the_caller_has_left);
    CPPUNIT_TEST(clocks_of_executors_are_slow_or_fast);
    CPPUNIT_TEST_SUITE_END();

public:
    void owner_that_freezes()
    {
        for (auto const time : {100, 400, 1000, 3000, 5000})
        {
            play({.owner_loss = {loss_kind::paused, milliseconds{time}}});
        }
    }

    void owner_that_is_killed()
    {
        for (auto const time : {50, 500, 3000})
        {
            play({.owner_loss = {loss_kind::killed, milliseconds{time}}});
        }
    }

    void owner_that_is_cut_off()
    {
        for (auto const time : {500, 3000})
        {
            play({.owner_loss = {loss_kind::cut_off, milliseconds{time}}});
        }
    }

    void owner_and_instance_of_the_caller_freeze()
    {
        for (auto const time : {400, 1000, 3000})
        {
            play({.owner_loss = {loss_kind::paused, milliseconds{time}},
                  .caller_instance_paused = true});
        }
    }

    void two_owners_in_a_row_freeze()
    {
        for (auto const time : {400, 1000, 3000})
        {
            play({.owner_loss = {loss_kind::paused, milliseconds{time}},
                  .second_loss = true});
        }
    }

    void instance_notices_late_that_the_caller_has_left()
    {
        for (auto const time : {400, 3000})
        {
            play({.owner_loss = {loss_kind::paused, milliseconds{time}},
                  .short_pause = milliseconds{300}});
        }
    }

    void clocks_of_executors_are_slow_or_fast()
    {
        for (auto const rate : {0.98, 1.02})
        {
            play({.owner_loss = {loss_kind::paused, milliseconds{400}},
                  .clock_rate = rate});
            play({.owner_loss = {loss_kind::paused, milliseconds{3000}},
                  .clock_rate = rate});
        }
    }

private:
    static void play(takeover_case played)
    {
        constexpr milliseconds step{50};
        for (auto const node : {first_owner, second_instance})
        {
            played.instance_of_caller = node;
            auto const first = played.short_pause > milliseconds{}
                                   ? played.short_pause + step
                                   : milliseconds{-300};
            for (auto after = first; after <= resubmission_delay; after += step)
            {
                played.lost_after = after;
                takeover_play play{played};
                play.run();
            }
        }
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(callers_leaving_before_takeovers_test,
                                      "callers_leaving_before_takeovers");

} // namespace
