#include "support/driver/schedule.hpp"

#include "support/driver/random.hpp"

#include <algorithm>
#include <array>
#include <istream>
#include <ostream>
#include <sstream>
#include <stdexcept>
#include <utility>

namespace goldcrestgate::test
{

namespace
{

constexpr std::array<std::string_view, 14> kind_names = {
    "submit", "resubmit", "conflict",     "query",      "cancel",
    "kill",   "pause",    "cut",          "blind",      "stale_list",
    "stop",   "leave",    "crash_server", "fail_server"};

// Faults and requests occur within this time.
constexpr std::int64_t active_ms = 9000;

std::uint32_t pick(random_source& random, std::int64_t low, std::int64_t high)
{
    return static_cast<std::uint32_t>(random.between(low, high));
}

std::uint32_t pick_flags(random_source& random)
{
    std::uint32_t flags = random.chance(500) ? repeatable : 0U;
    flags |= random.chance(40) ? poisoned : 0U;
    flags |= random.chance(150) ? disconnects_early : 0U;
    flags |= random.chance(150) ? short_deadline : 0U;
    flags |= random.chance(100) ? no_wait : 0U;
    return flags;
}

void add_callers(schedule& plan, random_source& random)
{
    std::uint32_t const total = plan.instances[0] + plan.instances[1];
    auto const jobs = pick(random, 4, 12);
    for (std::uint32_t job = 0; job < jobs; ++job)
    {
        sim_time const at =
            std::chrono::milliseconds{random.between(1000, active_ms - 1000)};
        plan.steps.push_back({at, step_kind::submit, pick(random, 1, total),
                              pick(random, 1, 6), pick_flags(random)});
        constexpr std::array follow_ups = {
            step_kind::resubmit, step_kind::resubmit, step_kind::conflict,
            step_kind::query, step_kind::cancel};
        while (random.chance(550))
        {
            auto const kind = follow_ups[pick(random, 0, 4)];
            sim_time const later =
                at + std::chrono::milliseconds{random.between(0, 3000)};
            plan.steps.push_back({later, kind, job, pick(random, 1, total), 0});
        }
    }
}

void add_fault(schedule& plan, random_source& random)
{
    std::uint32_t const total = plan.instances[0] + plan.instances[1];
    sim_time const at =
        std::chrono::milliseconds{random.between(800, active_ms)};
    auto const instance = pick(random, 1, total);
    auto const other = pick(random, 1, total);
    auto const server = pick(random, 1, 4);
    switch (random.between(0, 11))
    {
    case 0:
    case 1:
        plan.steps.push_back({at, step_kind::kill, instance,
                              random.chance(700) ? pick(random, 20, 4000) : 0U,
                              0});
        break;
    case 2:
    case 3:
        plan.steps.push_back(
            {at, step_kind::pause, instance, pick(random, 50, 5000), 0});
        break;
    case 4:
    case 5:
        plan.steps.push_back(
            {at, step_kind::cut, instance, other, pick(random, 50, 6000)});
        break;
    case 6:
        plan.steps.push_back(
            {at, step_kind::blind, instance, pick(random, 500, 8000), 0});
        break;
    case 7:
        plan.steps.push_back(
            {at, step_kind::stale_list, pick(random, 500, 6000), 0, 0});
        break;
    case 8:
        plan.steps.push_back({at, step_kind::stop, instance, 0, 0});
        break;
    case 9:
        plan.steps.push_back({at, step_kind::leave, server,
                              random.chance(600) ? pick(random, 1, 5000) : 0U,
                              0});
        break;
    case 10:
        plan.steps.push_back(
            {at, step_kind::crash_server, server, pick(random, 50, 3000), 0});
        break;
    default:
        plan.steps.push_back(
            {at, step_kind::fail_server, server, pick(random, 50, 3000), 0});
        break;
    }
}

// Cuts one instance off from all others, so that an owner can lose all members
// of its copy set at once.
void add_isolation(schedule& plan, random_source& random)
{
    std::uint32_t const total = plan.instances[0] + plan.instances[1];
    auto const isolated = pick(random, 1, total);
    sim_time const at =
        std::chrono::milliseconds{random.between(1000, active_ms - 2000)};
    auto const span = pick(random, 1000, 6000);
    for (std::uint32_t other = 1; other <= total; ++other)
    {
        if (other != isolated)
        {
            plan.steps.push_back({at, step_kind::cut, isolated, other, span});
        }
    }
}

void add_owner_loss(schedule& plan, random_source& random)
{
    plan.single_owner_loss = true;
    plan.instances[0] = std::max(plan.instances[0], 3U);
    std::uint32_t const owner = pick(random, 1, plan.instances[0]);
    for (int job = 0; job < 8; ++job)
    {
        sim_time const at =
            std::chrono::milliseconds{random.between(3000, 4900)};
        plan.steps.push_back(
            {at, step_kind::submit, owner, pick(random, 1, 6), 0});
    }
    plan.steps.push_back(
        {std::chrono::seconds{5}, step_kind::kill, owner, 0, 0});
}

sim_time at_ms(std::int64_t ms)
{
    return std::chrono::milliseconds{ms};
}

// Adds jobs of one owner with many waiting tasks, and queries for them through
// the instances of the owner's failure domain.
void add_waiting_jobs(schedule& plan, random_source& random,
                      std::uint32_t owner)
{
    auto const min_tasks = plan.long_tasks ? 3 : 30;
    auto const max_tasks = plan.long_tasks ? 6 : 60;
    auto const latest = plan.long_tasks ? 3000 : 2500;
    auto const jobs = pick(random, 2, 4);
    for (std::uint32_t job = 0; job < jobs; ++job)
    {
        plan.steps.push_back({at_ms(random.between(1500, latest)),
                              step_kind::submit, owner,
                              pick(random, min_tasks, max_tasks),
                              random.chance(200) ? repeatable : 0U});
        for (int query_number = 0; query_number < 8; ++query_number)
        {
            plan.steps.push_back({at_ms(random.between(3000, 9500)),
                                  step_kind::query, job,
                                  pick(random, 1, plan.instances[0]), 0});
        }
    }
}

// Kills the owner while a restarted instance rejoins the copy set.
void add_loss_in_set_change(schedule& plan, random_source& random,
                            std::uint32_t owner)
{
    auto const at = random.between(2500, 4500);
    auto const other = 1 + owner % plan.instances[0];
    auto const cut_after = random.between(150, 500);
    plan.steps.push_back(
        {at_ms(at), step_kind::kill, other, pick(random, 20, 100), 0});
    plan.steps.push_back(
        {at_ms(at + cut_after), step_kind::cut, owner, other, 3000});
    plan.steps.push_back({at_ms(at + cut_after + random.between(50, 900)),
                          step_kind::kill, owner, 0, 0});
}

// Adds faults that separate the owner from its copies and from the instances
// that receive queries for its jobs.
void add_sealing(schedule& plan, random_source& random)
{
    plan.long_tasks = random.chance(600);
    plan.delay =
        random.chance(plan.long_tasks ? 300 : 900) ? pick(random, 50, 300) : 0;
    auto const count = plan.instances[0];
    std::uint32_t const owner = pick(random, 1, count);
    add_waiting_jobs(plan, random, owner);
    if (!plan.long_tasks)
    {
        add_loss_in_set_change(plan, random, owner);
        return;
    }
    auto const faults = random.between(2, 7);
    for (std::int64_t fault = 0; fault < faults; ++fault)
    {
        auto const at = at_ms(random.between(2200, 6000));
        auto const other = pick(random, 1, count);
        switch (random.between(0, 7))
        {
        case 0:
        case 1:
            plan.steps.push_back({at, step_kind::pause,
                                  random.chance(700) ? owner : other,
                                  pick(random, 1500, 5000), 0});
            break;
        case 2:
            plan.steps.push_back(
                {at, step_kind::kill, other, pick(random, 20, 2000), 0});
            break;
        case 3:
            plan.steps.push_back({at, step_kind::stop, other, 0, 0});
            break;
        default:
            plan.steps.push_back(
                {at, step_kind::cut, owner, other, pick(random, 1200, 5000)});
            break;
        }
    }
}

} // namespace

schedule make_schedule(std::uint64_t seed)
{
    random_source random{seed};
    schedule plan;
    plan.seed = seed;
    plan.instances[0] = pick(random, 2, 4);
    plan.instances[1] = pick(random, 2, 3);
    if (random.chance(80))
    {
        add_owner_loss(plan, random);
    }
    else if (random.chance(500))
    {
        add_sealing(plan, random);
    }
    else
    {
        plan.loss = random.chance(400) ? pick(random, 1, 60) : 0;
        plan.duplication = random.chance(400) ? pick(random, 1, 100) : 0;
        plan.delay = random.chance(400) ? pick(random, 1, 100) : 0;
        plan.start_loss = random.chance(500) ? pick(random, 1, 100) : 0;
        plan.short_retention = random.chance(250);
        add_callers(plan, random);
        auto const faults = random.between(0, 7);
        for (std::int64_t fault = 0; fault < faults; ++fault)
        {
            add_fault(plan, random);
        }
        if (random.chance(250))
        {
            add_isolation(plan, random);
        }
    }
    std::stable_sort(plan.steps.begin(), plan.steps.end(),
                     [](schedule_step const& left, schedule_step const& right)
                     {
                         return left.at < right.at;
                     });
    return plan;
}

void write_schedule(std::ostream& out, schedule const& plan)
{
    out << "seed " << plan.seed << "\ninstances " << plan.instances[0] << ' '
        << plan.instances[1] << "\nmessages " << plan.loss << ' '
        << plan.duplication << ' ' << plan.delay << ' ' << plan.start_loss
        << "\nmodes " << plan.short_retention << ' ' << plan.single_owner_loss
        << ' ' << plan.long_tasks << '\n';
    for (auto const& step : plan.steps)
    {
        out << step.at.count() << ' '
            << kind_names[static_cast<std::size_t>(step.kind)] << ' ' << step.a
            << ' ' << step.b << ' ' << step.c << '\n';
    }
}

schedule read_schedule(std::istream& in)
{
    schedule plan;
    std::string word;
    in >> word >> plan.seed >> word >> plan.instances[0] >> plan.instances[1] >>
        word >> plan.loss >> plan.duplication >> plan.delay >>
        plan.start_loss >> word >> plan.short_retention >>
        plan.single_owner_loss >> plan.long_tasks;
    if (!in)
    {
        throw std::runtime_error{"malformed trace header"};
    }
    sim_time::rep at = 0;
    while (in >> at)
    {
        schedule_step step;
        in >> word >> step.a >> step.b >> step.c;
        auto const name = std::find(kind_names.begin(), kind_names.end(), word);
        if (!in || name == kind_names.end())
        {
            throw std::runtime_error{"malformed step in the trace"};
        }
        step.at = sim_time{at};
        step.kind = static_cast<step_kind>(name - kind_names.begin());
        plan.steps.push_back(step);
    }
    return plan;
}

} // namespace goldcrestgate::test
