#include "goldcrestgate/wire/frame_codec.hpp"

#include "goldcrestgate/core/submission/answer.hpp"
#include "goldcrestgate/wire/detail/leasing_decoder.hpp"

#include <cstring>
#include <optional>
#include <utility>
#include <vector>

namespace goldcrestgate::wire
{

namespace
{

namespace fb = flatbuffers;

core::instance_key from_wire(detail::InstanceKey const& key)
{
    return {core::domain_id{key.domain()}, core::instance_id{key.instance()},
            core::incarnation{key.incarnation()}};
}

core::submission_id from_wire(detail::SubmissionId const& id)
{
    return {from_wire(id.owner()), id.sequence()};
}

core::task_key from_wire(detail::TaskKey const& key)
{
    return {from_wire(key.submission()), core::task_index{key.task()}};
}

/// Copies an element, because the verifier does not check the alignment of
/// structs in vectors and a peer could place them at any address.
template <typename Struct>
Struct copy_element(fb::Vector<Struct const*> const& elements,
                    fb::uoffset_t index)
{
    Struct element;
    std::memcpy(&element, elements.Data() + index * sizeof(Struct),
                sizeof(Struct));
    return element;
}

std::vector<core::instance_key>
from_wire(fb::Vector<detail::InstanceKey const*> const& keys)
{
    std::vector<core::instance_key> members;
    members.reserve(keys.size());
    for (fb::uoffset_t i = 0; i < keys.size(); ++i)
    {
        members.push_back(from_wire(copy_element(keys, i)));
    }
    return members;
}

/// Reads a text, which must be UTF-8 because callers receive it as JSON.
/// Returns whether it is.
bool read_text(fb::String const& source, std::string& target)
{
    target.assign(source.data(), source.size());
    return core::is_utf8(target);
}

/// Reads an enumerator; returns whether it is in the range from 0 to @a last.
template <typename Enum>
bool read_enum(std::uint8_t source, Enum last, Enum& target)
{
    target = static_cast<Enum>(source);
    return source <= static_cast<std::uint8_t>(last);
}

// Each function returns nothing if a value is valid in the schema but out of
// range for the message.

using decoded_record = std::optional<core::copy_record>;

decoded_record decode(detail::JobAccepted const& source)
{
    return core::job_accepted_record{from_wire(*source.submission()),
                                     source.body_hash(), source.task_count()};
}

decoded_record decode(detail::TaskStarting const& source)
{
    return core::task_starting_record{from_wire(*source.task()),
                                      source.attempt(),
                                      core::server_id{source.server()}};
}

decoded_record decode(detail::TaskResult const& source)
{
    core::task_result_record record;
    record.task = from_wire(*source.task());
    if (!read_enum(source.fate(), core::task_fate::unknown, record.fate) ||
        !read_text(*source.body(), record.body))
    {
        return std::nullopt;
    }
    return record;
}

decoded_record decode(detail::JobFinal const& source)
{
    core::job_final_record record;
    record.submission = from_wire(*source.submission());
    record.error = source.error();
    if (!read_enum(source.state(), core::job_state::unknown, record.state) ||
        !read_text(*source.message(), record.message))
    {
        return std::nullopt;
    }
    return record;
}

decoded_record decode(detail::JobForgotten const& source)
{
    return core::job_forgotten_record{from_wire(*source.submission())};
}

decoded_record decode_record(detail::CopyRecord kind, void const* source)
{
    switch (kind)
    {
    case detail::CopyRecord::JobAccepted:
        return decode(*static_cast<detail::JobAccepted const*>(source));
    case detail::CopyRecord::TaskStarting:
        return decode(*static_cast<detail::TaskStarting const*>(source));
    case detail::CopyRecord::TaskResult:
        return decode(*static_cast<detail::TaskResult const*>(source));
    case detail::CopyRecord::JobFinal:
        return decode(*static_cast<detail::JobFinal const*>(source));
    case detail::CopyRecord::JobForgotten:
        return decode(*static_cast<detail::JobForgotten const*>(source));
    default:
        return std::nullopt;
    }
}

using decoded_message = std::optional<core::peer_message>;

decoded_message decode(detail::Hello const& source)
{
    core::hello message;
    message.sender = from_wire(*source.sender());
    return read_text(*source.peer_address(), message.peer_address)
               ? decoded_message{std::move(message)}
               : std::nullopt;
}

decoded_message decode(detail::Heartbeat const& source)
{
    core::heartbeat message;
    message.sender = from_wire(*source.sender());
    message.settings = core::settings_version{source.settings()};
    message.ready = source.ready();
    message.open_tasks = source.open_tasks();
    message.sequence = source.sequence();
    message.heard_sequence = source.heard_sequence();
    return message;
}

decoded_message decode(detail::ProbeRequest const& source)
{
    return core::probe_request{from_wire(*source.target()), source.nonce()};
}

decoded_message decode(detail::ProbeReply const& source)
{
    return core::probe_reply{from_wire(*source.target()), source.nonce(),
                             source.alive()};
}

decoded_message decode(detail::CopyBatch const& source)
{
    core::copy_batch message;
    message.owner = from_wire(*source.owner());
    message.chain = source.chain();
    message.epoch = core::copy_epoch{source.epoch()};
    message.members = from_wire(*source.members());
    message.sequence = source.sequence();
    message.starts_catch_up = source.starts_catch_up();
    message.catch_up_pending = source.catch_up_pending();
    auto const& kinds = *source.records_type();
    auto const& records = *source.records();
    message.records.reserve(records.size());
    for (fb::uoffset_t i = 0; i < records.size(); ++i)
    {
        auto record = decode_record(kinds.GetEnum<detail::CopyRecord>(i),
                                    records.GetAs<void>(i));
        if (!record)
        {
            return std::nullopt;
        }
        message.records.push_back(std::move(*record));
    }
    return message;
}

decoded_message decode(detail::CopyAck const& source)
{
    return core::copy_ack{from_wire(*source.owner()), source.chain(),
                          core::copy_epoch{source.epoch()}, source.sequence()};
}

decoded_message decode(detail::CopyRefused const& source)
{
    return core::copy_refused{from_wire(*source.owner()), source.chain(),
                              core::copy_epoch{source.epoch()},
                              source.sealed()};
}

decoded_message decode(detail::Seal const& source)
{
    return core::seal_request{from_wire(*source.owner()), source.chain(),
                              core::copy_epoch{source.epoch()}, source.nonce()};
}

decoded_message decode(detail::SealReply const& source)
{
    return core::seal_reply{from_wire(*source.owner()),
                            source.chain(),
                            source.nonce(),
                            source.holds_copy(),
                            core::copy_epoch{source.epoch()},
                            from_wire(*source.members())};
}

decoded_message decode(detail::ForwardRequest const& source)
{
    core::forward_request message;
    message.nonce = source.nonce();
    message.submission = from_wire(*source.submission());
    message.wait_ms = source.wait_ms();
    message.owner_lost = source.owner_lost();
    if (!read_enum(source.kind(), core::forward_kind::cancel, message.kind) ||
        !read_text(*source.body(), message.body))
    {
        return std::nullopt;
    }
    return message;
}

decoded_message decode(detail::ForwardReply const& source)
{
    core::forward_reply message;
    message.nonce = source.nonce();
    message.status = source.status();
    return read_text(*source.body(), message.body)
               ? decoded_message{std::move(message)}
               : std::nullopt;
}

decoded_message decode(detail::SettingsPull const& source)
{
    return core::settings_pull{core::settings_version{source.after()}};
}

decoded_message decode(detail::SettingsPush const& source)
{
    core::settings_push message;
    message.version = core::settings_version{source.version()};
    return read_text(*source.snapshot(), message.snapshot)
               ? decoded_message{std::move(message)}
               : std::nullopt;
}

decoded_message decode(detail::SlotNote const& source)
{
    core::slot_message message;
    message.view = source.view();
    if (source.has_need())
    {
        message.need = core::slot_need{source.waiting(), source.held()};
    }
    message.transfers.reserve(source.transfers()->size());
    for (auto const* const transfer : *source.transfers())
    {
        message.transfers.push_back(
            {core::server_id{transfer->server()}, transfer->count()});
    }
    return message;
}

decoded_message decode_message(detail::Envelope const& envelope)
{
    switch (envelope.message_type())
    {
    case detail::Message::Hello:
        return decode(*envelope.message_as_Hello());
    case detail::Message::Heartbeat:
        return decode(*envelope.message_as_Heartbeat());
    case detail::Message::ProbeRequest:
        return decode(*envelope.message_as_ProbeRequest());
    case detail::Message::ProbeReply:
        return decode(*envelope.message_as_ProbeReply());
    case detail::Message::CopyBatch:
        return decode(*envelope.message_as_CopyBatch());
    case detail::Message::CopyAck:
        return decode(*envelope.message_as_CopyAck());
    case detail::Message::CopyRefused:
        return decode(*envelope.message_as_CopyRefused());
    case detail::Message::Seal:
        return decode(*envelope.message_as_Seal());
    case detail::Message::SealReply:
        return decode(*envelope.message_as_SealReply());
    case detail::Message::ForwardRequest:
        return decode(*envelope.message_as_ForwardRequest());
    case detail::Message::ForwardReply:
        return decode(*envelope.message_as_ForwardReply());
    case detail::Message::SettingsPull:
        return decode(*envelope.message_as_SettingsPull());
    case detail::Message::SettingsPush:
        return decode(*envelope.message_as_SettingsPush());
    case detail::Message::SlotNote:
        return decode(*envelope.message_as_SlotNote());
    case detail::Message::JobOffer:
        return decode(*envelope.message_as_JobOffer());
    case detail::Message::JobWithdrawal:
        return decode(*envelope.message_as_JobWithdrawal());
    case detail::Message::JobVerdict:
        return decode(*envelope.message_as_JobVerdict());
    case detail::Message::OwnerHeartbeat:
        return decode(*envelope.message_as_OwnerHeartbeat());
    case detail::Message::ExecutorSpeeds:
        return decode(*envelope.message_as_ExecutorSpeeds());
    case detail::Message::ExecutorRoster:
        return decode(*envelope.message_as_ExecutorRoster());
    case detail::Message::PeerAddresses:
        return decode(*envelope.message_as_PeerAddresses());
    case detail::Message::ConfigurationQuery:
        return decode(*envelope.message_as_ConfigurationQuery());
    case detail::Message::ConfigurationReport:
        return decode(*envelope.message_as_ConfigurationReport());
    case detail::Message::PublishedConfiguration:
        return decode(*envelope.message_as_PublishedConfiguration());
    default:
        return std::nullopt;
    }
}

/// Verifies the structure of the buffer and decodes its message; returns
/// nothing if either fails.
decoded_message decode_envelope(std::string_view bytes)
{
    // FlatBuffers reads numbers in place, so the buffer must be aligned.
    std::vector<std::uint64_t> aligned(bytes.size() / sizeof(std::uint64_t) +
                                       1);
    std::memcpy(aligned.data(), bytes.data(), bytes.size());
    auto const* const data =
        reinterpret_cast<std::uint8_t const*>(aligned.data());
    // table_limit is large because each record of a batch is a table.
    constexpr fb::uoffset_t depth_limit = 8;
    constexpr fb::uoffset_t table_limit = 1'000'000;
    fb::Verifier verifier{data, bytes.size(), depth_limit, table_limit};
    if (!detail::VerifyEnvelopeBuffer(verifier))
    {
        return std::nullopt;
    }
    return decode_message(*detail::GetEnvelope(data));
}

template <typename Integer>
Integer read_little_endian(std::string_view bytes)
{
    constexpr unsigned byte_bits = 8;
    Integer value = 0;
    for (std::size_t i = 0; i < sizeof value; ++i)
    {
        Integer const byte = static_cast<unsigned char>(bytes[i]);
        value = static_cast<Integer>(value | (byte << (i * byte_bits)));
    }
    return value;
}

core::error make_error(core::error_code code, std::string message)
{
    return {code, "read a frame", {}, std::move(message)};
}

} // namespace

frame_result read_frame(std::string_view bytes, std::size_t limit)
{
    constexpr std::size_t length_bytes = sizeof(std::uint32_t);
    constexpr std::size_t version_bytes = sizeof(std::uint16_t);
    if (bytes.size() < frame_header_bytes)
    {
        return frame_incomplete{};
    }
    auto const length = read_little_endian<std::uint32_t>(bytes);
    auto const version =
        read_little_endian<std::uint16_t>(bytes.substr(length_bytes));
    if (version != protocol_version)
    {
        return make_error(core::error_code::peer_version_mismatch,
                          "protocol version " + std::to_string(version) +
                              " in place of " +
                              std::to_string(protocol_version));
    }
    std::size_t const size = length + length_bytes;
    if (size > limit)
    {
        return make_error(core::error_code::frame_too_large,
                          std::to_string(size) + " bytes");
    }
    if (length < version_bytes)
    {
        return make_error(
            core::error_code::malformed_frame,
            "the length is too short to include the protocol version");
    }
    if (bytes.size() < size)
    {
        return frame_incomplete{};
    }
    auto message = decode_envelope(
        bytes.substr(frame_header_bytes, size - frame_header_bytes));
    if (!message)
    {
        return make_error(core::error_code::malformed_frame,
                          "the envelope has another form");
    }
    return frame_decoded{std::move(*message), size};
}

} // namespace goldcrestgate::wire
