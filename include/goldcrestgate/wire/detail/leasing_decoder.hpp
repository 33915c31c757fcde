#pragma once

#include "goldcrestgate/core/messages.hpp"
#include "goldcrestgate/wire/detail/envelope.hpp"

#include <optional>

namespace goldcrestgate::wire::detail
{

// Decoders of the messages about jobs that run on leased executors. The tables
// have passed the FlatBuffers verifier; each function returns nothing if a
// value is out of range.

[[nodiscard]] std::optional<core::peer_message> decode(JobOffer const& source);
[[nodiscard]] std::optional<core::peer_message>
decode(JobWithdrawal const& source);
[[nodiscard]] std::optional<core::peer_message>
decode(JobVerdict const& source);
[[nodiscard]] std::optional<core::peer_message>
decode(OwnerHeartbeat const& source);
[[nodiscard]] std::optional<core::peer_message>
decode(ExecutorSpeeds const& source);
[[nodiscard]] std::optional<core::peer_message>
decode(ExecutorRoster const& source);
[[nodiscard]] std::optional<core::peer_message>
decode(PeerAddresses const& source);
[[nodiscard]] std::optional<core::peer_message>
decode(PublishedConfiguration const& source);
[[nodiscard]] std::optional<core::peer_message>
decode(ConfigurationQuery const& source);
[[nodiscard]] std::optional<core::peer_message>
decode(ConfigurationReport const& source);

} // namespace goldcrestgate::wire::detail
