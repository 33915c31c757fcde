#include "support/cut_run.hpp"

namespace goldcrestgate::tests
{

using namespace core;
using std::chrono::milliseconds;

namespace
{

constexpr std::size_t instances_per_domain = 4;
constexpr std::uint32_t executors_per_domain = 4;

/// Delay after which a caller sends a job again whose fate it does not know.
constexpr duration resubmission_delay = milliseconds{1300};
constexpr int max_submissions = 3;

} // namespace

cut_run::cut_run(std::uint64_t seed)
    : name_("seed " + std::to_string(seed))
    , random_(seed)
    , cluster_(domain_count, instances_per_domain, executors_per_domain)
{
    cluster_.on_answer = [this](answer_job const& answer)
    {
        record_answer(answer);
    };
}

void cut_run::run()
{
    cluster_.fleet().run_for(milliseconds{800});
    for (std::size_t i = 0; i < cuts; ++i)
    {
        std::vector<std::size_t> const cut = pick_instances();
        set_cut(cut, true);
        submit_jobs(milliseconds{300 + pick(2500)});
        set_cut(cut, false);
        submit_jobs(milliseconds{200 + pick(1500)});
    }
    cluster_.fleet().run_for(std::chrono::seconds{6});
}

void cut_run::check() const
{
    CPPUNIT_ASSERT_EQUAL_MESSAGE("runs at the same time, " + name_,
                                 std::size_t{0},
                                 cluster_.fleet().duplicate_runs);
    for (auto const& [id, sent] : jobs_)
    {
        auto const starts = cluster_.fleet().starts(id);
        CPPUNIT_ASSERT_EQUAL_MESSAGE("answers, " + name_, sent.submissions,
                                     sent.answers);
        CPPUNIT_ASSERT_MESSAGE("rejected job has run, " + name_,
                               sent.rejections != sent.answers || starts == 0);
        CPPUNIT_ASSERT_MESSAGE(
            "completed job has not run, " + name_,
            !sent.completed || starts >= sent.job.groups.front().task_count);
    }
}

std::vector<std::size_t> cut_run::pick_instances()
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

void cut_run::set_cut(std::vector<std::size_t> const& nodes, bool cut)
{
    for (auto const node : nodes)
    {
        cluster_.set_cut(node, cut);
    }
}

void cut_run::submit_jobs(duration time)
{
    auto const end = cluster_.fleet().now() + time;
    while (cluster_.fleet().now() < end)
    {
        client_job_id const id{++last_job_};
        duration const work = milliseconds{30 + pick(570)};
        cluster_.fleet().set_work(id, work);
        jobs_[id].job = make_leased_job(
            id.value(), static_cast<std::uint16_t>(1 + pick(3)), work);
        submit(id);
        cluster_.fleet().run_for(milliseconds{30 + pick(60)});
    }
}

void cut_run::submit(client_job_id id)
{
    auto& sent = jobs_.at(id);
    ++sent.submissions;
    request_id const request{++last_request_};
    requests_[request] = id;
    cluster_.submit(pick(cluster_.size()), request, sent.job);
}

void cut_run::record_answer(answer_job const& answer)
{
    auto const id = requests_.at(answer.request);
    auto& sent = jobs_.at(id);
    ++sent.answers;
    sent.rejections += answer.outcome == job_outcome::rejected ? 1 : 0;
    sent.completed = sent.completed || answer.outcome == job_outcome::completed;
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

} // namespace goldcrestgate::tests
