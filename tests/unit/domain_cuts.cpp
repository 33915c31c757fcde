#include "support/domain_cluster.hpp"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <random>
#include <string>
#include <vector>

namespace
{

using namespace goldcrestgate;
using namespace goldcrestgate::core;
using std::chrono::milliseconds;

constexpr std::uint16_t domain_count = 2;
constexpr std::size_t instances_per_domain = 4;
constexpr std::uint32_t executors_per_domain = 4;

/// Delay after which a caller sends a job again whose fate it does not know.
constexpr duration resubmission_delay = milliseconds{1300};
constexpr int max_submissions = 3;

/// Jobs of random instances while random instances are cut off from all others,
/// from one seed.
class cut_run
{
public:
    explicit cut_run(std::uint64_t seed)
        : random_(seed)
        , cluster_(domain_count, instances_per_domain, executors_per_domain)
    {
        cluster_.on_answer = [this](answer_job const& answer)
        {
            record_answer(answer);
        };
    }

    void run()
    {
        cluster_.fleet().run_for(milliseconds{800});
        for (int i = 0; i < 3; ++i)
        {
            std::vector<std::size_t> const cut = pick_instances();
            set_cut(cut, true);
            submit_jobs(milliseconds{300 + pick(2500)});
            set_cut(cut, false);
            submit_jobs(milliseconds{200 + pick(1500)});
        }
        cluster_.fleet().run_for(std::chrono::seconds{6});
    }

    void check(std::string const& seed)
    {
        CPPUNIT_ASSERT_EQUAL_MESSAGE("runs at the same time, " + seed,
                                     std::size_t{0},
                                     cluster_.fleet().duplicate_runs);
        for (auto const& [id, sent] : jobs_)
        {
            auto const starts = cluster_.fleet().starts(id);
            CPPUNIT_ASSERT_EQUAL_MESSAGE("answers, " + seed, sent.submissions,
                                         sent.answers);
            CPPUNIT_ASSERT_MESSAGE("rejected job has run, " + seed,
                                   sent.rejections != sent.answers ||
                                       starts == 0);
            CPPUNIT_ASSERT_MESSAGE("completed job has not run, " + seed,
                                   !sent.completed ||
                                       starts >=
                                           sent.job.groups.front().task_count);
        }
    }

private:
    struct sent_job
    {
        leased_job job;
        int submissions = 0;
        int answers = 0;
        int rejections = 0;
        bool completed = false;
    };

    std::uint64_t pick(std::uint64_t below)
    {
        return random_() % below;
    }

    std::vector<std::size_t> pick_instances()
    {
        constexpr std::uint64_t max_share_percent = 75;
        auto const share_percent = 1 + pick(max_share_percent);
        std::vector<std::size_t> picked;
        for (std::size_t node = 0; node < cluster_.size(); ++node)
        {
            if (pick(100) < share_percent)
            {
                picked.push_back(node);
            }
        }
        return picked;
    }

    void set_cut(std::vector<std::size_t> const& nodes, bool cut)
    {
        for (auto const node : nodes)
        {
            cluster_.set_cut(node, cut);
        }
    }

    void submit_jobs(duration time)
    {
        auto const end = cluster_.fleet().now() + time;
        while (cluster_.fleet().now() < end)
        {
            client_job_id const id{++last_job_};
            duration const work = milliseconds{30 + pick(570)};
            cluster_.fleet().set_work(id, work);
            jobs_[id].job = tests::make_leased_job(
                id.value(), static_cast<std::uint16_t>(1 + pick(3)), work);
            submit(id);
            cluster_.fleet().run_for(milliseconds{30 + pick(60)});
        }
    }

    void submit(client_job_id id)
    {
        auto& sent = jobs_.at(id);
        ++sent.submissions;
        request_id const request{++last_request_};
        requests_[request] = id;
        cluster_.submit(pick(cluster_.size()), request, sent.job);
    }

    void record_answer(answer_job const& answer)
    {
        auto const id = requests_.at(answer.request);
        auto& sent = jobs_.at(id);
        ++sent.answers;
        sent.rejections += answer.outcome == job_outcome::rejected ? 1 : 0;
        sent.completed =
            sent.completed || answer.outcome == job_outcome::completed;
        if (answer.outcome == job_outcome::abandoned &&
            sent.submissions < max_submissions)
        {
            cluster_.fleet().schedule(resubmission_delay,
                                      [this, id]
                                      {
                                          submit(id);
                                      });
        }
    }

    std::mt19937_64 random_;
    tests::domain_cluster cluster_;
    std::map<client_job_id, sent_job> jobs_;
    std::map<request_id, client_job_id> requests_;
    std::uint64_t last_job_ = 0;
    std::uint64_t last_request_ = 0;
};

// Guards against tasks that run twice at a time, and against wrong answers,
// when instances that are cut off from the others take over executors whose
// owner is alive.
class domain_cuts_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(domain_cuts_test);
    CPPUNIT_TEST(instances_cut_off_cause_no_duplicate_run);
    CPPUNIT_TEST_SUITE_END();

public:
    void instances_cut_off_cause_no_duplicate_run()
    {
        constexpr std::uint64_t seeds = 60;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed)
        {
            cut_run run{seed};
            run.run();
            run.check("seed " + std::to_string(seed));
        }
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(domain_cuts_test, "domain_cuts");

} // namespace
