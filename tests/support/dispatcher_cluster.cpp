#include "support/dispatcher_cluster.hpp"

#include <algorithm>
#include <utility>

namespace goldcrestgate::test
{

namespace
{

constexpr duration link_delay = 1ms;
constexpr duration connect_interval = 100ms;

job_request make_numbered_job(std::size_t tasks, bool repeatable)
{
    std::string body = R"({"service":"desk.check","team":"inspection",)";
    body += repeatable ? R"("repeatable":true,"tasks":[)"
                       : R"("repeatable":false,"tasks":[)";
    for (std::size_t i = 0; i < tasks; ++i)
    {
        body += i == 0 ? "" : ",";
        body += R"({"payload":")" + std::to_string(i) + R"("})";
    }
    body += "]}";
    return std::get<job_request>(parse_job_body(body));
}

} // namespace

dispatcher_cluster::dispatcher_cluster(
    std::vector<std::uint16_t> const& domains, service_policy const& policy,
    std::uint32_t slots)
    : policy_(policy)
    , slots_(slots)
    , nodes_(domains.size())
{
    for (std::size_t i = 0; i < domains.size(); ++i)
    {
        nodes_[i].key = {domain_id{domains[i]},
                         instance_id{static_cast<std::uint32_t>(i)},
                         incarnation{}};
    }
    for (std::size_t i = 0; i < nodes_.size(); ++i)
    {
        start(i);
    }
    run(2s);
}

submission_id dispatcher_cluster::mint(std::size_t at)
{
    request_id const request{++requests_};
    handle(at, mint_ids{request, 1});
    std::string const& body = answers_.at(request).body;
    std::size_t const begin = body.find("g1-");
    return *parse_submission_id(
        body.substr(begin, body.find('"', begin) - begin));
}

request_id dispatcher_cluster::submit(std::size_t at, submission_id const& id,
                                      std::size_t tasks, bool repeatable)
{
    request_id const request{++requests_};
    handle(at,
           submit_job{request, id, make_numbered_job(tasks, repeatable), 10s});
    return request;
}

request_id dispatcher_cluster::query(std::size_t at, submission_id const& id,
                                     duration wait)
{
    request_id const request{++requests_};
    handle(at, query_job{request, id, wait});
    return request;
}

request_id dispatcher_cluster::cancel(std::size_t at, submission_id const& id)
{
    request_id const request{++requests_};
    handle(at, cancel_job{request, id});
    return request;
}

void dispatcher_cluster::kill(std::size_t index)
{
    nodes_[index].core.reset();
    nodes_[index].is_paused = false;
    nodes_[index].backlog.clear();
    for (std::size_t other = 0; other < nodes_.size(); ++other)
    {
        drop_link(index, other);
    }
}

void dispatcher_cluster::restart(std::size_t index)
{
    start(index);
}

void dispatcher_cluster::pause(std::size_t index)
{
    nodes_[index].is_paused = true;
}

void dispatcher_cluster::resume(std::size_t index)
{
    nodes_[index].is_paused = false;
    std::vector<event> backlog = std::move(nodes_[index].backlog);
    nodes_[index].backlog.clear();
    for (event& input : backlog)
    {
        handle(index, std::move(input));
    }
}

void dispatcher_cluster::cut(std::size_t left, std::size_t right, bool is_cut)
{
    auto const pair = std::minmax(left, right);
    if (!is_cut)
    {
        cuts_.erase(pair);
        return;
    }
    cuts_.insert(pair);
    drop_link(left, right);
}

void dispatcher_cluster::stop(std::size_t index)
{
    handle(index, begin_stop{});
}

void dispatcher_cluster::run(duration span)
{
    time_point const end = now_ + span;
    while (auto const next = next_time())
    {
        if (*next > end)
        {
            break;
        }
        now_ = std::max(now_, *next);
        if (now_ >= next_link_update_)
        {
            update_links();
            next_link_update_ = now_ + connect_interval;
        }
        while (!deliveries_.empty() && deliveries_.begin()->first <= now_)
        {
            delivery const due = std::move(deliveries_.begin()->second);
            deliveries_.erase(deliveries_.begin());
            if (nodes_[due.to].core && nodes_[due.to].key == due.receiver)
            {
                handle(due.to, due.input);
            }
        }
        for (std::size_t i = 0; i < nodes_.size(); ++i)
        {
            auto const due =
                is_running(i) ? nodes_[i].core->next_deadline() : std::nullopt;
            if (due && *due <= now_)
            {
                handle(i, tick{});
            }
        }
    }
    now_ = end;
}

std::optional<dispatcher_cluster::answer>
dispatcher_cluster::find(request_id request) const
{
    auto const found = answers_.find(request);
    return found == answers_.end() ? std::nullopt
                                   : std::optional{found->second};
}

std::size_t dispatcher_cluster::starts(task_key const& task) const
{
    auto const found = starts_.find(task);
    return found == starts_.end() ? 0 : found->second;
}

bool dispatcher_cluster::has_stopped(std::size_t index) const
{
    return nodes_[index].has_stopped;
}

void dispatcher_cluster::start(std::size_t index)
{
    node& started = nodes_[index];
    started.key.incarnation = incarnation{++incarnations_ << 16U};
    started.has_stopped = false;
    started.core = dispatcher_builder{}
                       .self(started.key)
                       .rack("r" + std::to_string(index))
                       .build();
    handle(index, settings_changed{make_settings(policy_)});
    instance_list list;
    for (node const& listed : nodes_)
    {
        listed_instance entry;
        entry.id = listed.key.instance.value();
        entry.domain = listed.key.domain;
        entry.rack = "r" + std::to_string(entry.id);
        entry.peer_address =
            "127.0.0.1:" + std::to_string(9100 + listed.key.instance.value());
        list.entries.push_back(entry);
    }
    listed_instance server;
    server.kind = listed_kind::backend_server;
    server.id = 1;
    server.domain = started.key.domain;
    server.slots = slots_;
    list.entries.push_back(server);
    handle(index, list);
}

void dispatcher_cluster::handle(std::size_t index, event input)
{
    node& receiver = nodes_[index];
    if (!receiver.core)
    {
        return;
    }
    if (receiver.is_paused)
    {
        receiver.backlog.push_back(std::move(input));
        return;
    }
    std::vector<action> actions;
    receiver.core->handle(std::move(input), now_, actions);
    apply(index, actions);
}

void dispatcher_cluster::apply(std::size_t index, std::vector<action>& actions)
{
    for (action& requested : actions)
    {
        perform(index, requested);
    }
}

void dispatcher_cluster::perform(std::size_t index, action& requested)
{
    if (auto* const answered = std::get_if<answer_caller>(&requested))
    {
        answers_[answered->request] = {answered->status,
                                       std::move(answered->body), now_};
    }
    else if (auto const* const started = std::get_if<start_task>(&requested))
    {
        begin_task(index, *started);
    }
    else if (auto* const message = std::get_if<send_to_peer>(&requested))
    {
        send(index, *message);
    }
    else if (auto const* const peer = std::get_if<connect_peer>(&requested))
    {
        links_[{index, peer->peer.value()}].is_wanted = true;
    }
    else if (std::holds_alternative<stopped>(requested))
    {
        nodes_[index].has_stopped = true;
    }
}

void dispatcher_cluster::begin_task(std::size_t index,
                                    start_task const& started)
{
    ++starts_[started.task];
    attempt_ended ended;
    ended.task = started.task;
    ended.attempt = started.attempt;
    ended.server = started.server;
    ended.outcome = task_outcome::succeeded;
    ended.body = "result " + started.payload;
    ended.work_time = run_time_;
    schedule(now_ + run_time_, index, ended);
}

void dispatcher_cluster::send(std::size_t from, send_to_peer& message)
{
    std::size_t const to = message.peer.value();
    bool const is_up = links_[{from, to}].is_up;
    if (is_up)
    {
        schedule(now_ + link_delay, to,
                 peer_received{nodes_[from].key, std::move(message.message)});
    }
}

void dispatcher_cluster::update_links()
{
    for (auto& [pair, state] : links_)
    {
        auto const [from, to] = pair;
        bool const is_cut = cuts_.contains(std::minmax(from, to));
        if (!state.is_wanted || state.is_up || !nodes_[from].core || is_cut)
        {
            continue;
        }
        if (nodes_[to].core)
        {
            state.is_up = true;
            schedule(now_ + link_delay, from, peer_connected{nodes_[to].key});
            continue;
        }
        schedule(now_ + link_delay, from,
                 peer_lost{nodes_[to].key.instance, true});
    }
}

void dispatcher_cluster::drop_link(std::size_t left, std::size_t right)
{
    for (auto const& [from, to] :
         {std::pair{left, right}, std::pair{right, left}})
    {
        auto const found = links_.find({from, to});
        if (found != links_.end() && found->second.is_up)
        {
            found->second.is_up = false;
            schedule(now_ + link_delay, from,
                     peer_lost{nodes_[to].key.instance, false});
        }
    }
}

void dispatcher_cluster::schedule(time_point at, std::size_t to, event input)
{
    deliveries_.emplace(at, delivery{to, nodes_[to].key, std::move(input)});
}

bool dispatcher_cluster::is_running(std::size_t index) const
{
    return nodes_[index].core && !nodes_[index].is_paused;
}

std::optional<time_point> dispatcher_cluster::next_time() const
{
    time_point earliest = next_link_update_;
    if (!deliveries_.empty())
    {
        earliest = std::min(earliest, deliveries_.begin()->first);
    }
    for (std::size_t i = 0; i < nodes_.size(); ++i)
    {
        auto const due =
            is_running(i) ? nodes_[i].core->next_deadline() : std::nullopt;
        earliest = due ? std::min(earliest, *due) : earliest;
    }
    return earliest;
}

} // namespace goldcrestgate::test
