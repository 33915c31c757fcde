#include "goldcrestgate/core/admission/admission_queue.hpp"

#include <algorithm>
#include <utility>

namespace goldcrestgate::core
{

namespace
{

constexpr std::uint32_t urgent_bit = 1;

constexpr duration overdue_wait = std::chrono::milliseconds{1000};

constexpr bool is_urgent(std::uint32_t flow_index)
{
    return (flow_index & urgent_bit) != 0;
}

constexpr std::size_t team_of(std::uint32_t flow_index)
{
    return flow_index / 2;
}

double to_double(duration time)
{
    return static_cast<double>(time.count());
}

} // namespace

void admission_queue::set_settings(settings_ptr settings)
{
    settings_ = std::move(settings);
}

// flows

admission_queue::flow_index admission_queue::index_of(team_id team,
                                                      core::urgency urgency)
{
    return team.value() * 2 +
           (urgency == core::urgency::urgent ? urgent_bit : 0);
}

admission_queue::flow& admission_queue::flow_at(flow_index index)
{
    if (index >= flows_.size())
    {
        flows_.resize(index + 1);
        running_by_team_.resize(team_of(index) + 1);
    }
    return flows_[index];
}

double admission_queue::weight(flow_index index) const
{
    if (!settings_)
    {
        return 1.0;
    }
    std::size_t const team = team_of(index);
    double const team_weight = team < settings_->teams.size()
                                   ? settings_->teams[team].weight
                                   : team_policy{}.weight;
    return is_urgent(index) ? team_weight * settings_->urgent.urgent_weight
                            : team_weight;
}

bool admission_queue::within_quota(flow_index index) const
{
    std::size_t const team = team_of(index);
    if (!settings_ || team >= settings_->teams.size())
    {
        return true;
    }
    std::uint32_t const limit = settings_->teams[team].max_running_tasks;
    return limit == 0 || running_by_team_[team] < limit;
}

bool admission_queue::urgent_within_limit() const
{
    double const share = settings_ ? settings_->urgent.urgent_max_ratio
                                   : urgency_policy{}.urgent_max_ratio;
    return running_urgent_ <= share * running_;
}

// Orders flows by the virtual time at which their first job would end if all
// flows were served at once by weight. Serving jobs one after the other in this
// order ends each of them no later than serving all of them at once would.
void admission_queue::reposition(flow_index index)
{
    flow& moved = flows_[index];
    auto& active = active_flows_[index & urgent_bit];
    if (moved.active_weight > 0.0)
    {
        active.erase({moved.finish_tag, index});
        active_weight_sum_ -= moved.active_weight;
    }
    else
    {
        moved.normalized_work = std::max(moved.normalized_work, virtual_time_);
    }
    moved.active_weight = moved.jobs.empty() ? 0.0 : weight(index);
    if (moved.active_weight > 0.0)
    {
        auto const first = jobs_.find(moved.jobs.begin()->submission);
        moved.finish_tag =
            moved.normalized_work +
            to_double(first->second.work()) / moved.active_weight;
        active.emplace(moved.finish_tag, index);
        active_weight_sum_ += moved.active_weight;
    }
}

void admission_queue::charge(flow_index index, duration work)
{
    flows_[index].normalized_work += to_double(work) / weight(index);
    virtual_time_ +=
        to_double(work) / std::max(active_weight_sum_, weight(index));
}

void admission_queue::add_work(flow_index index, duration work)
{
    flows_[index].waiting_work += work;
    waiting_work_ += work;
}

std::optional<admission_queue::flow_index> admission_queue::choose_flow() const
{
    std::optional<std::pair<double, flow_index>> best;
    bool const urgent_first = urgent_within_limit();
    for (std::uint32_t const kind : {0U, urgent_bit})
    {
        if (kind == urgent_bit && best && !urgent_first)
        {
            continue;
        }
        for (auto const& candidate : active_flows_[kind])
        {
            if (within_quota(candidate.second))
            {
                best = best ? std::min(*best, candidate) : candidate;
                break;
            }
        }
    }
    return best ? std::optional{best->second} : std::nullopt;
}

// jobs

waiting_job& admission_queue::job_for(waiting_task const& task)
{
    auto const [found, is_new] =
        jobs_.try_emplace(task.task.submission, task, next_sequence_);
    if (is_new)
    {
        ++next_sequence_;
        flow_index const index = index_of(task.team, task.urgency);
        flow& job_flow = flow_at(index);
        job_flow.jobs.insert(found->second.rank());
        deadlines_.emplace(task.deadline, task.task.submission);
        arrivals_.emplace(task.since, task.task.submission);
    }
    return found->second;
}

void admission_queue::remove_job(job_map::iterator job)
{
    waiting_job const& removed = job->second;
    flow_index const index = index_of(removed.team(), removed.urgency());
    flow& job_flow = flows_[index];
    job_flow.jobs.erase(removed.rank());
    deadlines_.erase({removed.deadline(), job->first});
    arrivals_.erase({removed.since(), job->first});
    size_ -= removed.size();
    add_work(index, -removed.work());
    jobs_.erase(job);
    reposition(index);
}

void admission_queue::push(waiting_task task)
{
    flow_index const index = index_of(task.team, task.urgency);
    job_for(task).push(task);
    add_work(index, task.expected_run_time);
    ++size_;
    reposition(index);
}

void admission_queue::push_front(waiting_task task)
{
    flow_index const index = index_of(task.team, task.urgency);
    job_for(task).push_front(task);
    add_work(index, task.expected_run_time);
    charge(index, -task.expected_run_time);
    ++size_;
    reposition(index);
}

// An overdue job takes precedence over the fair shares. Together with the limit
// on admitted work, this bounds the wait of each job.
admission_queue::job_map::iterator admission_queue::choose_job(time_point now)
{
    if (!arrivals_.empty() && now - arrivals_.begin()->first > overdue_wait)
    {
        auto const oldest = jobs_.find(arrivals_.begin()->second);
        if (within_quota(
                index_of(oldest->second.team(), oldest->second.urgency())))
        {
            return oldest;
        }
    }
    auto const index = choose_flow();
    if (!index)
    {
        return jobs_.end();
    }
    return jobs_.find(flows_[*index].jobs.begin()->submission);
}

std::optional<waiting_task> admission_queue::pop(time_point now)
{
    auto const job = choose_job(now);
    if (job == jobs_.end())
    {
        return std::nullopt;
    }
    waiting_task const task = job->second.pop();
    account_removal(job, task);
    return task;
}

void admission_queue::account_removal(job_map::iterator job,
                                      waiting_task const& task)
{
    flow_index const index = index_of(task.team, task.urgency);
    --size_;
    add_work(index, -task.expected_run_time);
    charge(index, task.expected_run_time);
    if (job->second.size() == 0)
    {
        remove_job(job);
    }
    else
    {
        reposition(index);
    }
}

std::optional<submission_id> admission_queue::last_job() const
{
    for (std::uint32_t const kind : {0U, urgent_bit})
    {
        auto const& flows = active_flows_[kind];
        for (auto entry = flows.rbegin(); entry != flows.rend(); ++entry)
        {
            if (within_quota(entry->second))
            {
                return flows_[entry->second].jobs.rbegin()->submission;
            }
        }
    }
    return std::nullopt;
}

duration admission_queue::work_before(waiting_task const& task,
                                      time_point now) const
{
    bool const waited_long = now - task.since > task.expected_run_time;
    return waited_long ? waiting_work_ + task.expected_run_time
                       : task.expected_run_time;
}

// A slow server takes a task of the next job, unless that has a single task.
admission_queue::job_map::iterator
admission_queue::job_for_slow_server(time_point now)
{
    auto const first = choose_job(now);
    if (first != jobs_.end() && first->second.size() > 1)
    {
        return first;
    }
    auto const submission = last_job();
    return submission ? jobs_.find(*submission) : jobs_.end();
}

std::optional<waiting_task> admission_queue::last(time_point now)
{
    auto const job = job_for_slow_server(now);
    return job == jobs_.end() ? std::nullopt
                              : std::optional{job->second.last()};
}

void admission_queue::pop_last(time_point now)
{
    auto const job = job_for_slow_server(now);
    if (job != jobs_.end())
    {
        account_removal(job, job->second.pop_last());
    }
}

void admission_queue::set_open_in_job(submission_id submission,
                                      std::uint32_t open)
{
    auto const job = jobs_.find(submission);
    if (job == jobs_.end())
    {
        return;
    }
    flow_index const index =
        index_of(job->second.team(), job->second.urgency());
    flow& job_flow = flows_[index];
    job_flow.jobs.erase(job->second.rank());
    job->second.set_open(open);
    job_flow.jobs.insert(job->second.rank());
    reposition(index);
}

std::size_t admission_queue::cancel(submission_id submission)
{
    auto const job = jobs_.find(submission);
    if (job == jobs_.end())
    {
        return 0;
    }
    std::size_t const count = job->second.size();
    remove_job(job);
    return count;
}

std::vector<task_key> admission_queue::expire(time_point now)
{
    std::vector<task_key> expired;
    while (!deadlines_.empty() && deadlines_.begin()->first <= now)
    {
        auto const job = jobs_.find(deadlines_.begin()->second);
        auto const keys = job->second.keys();
        expired.insert(expired.end(), keys.begin(), keys.end());
        remove_job(job);
    }
    return expired;
}

// running tasks

void admission_queue::task_running(team_id team, core::urgency urgency)
{
    flow_at(index_of(team, urgency));
    ++running_by_team_[team.value()];
    ++running_;
    running_urgent_ += urgency == core::urgency::urgent ? 1 : 0;
}

void admission_queue::task_ended(team_id team, core::urgency urgency)
{
    flow_at(index_of(team, urgency));
    if (running_by_team_[team.value()] == 0)
    {
        return;
    }
    --running_by_team_[team.value()];
    --running_;
    running_urgent_ -= urgency == core::urgency::urgent ? 1 : 0;
}

// admission

duration admission_queue::max_wait(service_id service) const
{
    bool const is_known =
        settings_ && service.value() < settings_->services.size();
    return is_known ? settings_->services[service.value()].max_queue_wait
                    : service_policy{}.max_queue_wait;
}

// Counts the work of other flows only as far as the weights let it go before
// the flow's own waiting work.
duration admission_queue::work_ahead(job_demand const& demand) const
{
    flow_index const index = index_of(demand.team, demand.urgency);
    if (index >= flows_.size() || flows_[index].jobs.empty())
    {
        return duration{};
    }
    double weights = 0.0;
    for (auto const& flows : active_flows_)
    {
        for (auto const& entry : flows)
        {
            weights += weight(entry.second);
        }
    }
    double const fair =
        to_double(flows_[index].waiting_work) * weights / weight(index);
    return duration{
        static_cast<std::int64_t>(std::min(fair, to_double(waiting_work_)))};
}

std::optional<error_code> admission_queue::admit(job_demand const& demand,
                                                 std::uint32_t slots,
                                                 time_point now)
{
    duration work{};
    duration longest{};
    for (duration const run_time : demand.run_times)
    {
        work += run_time;
        longest = std::max(longest, run_time);
    }
    double const rate = std::max(slots, 1U);
    double const wait = to_double(work_ahead(demand)) / rate;
    double const own_time =
        std::max(to_double(work) / rate, to_double(longest));
    if (wait + own_time > to_double(demand.deadline - now))
    {
        return error_code::deadline_unreachable;
    }
    // Behind other work, the job's own work counts as well, so that a large job
    // does not displace many small ones when there are few slots. Without work
    // ahead of it, only the deadline limits a job's size.
    bool const has_work_ahead = wait > 0.0;
    if (has_work_ahead &&
        wait + to_double(work) / rate > to_double(max_wait(demand.service)))
    {
        return error_code::overloaded;
    }
    return std::nullopt;
}

// observers

std::optional<time_point> admission_queue::next_deadline() const
{
    return deadlines_.empty() ? std::nullopt
                              : std::optional{deadlines_.begin()->first};
}

std::size_t admission_queue::size() const
{
    return size_;
}

duration admission_queue::waiting_work() const
{
    return waiting_work_;
}

} // namespace goldcrestgate::core
