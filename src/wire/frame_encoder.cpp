#include "goldcrestgate/wire/frame_codec.hpp"

#include "goldcrestgate/wire/detail/envelope.hpp"

#include <set>
#include <utility>
#include <vector>

namespace goldcrestgate::wire
{

namespace
{

namespace fb = flatbuffers;
using builder = fb::FlatBufferBuilder;

/// A member of a union: its type and its offset in the buffer.
template <typename Kind>
struct encoded
{
    Kind kind;
    fb::Offset<void> offset;
};

using encoded_message = encoded<detail::Message>;
using encoded_record = encoded<detail::CopyRecord>;

detail::InstanceKey to_wire(core::instance_key const& key)
{
    auto const& [domain, instance, incarnation] = key;
    return {incarnation.value(), instance.value(), domain.value()};
}

detail::SubmissionId to_wire(core::submission_id const& id)
{
    auto const& [owner, sequence] = id;
    return {to_wire(owner), sequence};
}

detail::TaskKey to_wire(core::task_key const& key)
{
    auto const& [submission, task] = key;
    return {to_wire(submission), task.value()};
}

auto to_wire(builder& out, std::vector<core::instance_key> const& keys)
{
    std::vector<detail::InstanceKey> members;
    members.reserve(keys.size());
    for (auto const& key : keys)
    {
        members.push_back(to_wire(key));
    }
    return out.CreateVectorOfStructs(members);
}

// The structured bindings list all members of a message, so that a new member
// causes a compile error until it is encoded.

encoded_record encode(builder& out, core::job_accepted_record const& record)
{
    auto const& [submission, body_hash, task_count] = record;
    auto const id = to_wire(submission);
    return {detail::CopyRecord::JobAccepted,
            detail::CreateJobAccepted(out, &id, body_hash, task_count).Union()};
}

encoded_record encode(builder& out, core::task_starting_record const& record)
{
    auto const& [task, attempt, server] = record;
    auto const key = to_wire(task);
    return {
        detail::CopyRecord::TaskStarting,
        detail::CreateTaskStarting(out, &key, attempt, server.value()).Union()};
}

encoded_record encode(builder& out, core::task_result_record const& record)
{
    auto const& [task, fate, body] = record;
    auto const key = to_wire(task);
    auto const text = out.CreateString(body);
    return {detail::CopyRecord::TaskResult,
            detail::CreateTaskResult(out, &key, static_cast<std::uint8_t>(fate),
                                     text)
                .Union()};
}

encoded_record encode(builder& out, core::job_final_record const& record)
{
    auto const& [submission, state, error, message] = record;
    auto const id = to_wire(submission);
    auto const text = out.CreateString(message);
    return {detail::CopyRecord::JobFinal,
            detail::CreateJobFinal(out, &id, static_cast<std::uint8_t>(state),
                                   error, text)
                .Union()};
}

encoded_record encode(builder& out, core::job_forgotten_record const& record)
{
    auto const& [submission] = record;
    auto const id = to_wire(submission);
    return {detail::CopyRecord::JobForgotten,
            detail::CreateJobForgotten(out, &id).Union()};
}

encoded_message encode(builder& out, core::hello const& message)
{
    auto const& [sender, peer_address] = message;
    auto const key = to_wire(sender);
    auto const address = out.CreateString(peer_address);
    return {detail::Message::Hello,
            detail::CreateHello(out, &key, address).Union()};
}

encoded_message encode(builder& out, core::heartbeat const& message)
{
    auto const& [sender, settings, ready, open_tasks, sequence,
                 heard_sequence] = message;
    auto const key = to_wire(sender);
    return {detail::Message::Heartbeat,
            detail::CreateHeartbeat(out, &key, settings.value(), ready,
                                    open_tasks, sequence, heard_sequence)
                .Union()};
}

encoded_message encode(builder& out, core::probe_request const& message)
{
    auto const& [target, nonce] = message;
    auto const key = to_wire(target);
    return {detail::Message::ProbeRequest,
            detail::CreateProbeRequest(out, &key, nonce).Union()};
}

encoded_message encode(builder& out, core::probe_reply const& message)
{
    auto const& [target, nonce, alive] = message;
    auto const key = to_wire(target);
    return {detail::Message::ProbeReply,
            detail::CreateProbeReply(out, &key, nonce, alive).Union()};
}

encoded_message encode(builder& out, core::copy_batch const& message)
{
    auto const& [owner, chain, epoch, members, sequence, starts_catch_up,
                 catch_up_pending, records] = message;
    std::vector<detail::CopyRecord> kinds;
    std::vector<fb::Offset<void>> offsets;
    kinds.reserve(records.size());
    offsets.reserve(records.size());
    for (auto const& record : records)
    {
        auto const [kind, offset] = std::visit(
            [&out](auto const& specific)
            {
                return encode(out, specific);
            },
            record);
        kinds.push_back(kind);
        offsets.push_back(offset);
    }
    auto const key = to_wire(owner);
    auto const member_list = to_wire(out, members);
    auto const kind_list = out.CreateVector(kinds);
    auto const record_list = out.CreateVector(offsets);
    return {detail::Message::CopyBatch,
            detail::CreateCopyBatch(out, &key, chain, epoch.value(),
                                    member_list, sequence, starts_catch_up,
                                    catch_up_pending, kind_list, record_list)
                .Union()};
}

encoded_message encode(builder& out, core::copy_ack const& message)
{
    auto const& [owner, chain, epoch, sequence] = message;
    auto const key = to_wire(owner);
    return {detail::Message::CopyAck,
            detail::CreateCopyAck(out, &key, chain, epoch.value(), sequence)
                .Union()};
}

encoded_message encode(builder& out, core::copy_refused const& message)
{
    auto const& [owner, chain, epoch, sealed] = message;
    auto const key = to_wire(owner);
    return {detail::Message::CopyRefused,
            detail::CreateCopyRefused(out, &key, chain, epoch.value(), sealed)
                .Union()};
}

encoded_message encode(builder& out, core::seal_request const& message)
{
    auto const& [owner, chain, epoch, nonce] = message;
    auto const key = to_wire(owner);
    return {detail::Message::Seal,
            detail::CreateSeal(out, &key, chain, epoch.value(), nonce).Union()};
}

encoded_message encode(builder& out, core::seal_reply const& message)
{
    auto const& [owner, chain, nonce, holds_copy, epoch, members] = message;
    auto const key = to_wire(owner);
    auto const member_list = to_wire(out, members);
    return {detail::Message::SealReply,
            detail::CreateSealReply(out, &key, chain, nonce, holds_copy,
                                    epoch.value(), member_list)
                .Union()};
}

encoded_message encode(builder& out, core::forward_request const& message)
{
    auto const& [nonce, kind, submission, body, wait_ms, owner_lost] = message;
    auto const id = to_wire(submission);
    auto const text = out.CreateString(body);
    return {detail::Message::ForwardRequest,
            detail::CreateForwardRequest(out, nonce,
                                         static_cast<std::uint8_t>(kind), &id,
                                         text, wait_ms, owner_lost)
                .Union()};
}

encoded_message encode(builder& out, core::forward_reply const& message)
{
    auto const& [nonce, status, body] = message;
    auto const text = out.CreateString(body);
    return {detail::Message::ForwardReply,
            detail::CreateForwardReply(out, nonce, status, text).Union()};
}

encoded_message encode(builder& out, core::settings_pull const& message)
{
    auto const& [after] = message;
    return {detail::Message::SettingsPull,
            detail::CreateSettingsPull(out, after.value()).Union()};
}

encoded_message encode(builder& out, core::settings_push const& message)
{
    auto const& [version, snapshot] = message;
    auto const text = out.CreateString(snapshot);
    return {detail::Message::SettingsPush,
            detail::CreateSettingsPush(out, version.value(), text).Union()};
}

encoded_message encode(builder& out, core::slot_message const& message)
{
    auto const& [view, need, transfers] = message;
    auto const [waiting, held] = need.value_or(core::slot_need{});
    std::vector<detail::SlotTransfer> wire_transfers;
    wire_transfers.reserve(transfers.size());
    for (auto const& [server, count] : transfers)
    {
        wire_transfers.emplace_back(server.value(), count);
    }
    auto const list = out.CreateVectorOfStructs(wire_transfers);
    return {
        detail::Message::SlotNote,
        detail::CreateSlotNote(out, view, need.has_value(), waiting, held, list)
            .Union()};
}

fb::Offset<detail::TaskGroup> to_wire(builder& out,
                                      core::task_group const& group)
{
    auto const& [task_count, each_task, estimate, required_label,
                 preferred_rack, max_per_executor, after] = group;
    detail::Amounts const amounts{each_task.cpu_millicores, each_task.memory_mb,
                                  each_task.accelerators};
    auto const label_text = out.CreateString(required_label);
    auto const rack_text = out.CreateString(preferred_rack);
    auto const after_list = out.CreateVector(after);
    return detail::CreateTaskGroup(out, task_count, &amounts, estimate.count(),
                                   label_text, rack_text, max_per_executor,
                                   after_list);
}

std::optional<detail::MessageMark>
to_wire(std::optional<core::message_mark> const& mark)
{
    return mark ? std::optional{detail::MessageMark{mark->echo,
                                                    mark->since_echo_ms}}
                : std::nullopt;
}

encoded_message encode(builder& out, core::job_offer const& message)
{
    auto const& [job, elapsed, resumed, only_offered_here, sequence, term,
                 mark] = message;
    auto const route = out.CreateString(job.route);
    auto const service = out.CreateString(job.service);
    auto const payload = out.CreateString(job.payload);
    std::vector<fb::Offset<detail::TaskGroup>> groups;
    groups.reserve(job.groups.size());
    for (auto const& group : job.groups)
    {
        groups.push_back(to_wire(out, group));
    }
    auto const group_list = out.CreateVector(groups);
    auto const mark_value = to_wire(mark);
    return {detail::Message::JobOffer,
            detail::CreateJobOffer(
                out, job.id.value(), service, payload, group_list,
                job.max_attempts, job.priority, job.objective.count(),
                job.time_limit.count(), elapsed.count(), resumed,
                only_offered_here, sequence, term, route,
                job.origin_domain.value(), mark_value ? &*mark_value : nullptr)
                .Union()};
}

encoded_message encode(builder& out, core::job_withdrawal const& message)
{
    auto const& [job, sequence, elapsed, mark] = message;
    auto const mark_value = to_wire(mark);
    return {detail::Message::JobWithdrawal,
            detail::CreateJobWithdrawal(out, job.value(), sequence,
                                        elapsed.count(),
                                        mark_value ? &*mark_value : nullptr)
                .Union()};
}

encoded_message encode(builder& out, core::job_verdict const& message)
{
    auto const& [job, outcome, retry_after, sequence] = message;
    return {detail::Message::JobVerdict,
            detail::CreateJobVerdict(out, job.value(),
                                     static_cast<std::uint8_t>(outcome),
                                     retry_after.count(), sequence)
                .Union()};
}

auto to_wire(builder& out, std::set<core::domain_id> const& domains)
{
    std::vector<std::uint16_t> ids;
    ids.reserve(domains.size());
    for (auto const domain : domains)
    {
        ids.push_back(domain.value());
    }
    return out.CreateVector(ids);
}

encoded_message encode(builder& out, core::owner_heartbeat const& message)
{
    auto const& [term, highest_term, weight, leaving, free_millicores,
                 expected_wait, configuration_version, time_to_claim, interval,
                 successors, owner_known, yields_to, evacuated, crashes,
                 highest_token_term, clock, mark] = message;
    std::vector<std::uint32_t> successor_ids;
    successor_ids.reserve(successors.size());
    for (auto const successor : successors)
    {
        successor_ids.push_back(successor.value());
    }
    auto const successor_list = out.CreateVector(successor_ids);
    auto const domain_list = to_wire(out, evacuated.domains);
    // Heartbeats are frequent and usually have no crashes to report.
    fb::Offset<fb::Vector<fb::Offset<detail::TaskCrashes>>> crash_list;
    if (!crashes.empty())
    {
        std::vector<fb::Offset<detail::TaskCrashes>> tasks;
        tasks.reserve(crashes.size());
        for (auto const& [task, observations] : crashes)
        {
            std::vector<detail::CrashObservation> entries;
            entries.reserve(observations.size());
            for (auto const& [id, state, alone] : observations)
            {
                entries.emplace_back(id, static_cast<std::uint8_t>(state),
                                     alone);
            }
            auto const list = out.CreateVectorOfStructs(entries);
            tasks.push_back(detail::CreateTaskCrashes(
                out, task.job.value(), task.group, task.index, list));
        }
        crash_list = out.CreateVector(tasks);
    }
    auto const mark_value = to_wire(mark);
    return {detail::Message::OwnerHeartbeat,
            detail::CreateOwnerHeartbeat(
                out, term, highest_term, weight, leaving, free_millicores,
                expected_wait.count(), configuration_version,
                time_to_claim.count(), interval.count(), successor_list,
                owner_known, yields_to.value(), evacuated.version, domain_list,
                crash_list, highest_token_term, clock,
                mark_value ? &*mark_value : nullptr)
                .Union()};
}

encoded_message encode(builder& out, core::executor_speeds const& message)
{
    std::vector<fb::Offset<detail::ExecutorSpeed>> executors;
    executors.reserve(message.executors.size());
    for (auto const& [name, slowdown, samples] : message.executors)
    {
        executors.push_back(detail::CreateExecutorSpeed(
            out, out.CreateString(name), slowdown, samples));
    }
    auto const list = out.CreateVector(executors);
    std::vector<fb::Offset<detail::RouteRunTimes>> run_times;
    run_times.reserve(message.run_times.size());
    for (auto const& [route, magnitude, weights] : message.run_times)
    {
        auto const weight_list =
            out.CreateVector(weights.data(), weights.size());
        run_times.push_back(detail::CreateRouteRunTimes(
            out, out.CreateString(route), magnitude, weight_list));
    }
    auto const run_time_list = out.CreateVector(run_times);
    return {detail::Message::ExecutorSpeeds,
            detail::CreateExecutorSpeeds(out, list, run_time_list).Union()};
}

fb::Offset<detail::ExecutorDescription>
to_wire(builder& out, core::executor_description const& executor)
{
    auto const& [name, address, service, domain, capacity, labels, draining,
                 incarnation] = executor;
    detail::Amounts const amounts{capacity.cpu_millicores, capacity.memory_mb,
                                  capacity.accelerators};
    auto const name_text = out.CreateString(name);
    auto const address_text = out.CreateString(address);
    auto const service_text = out.CreateString(service);
    auto const label_list = out.CreateVectorOfStrings(labels);
    return detail::CreateExecutorDescription(
        out, name_text, address_text, service_text, domain.value(), &amounts,
        label_list, draining, incarnation);
}

encoded_message encode(builder& out, core::executor_roster const& message)
{
    auto const& [term, executors, complete] = message;
    std::vector<fb::Offset<detail::ExecutorDescription>> entries;
    entries.reserve(executors.size());
    for (auto const& executor : executors)
    {
        entries.push_back(to_wire(out, executor));
    }
    auto const list = out.CreateVector(entries);
    return {detail::Message::ExecutorRoster,
            detail::CreateExecutorRoster(out, term, list, complete).Union()};
}

encoded_message encode(builder& out, core::peer_addresses const& message)
{
    auto const& [addresses] = message;
    auto const list = out.CreateVectorOfStrings(addresses);
    return {detail::Message::PeerAddresses,
            detail::CreatePeerAddresses(out, list).Union()};
}

encoded_message encode(builder& out,
                       core::published_configuration const& message)
{
    auto const& [version, document] = message;
    auto const bytes =
        out.CreateVector(reinterpret_cast<std::uint8_t const*>(document.data()),
                         document.size());
    return {detail::Message::PublishedConfiguration,
            detail::CreatePublishedConfiguration(out, version, bytes).Union()};
}

encoded_message encode(builder& out, core::configuration_query const& message)
{
    auto const& [number, version, wants_document] = message;
    return {
        detail::Message::ConfigurationQuery,
        detail::CreateConfigurationQuery(out, number, version, wants_document)
            .Union()};
}

encoded_message encode(builder& out, core::configuration_report const& message)
{
    auto const& [number, version, age, evacuated] = message;
    auto const domain_list = to_wire(out, evacuated.domains);
    return {detail::Message::ConfigurationReport,
            detail::CreateConfigurationReport(
                out, number, version, age.has_value(),
                age.value_or(core::duration{}).count(), evacuated.version,
                domain_list)
                .Union()};
}

template <typename Integer>
void append_little_endian(std::string& out, Integer value)
{
    constexpr unsigned byte_bits = 8;
    for (std::size_t i = 0; i < sizeof value; ++i)
    {
        out.push_back(static_cast<char>(value >> (i * byte_bits)));
    }
}

} // namespace

std::variant<std::monostate, core::error>
append_frame(std::string& out, core::peer_message const& message)
{
    // Each thread reuses one builder, which keeps its buffer between frames.
    thread_local builder buffer;
    buffer.Clear();
    auto const [kind, offset] = std::visit(
        [](auto const& specific)
        {
            return encode(buffer, specific);
        },
        message);
    buffer.Finish(detail::CreateEnvelope(buffer, kind, offset));
    std::size_t const size = frame_header_bytes + buffer.GetSize();
    if (size > frame_limit_bytes)
    {
        return core::error{core::error_code::frame_too_large,
                           "write a frame",
                           {},
                           std::to_string(size) + " bytes"};
    }
    auto const length =
        static_cast<std::uint32_t>(size - sizeof(std::uint32_t));
    append_little_endian(out, length);
    append_little_endian(out, protocol_version);
    out.append(reinterpret_cast<char const*>(buffer.GetBufferPointer()),
               buffer.GetSize());
    return {};
}

} // namespace goldcrestgate::wire
