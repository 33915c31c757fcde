#include "goldcrestgate/core/dispatcher.hpp"

#include "goldcrestgate/core/detail/dispatcher_parts.hpp"

#include <algorithm>
#include <utility>

namespace goldcrestgate::core
{

dispatcher::dispatcher(dispatcher_options options)
    : parts_(std::make_unique<detail::dispatcher_parts>(std::move(options)))
{
}

dispatcher::dispatcher(dispatcher&&) noexcept = default;
dispatcher& dispatcher::operator=(dispatcher&&) noexcept = default;
dispatcher::~dispatcher() = default;

void dispatcher::handle(event const& input, time_point now,
                        std::vector<action>& out)
{
    handle(event{input}, now, out);
}

void dispatcher::handle(event&& input, time_point now, std::vector<action>& out)
{
    detail::event_context context{now, out};
    parts_->begin(context);
    parts_->run_timers(context);
    std::visit(
        [&](auto& specific)
        {
            parts_->on(specific, context);
        },
        input);
    parts_->finish(context);
}

std::optional<time_point> dispatcher::next_deadline() const
{
    std::optional<time_point> const timers = parts_->state.timers.next();
    std::optional<time_point> const peers = parts_->peers.next_deadline();
    return timers && peers ? std::min(*timers, *peers)
                           : (timers ? timers : peers);
}

dispatcher_counts dispatcher::counts() const
{
    dispatcher_counts counts = parts_->state.counts;
    counts.submissions = parts_->state.table.size();
    counts.waiting_tasks = parts_->state.queue.size();
    counts.timers = parts_->state.timers.size();
    counts.held_responses = parts_->state.local_requests.size();
    return counts;
}

std::vector<server_view> dispatcher::servers() const
{
    std::vector<server_view> views;
    for (auto const& [server, known] : parts_->state.servers)
    {
        server_view view;
        view.server = server;
        view.address = known.listed.address;
        view.rack = known.listed.rack;
        view.slots = known.listed.slots;
        view.open_attempts = known.open_attempts;
        view.leaving = known.listed.leaving || known.refused_leaving_at;
        views.push_back(std::move(view));
    }
    std::sort(views.begin(), views.end(),
              [](server_view const& left, server_view const& right)
              {
                  return left.server < right.server;
              });
    return views;
}

std::vector<job_view> dispatcher::jobs(std::size_t limit, time_point now) const
{
    std::vector<job_view> views;
    parts_->state.table.visit(
        limit,
        [&](job const& owned_job)
        {
            views.push_back({owned_job.id, owned_job.service_path,
                             owned_job.state, owned_job.tasks.size(),
                             owned_job.open_tasks, now - owned_job.arrived});
        });
    return views;
}

std::vector<logged_decision> dispatcher::explain(task_key const& task) const
{
    return parts_->state.decisions.find(task);
}

std::vector<instance_view> dispatcher::instances() const
{
    return parts_->state.members ? parts_->state.members->instances()
                                 : std::vector<instance_view>{};
}

copy_statistics dispatcher::copies() const
{
    return parts_->state.chain.statistics();
}

instance_key dispatcher::self() const
{
    return parts_->state.self();
}

settings_ptr dispatcher::settings() const
{
    return parts_->state.settings;
}

std::vector<task_key> dispatcher::running_tasks() const
{
    std::vector<task_key> running;
    parts_->state.table.visit(
        parts_->state.table.size(),
        [&](job const& owned_job)
        {
            for (std::size_t i = 0; i < owned_job.tasks.size(); ++i)
            {
                if (owned_job.tasks[i].state() == task_state::running)
                {
                    running.push_back(
                        {owned_job.id,
                         task_index{static_cast<task_index::rep>(i)}});
                }
            }
        });
    return running;
}

dispatcher_builder& dispatcher_builder::self(instance_key key)
{
    options_.self = key;
    return *this;
}

dispatcher_builder& dispatcher_builder::rack(std::string name)
{
    options_.rack = std::move(name);
    return *this;
}

dispatcher_builder& dispatcher_builder::id_lifetime(duration lifetime)
{
    options_.id_lifetime = lifetime;
    return *this;
}

dispatcher_builder& dispatcher_builder::answer_retention(duration retention)
{
    options_.answer_retention = retention;
    return *this;
}

dispatcher_builder& dispatcher_builder::copies(std::size_t count)
{
    options_.copies = count;
    return *this;
}

dispatcher_builder& dispatcher_builder::copy_wait(duration wait)
{
    options_.copy_wait = wait;
    return *this;
}

dispatcher_builder& dispatcher_builder::cancel_wait(duration wait)
{
    options_.cancel_wait = wait;
    return *this;
}

dispatcher_builder& dispatcher_builder::copy_batch_records(std::size_t count)
{
    options_.copy_batch_records = count;
    return *this;
}

void detail::inject_defects(dispatcher_builder& builder,
                            injected_defects const& defects)
{
    builder.options_.defects = defects;
}

dispatcher_builder& dispatcher_builder::decision_log_capacity(std::size_t count)
{
    options_.decision_log_capacity = count;
    return *this;
}

dispatcher dispatcher_builder::build() const
{
    return dispatcher{options_};
}

} // namespace goldcrestgate::core
