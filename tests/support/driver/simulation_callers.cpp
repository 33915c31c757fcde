// Schedule steps and callers of the simulation.

#include "support/driver/simulation.hpp"

#include <nlohmann/json.hpp>

#include <chrono>
#include <utility>

namespace goldcrestgate::test
{

namespace
{

using namespace goldcrestgate::core;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

// Maximum time of a request beyond its wait. It covers the detection of a lost
// owner and a query to the owner's copies.
constexpr sim_time answer_limit = 12s;

// Fates of a lost owner's submissions must be known within this time.
constexpr sim_time fate_limit = 3s;
constexpr sim_time fate_query_delay = 1900ms;

job_request make_job(std::uint32_t tasks, std::uint32_t flags,
                     std::uint32_t body)
{
    job_request job;
    job.service = "desk";
    job.team = "inspection";
    job.repeatable = (flags & repeatable) != 0;
    job.deadline = (flags & short_deadline) != 0 ? 700ms : 9s;
    nlohmann::json text = {{"service", job.service},
                           {"team", job.team},
                           {"repeatable", *job.repeatable},
                           {"deadline_ms", job.deadline->count() / 1000},
                           {"tasks", nlohmann::json::array()}};
    for (std::uint32_t task = 0; task < tasks; ++task)
    {
        bool const is_poisoned = task == 0 && (flags & poisoned) != 0;
        task_request request;
        request.payload = std::string{is_poisoned ? "poison" : "work"} +
                          (body == 0 ? "" : " other");
        request.run_time = 100ms;
        text["tasks"].push_back(
            {{"payload", request.payload}, {"run_time_ms", 100}});
        job.tasks.push_back(std::move(request));
    }
    job.body = text.dump();
    job.body_hash = 0xcbf29ce484222325ULL;
    for (char const byte : job.body)
    {
        job.body_hash = (job.body_hash ^ static_cast<unsigned char>(byte)) *
                        0x100000001b3ULL;
    }
    return job;
}

} // namespace

void simulation::run_step(schedule_step const& step)
{
    auto const span = milliseconds{step.b};
    switch (step.kind)
    {
    case step_kind::kill:
        if (plan_.single_owner_loss)
        {
            owner_lost_at_ = now_;
            after(fate_query_delay,
                  [this, step]
                  {
                      query_fates(step.a);
                  });
        }
        kill(step.a);
        if (step.b != 0)
        {
            after(span,
                  [this, step]
                  {
                      start_process(step.a);
                  });
        }
        break;
    case step_kind::pause:
        instances_.at(step.a).paused = instances_.at(step.a).process != nullptr;
        instances_.at(step.a).paused_until = now_ + span;
        after(span,
              [this, step]
              {
                  resume(step.a);
              });
        break;
    case step_kind::cut:
        cut(step.a, step.b, milliseconds{step.c});
        break;
    case step_kind::blind:
        instances_.at(step.a).list_unreadable_until = now_ + span;
        break;
    case step_kind::stale_list:
        list_stale_until_ = now_ + milliseconds{step.a};
        break;
    case step_kind::stop:
        instances_.at(step.a).stopping_since = now_;
        deliver(step.a, instances_.at(step.a).generation, begin_stop{});
        publish_list();
        break;
    case step_kind::leave:
        servers_.at(step.a).refuses_starts_at =
            step.b == 0 ? sim_time::max() : now_ + span;
        publish_list();
        break;
    case step_kind::crash_server:
        crash_server(servers_.at(step.a), span);
        break;
    case step_kind::fail_server:
        servers_.at(step.a).failing_until = now_ + span;
        break;
    default:
        run_job_step(step);
        break;
    }
}

void simulation::run_job_step(schedule_step const& step)
{
    if (step.kind == step_kind::submit)
    {
        jobs_.push_back({step.c, step.b, {}, {}});
        request_job_id(static_cast<std::uint32_t>(jobs_.size()) - 1, step.a);
        return;
    }
    if (step.a >= jobs_.size())
    {
        return;
    }
    auto& job = jobs_[step.a];
    if (!job.id)
    {
        job.pending_steps.push_back(step);
        return;
    }
    if (step.kind == step_kind::resubmit || step.kind == step_kind::conflict)
    {
        submit_job(step.a, step.b, step.kind == step_kind::conflict ? 1 : 0);
        return;
    }
    caller_request request;
    request.instance = step.b;
    request.job = step.a;
    request.submission = *job.id;
    request.what = step.kind == step_kind::cancel ? caller_request::kind::cancel
                                                  : caller_request::kind::query;
    request.wait = step.kind == step_kind::cancel ? 3000ms : 500ms;
    send_request(request,
                 [kind = step.kind, id = *job.id](request_id number) -> event
                 {
                     if (kind == step_kind::cancel)
                     {
                         return cancel_job{number, id};
                     }
                     return query_job{number, id, 500ms};
                 });
}

void simulation::request_job_id(std::uint32_t number,
                                std::uint32_t via_instance)
{
    caller_request request;
    request.what = caller_request::kind::mint;
    request.instance = via_instance;
    request.job = number;
    send_request(request,
                 [](request_id id) -> event
                 {
                     return mint_ids{id, 1};
                 });
}

void simulation::on_job_id(caller_request const& request,
                           std::string const& body)
{
    auto const answer = nlohmann::json::parse(body, nullptr, false);
    if (!answer.contains("ids"))
    {
        return;
    }
    auto& job = jobs_[request.job];
    job.id = parse_submission_id(answer["ids"][0].get<std::string>());
    checks_.job_created(*job.id, job.tasks, (job.flags & repeatable) != 0);
    submit_job(request.job, request.instance, 0);
    for (auto const& step : std::exchange(job.pending_steps, {}))
    {
        run_job_step(step);
    }
}

void simulation::submit_job(std::uint32_t number, std::uint32_t via_instance,
                            std::uint32_t body)
{
    auto const& job = jobs_[number];
    caller_request request;
    request.what = caller_request::kind::submit;
    request.instance = via_instance;
    request.job = number;
    request.submission = *job.id;
    request.body = body;
    request.wait = (job.flags & no_wait) != 0 ? sim_time{0} : sim_time{2s};
    checks_.submit_sent(*job.id);
    send_request(request,
                 [&](request_id id) -> event
                 {
                     return core::submit_job{
                         id, *job.id, make_job(job.tasks, job.flags, body),
                         request.wait};
                 });
}

std::uint32_t simulation::pick_live_instance(std::uint32_t preferred) const
{
    // The platform's load balancer forwards a request to a live instance.
    auto found = instances_.find(preferred);
    for (std::size_t i = 0; i < instances_.size(); ++i)
    {
        if (found->second.process && !found->second.stopping_since)
        {
            break;
        }
        if (++found == instances_.end())
        {
            found = instances_.begin();
        }
    }
    return found->first;
}

void simulation::send_request(caller_request request,
                              std::function<event(request_id)> const& make)
{
    if (!request.after_loss)
    {
        request.instance = pick_live_instance(request.instance);
    }
    request.generation = instances_.at(request.instance).generation;
    request.sent_at = now_;
    request_id const number{++last_request_};
    requests_.emplace(number, request);
    after(draw_duration(100, 1'000),
          [this, request, input = make(number)]
          {
              deliver(request.instance, request.generation, input);
          });
    after(request.wait + answer_limit,
          [this, number]
          {
              check_answered_in_time(number);
          });
    bool const disconnects =
        request.what == caller_request::kind::submit &&
        (jobs_[request.job].flags & disconnects_early) != 0;
    if (disconnects)
    {
        after(draw_duration(2'000, 300'000),
              [this, number]
              {
                  auto& abandoned_request = requests_.at(number);
                  abandoned_request.disconnected = true;
                  deliver(abandoned_request.instance,
                          abandoned_request.generation,
                          caller_disconnected{number});
              });
    }
}

void simulation::on_answer(instance& source, answer_caller const& answer)
{
    auto const found = requests_.find(answer.request);
    if (found == requests_.end() ||
        found->second.generation != source.generation)
    {
        checks_.fail("matched_answer", "an answer matches no request", now_);
        return;
    }
    auto& request = found->second;
    if (std::exchange(request.answered, true) && !request.disconnected)
    {
        checks_.fail("matched_answer", "a request was answered twice", now_);
        return;
    }
    ++counts_.answers;
    counts_.jobs_done +=
        answer.body.find("\"state\":\"done\"") != std::string::npos ? 1 : 0;
    bool const by_copy =
        request.submission.owner.instance != source.key.instance &&
        !instances_.at(std::max(1U, request.submission.owner.instance.value()))
             .process;
    counts_.fates_by_copies += by_copy && answer.status == 200 ? 1 : 0;
    checks_.check_answer(request, answer.status, answer.body, now_);
    if (request.after_loss)
    {
        checks_.check_lost_owner(request, answer.body, *owner_lost_at_ - 200ms,
                                 now_);
    }
    auto const answered_request = request;
    after(sim_time{0},
          [this, answered_request, body = answer.body, status = answer.status]
          {
              if (answered_request.what == caller_request::kind::mint)
              {
                  on_job_id(answered_request, body);
              }
              else if (status >= 400 && status != 409)
              {
                  resubmit_later(answered_request);
              }
          });
}

void simulation::resubmit_later(caller_request const& request)
{
    if (request.what == caller_request::kind::submit && draw_chance(400))
    {
        after(draw_duration(10'000, 800'000),
              [this, request]
              {
                  auto const any = static_cast<std::uint32_t>(
                      draw(1, static_cast<std::int64_t>(instances_.size())));
                  submit_job(request.job, any, *request.body);
              });
    }
}

void simulation::check_answered_in_time(request_id number)
{
    auto const& request = requests_.at(number);
    auto const& target = instances_.at(request.instance);
    bool const excused = request.answered || request.disconnected ||
                         target.generation != request.generation ||
                         !target.process || target.paused ||
                         target.last_paused >= request.sent_at;
    if (!excused)
    {
        checks_.fail("answered",
                     "request " + std::to_string(number.value()) + " of kind " +
                         std::to_string(static_cast<int>(request.what)) +
                         " for " + to_string(request.submission) +
                         " got no answer at instance " +
                         std::to_string(request.instance),
                     now_);
    }
}

void simulation::query_fates(std::optional<std::uint32_t> lost_owner)
{
    for (std::uint32_t number = 0; number < jobs_.size(); ++number)
    {
        auto const& id = jobs_[number].id;
        if (!id || (lost_owner && id->owner.instance.value() != *lost_owner))
        {
            continue;
        }
        for (auto const& [via_instance, target] : instances_)
        {
            bool const is_candidate =
                target.process &&
                (!lost_owner || target.key.domain == id->owner.domain);
            if (!is_candidate)
            {
                continue;
            }
            caller_request request;
            request.instance = via_instance;
            request.job = number;
            request.submission = *id;
            request.after_loss = lost_owner.has_value();
            send_request(request,
                         [&id](request_id query_id) -> event
                         {
                             return query_job{query_id, *id, duration{0}};
                         });
            if (lost_owner)
            {
                at(*owner_lost_at_ + fate_limit,
                   [this, query_id = request_id{last_request_}]
                   {
                       if (!requests_.at(query_id).answered)
                       {
                           checks_.fail("known_fate",
                                        "no fate 3 s after the loss", now_);
                       }
                   });
            }
        }
    }
}

} // namespace goldcrestgate::test
