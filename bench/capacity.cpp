#include "goldcrestgate/core/dispatcher.hpp"
#include "goldcrestgate/core/membership/membership.hpp"
#include "goldcrestgate/core/recovery/copy_store.hpp"
#include "goldcrestgate/core/routing/router.hpp"
#include "goldcrestgate/core/settings/settings_log.hpp"
#include "goldcrestgate/core/settings/settings_resolver.hpp"
#include "goldcrestgate/wire/frame_codec.hpp"

#include <malloc.h>

#include <chrono>
#include <cstdint>
#include <iomanip>
#include <iostream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

// Measures the marginal costs that docs/CAPACITY.md is calculated from: bytes
// of memory, bytes of frames and processor time for each additional unit.
// Processor time is measured as the elapsed time of a single thread.

namespace
{

using namespace goldcrestgate;
using namespace std::chrono_literals;
using core::time_point;

constexpr core::instance_key self{core::domain_id{1}, core::instance_id{1},
                                  core::incarnation{0x1a23f8c4ccaab2a9}};

double allocated_bytes()
{
    return static_cast<double>(::mallinfo2().uordblks);
}

void print(std::string_view label, double value, std::string_view unit)
{
    std::cout << std::left << std::setw(44) << label << std::right
              << std::setw(12) << std::fixed << std::setprecision(2) << value
              << ' ' << unit << '\n';
}

double frame_bytes(core::peer_message const& message)
{
    std::string frame;
    static_cast<void>(wire::append_frame(frame, message));
    return static_cast<double>(frame.size());
}

/// Returns the mean elapsed time of a call of @a work in microseconds; its
/// argument is the number of the call, from 0.
template <typename Work>
double mean_call_time(std::uint32_t repetitions, Work work)
{
    auto const begin = std::chrono::steady_clock::now();
    for (std::uint32_t i = 0; i < repetitions; ++i)
    {
        work(i);
    }
    std::chrono::duration<double, std::micro> const elapsed =
        std::chrono::steady_clock::now() - begin;
    return elapsed.count() / repetitions;
}

core::listed_instance make_listed_instance(std::uint32_t id,
                                           std::uint16_t domain)
{
    core::listed_instance entry;
    entry.id = id;
    entry.domain = core::domain_id{domain};
    entry.rack = "r1";
    entry.address = "10.0.0.1:8080";
    entry.peer_address = "10.0.0.1:8081";
    return entry;
}

core::heartbeat make_heartbeat(std::uint32_t id)
{
    core::heartbeat beat;
    beat.sender = {self.domain, core::instance_id{id}, self.incarnation};
    beat.settings = core::settings_version{4200};
    beat.ready = true;
    beat.open_tasks = 500;
    return beat;
}

void measure_frames()
{
    core::copy_batch empty;
    empty.owner = self;
    empty.members = {self, self};
    print("heartbeat frame", frame_bytes(make_heartbeat(2)), "bytes");
    print("probe request frame", frame_bytes(core::probe_request{self, 1}),
          "bytes");
    print("copy batch frame without records", frame_bytes(empty), "bytes");
    print("copy acknowledgement frame",
          frame_bytes(core::copy_ack{self, 1, {}, 1}), "bytes");
    print("slot message frame, need only",
          frame_bytes(core::slot_message{1, core::slot_need{1, 1}, {}}),
          "bytes");
    std::string frame;
    print("heartbeat encoded and decoded",
          mean_call_time(200'000,
                         [&frame](std::uint32_t i)
                         {
                             frame.clear();
                             static_cast<void>(
                                 wire::append_frame(frame, make_heartbeat(i)));
                             static_cast<void>(wire::read_frame(frame));
                         }),
          "us");
}

void measure_membership()
{
    constexpr std::uint32_t peers = 200;
    std::vector<core::listed_instance> list;
    for (std::uint32_t id = 2; id < peers + 2; ++id)
    {
        list.push_back(make_listed_instance(id, self.domain.value()));
    }
    double const before = allocated_bytes();
    auto members = core::membership_builder{}.self(self).build(time_point{});
    std::vector<core::action> out;
    members.update_list(list, time_point{}, out);
    time_point now{1s};
    for (std::uint32_t id = 2; id < peers + 2; ++id)
    {
        members.connected(make_heartbeat(id).sender, now);
    }
    out = {};
    print("membership, for each instance", (allocated_bytes() - before) / peers,
          "bytes");
    print("heartbeat handled",
          mean_call_time(200'000,
                         [&](std::uint32_t i)
                         {
                             auto const beat = make_heartbeat(2 + i % peers);
                             members.handle(beat.sender, beat, now);
                         }),
          "us");
    print("heartbeat round, for each instance",
          mean_call_time(1000,
                         [&](std::uint32_t)
                         {
                             now += 250ms;
                             out.clear();
                             members.advance(now, {}, out);
                         }) /
              peers,
          "us");
}

core::settings_ptr make_settings(std::uint32_t services)
{
    auto view = std::make_shared<core::settings_view>();
    for (std::uint32_t i = 0; i < services; ++i)
    {
        view->service_ids.emplace("s" + std::to_string(i), core::service_id{i});
        view->services.emplace_back();
    }
    view->team_ids.emplace("t", core::team_id{0});
    view->teams.emplace_back();
    return view;
}

double router_bytes(std::uint32_t servers, std::uint32_t services)
{
    auto const settings = make_settings(services);
    double const before = allocated_bytes();
    core::router router;
    router.set_settings(settings);
    for (std::uint32_t id = 0; id < servers; ++id)
    {
        router.add_server(core::server_id{id}, 8);
    }
    time_point now{1s};
    for (std::uint32_t i = 0; i < servers * services; ++i)
    {
        now += 1ms;
        core::task_demand demand;
        demand.service = core::service_id{i % services};
        demand.declared_run_time = 100ms;
        auto const placed = router.place(demand, now);
        if (auto const* chosen = std::get_if<core::placement>(&placed))
        {
            router.task_started(chosen->server, demand.service, 100ms, now);
            router.task_ended(chosen->server, demand.service, 100ms,
                              core::task_outcome::succeeded, 100ms, 1, now);
        }
    }
    return allocated_bytes() - before;
}

void measure_router()
{
    double const few_servers = router_bytes(50, 1);
    double const many_servers = router_bytes(677, 1);
    double const many_services = router_bytes(677, 21);
    print("routing, for each server", (many_servers - few_servers) / 627,
          "bytes");
    print("routing, for each server and service",
          (many_services - many_servers) / (20 * 677), "bytes");
}

std::string make_publication(std::uint32_t number, std::string const& path)
{
    return R"({"publication":"p-)" + std::to_string(number) + R"(","base":)" +
           std::to_string(number) + R"(,"author":"operator","set":{")" + path +
           R"(":)" + std::to_string(1000 + number) + R"(},"unset":[]})";
}

void measure_settings()
{
    constexpr std::uint32_t services = 200;
    constexpr std::uint32_t changes = 4200;
    double const before = allocated_bytes();
    core::settings_log log;
    for (std::uint32_t i = 0; i < services; ++i)
    {
        log.apply(i, make_publication(i, "services.root.s" + std::to_string(i) +
                                             ".attempt_timeout_ms"));
    }
    double const after_creation = allocated_bytes();
    print("settings, for each service with one key",
          (after_creation - before) / services, "bytes");
    double const applied = mean_call_time(
        changes,
        [&](std::uint32_t i)
        {
            auto const offset = services + i;
            log.apply(offset, make_publication(
                                  offset, "services.root.s" +
                                              std::to_string(i % services) +
                                              ".attempt_timeout_ms"));
        });
    print("settings record applied", applied, "us");
    print("settings, for each remembered change",
          (allocated_bytes() - after_creation) / changes, "bytes");
    core::settings_resolver resolver;
    print("settings resolved, 200 services",
          mean_call_time(100,
                         [&](std::uint32_t)
                         {
                             static_cast<void>(
                                 resolver.resolve(log.tree(), log.version()));
                         }),
          "us");
    print("settings snapshot, 200 services, a day",
          static_cast<double>(log.snapshot().size()), "bytes");
}

void measure_copies()
{
    constexpr std::uint32_t jobs = 2000;
    constexpr std::uint32_t tasks = 20;
    auto store = core::copy_store_builder{}.self(self).build();
    core::instance_key const owner{self.domain, core::instance_id{2},
                                   self.incarnation};
    std::vector<core::action> out;
    double const before = allocated_bytes();
    for (std::uint32_t number = 0; number < jobs; ++number)
    {
        core::submission_id const id{owner, number};
        core::copy_batch batch;
        batch.owner = owner;
        batch.members = {self};
        batch.epoch = core::copy_epoch{1};
        batch.sequence = number + 1;
        batch.starts_catch_up = number == 0;
        batch.records.emplace_back(core::job_accepted_record{id, 1, tasks});
        for (std::uint16_t index = 0; index < tasks; ++index)
        {
            batch.records.emplace_back(
                core::task_result_record{{id, core::task_index{index}},
                                         core::task_fate::done,
                                         std::string(100, 'r')});
        }
        store.handle(owner, batch, time_point{1s}, out);
        out.clear();
    }
    out = {};
    print("copy of a task with 100 bytes of result",
          (allocated_bytes() - before) / (jobs * tasks), "bytes");
}

} // namespace

int main()
{
    measure_frames();
    measure_membership();
    measure_router();
    measure_settings();
    measure_copies();
    return 0;
}
