#pragma once

#include "goldcrestgate/core/error.hpp"
#include "goldcrestgate/core/messages.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace goldcrestgate::wire
{

/// Protocol version; both sides of a connection must use the same one.
inline constexpr std::uint16_t protocol_version = 1;

/// Size of the header of a frame, which precedes an envelope. The header is a
/// length (4 bytes) that counts all bytes after the length field, and the
/// protocol version (2 bytes), both little-endian.
inline constexpr std::size_t frame_header_bytes = 6;

/// Maximum size of a frame, including the header. It leaves room for the
/// largest body that callers.body_limit_bytes allows, so that any job can be
/// forwarded.
inline constexpr std::size_t frame_limit_bytes = std::size_t{16} * 1024 * 1024;

/// @brief Encodes a message and appends it to @a out as a frame.
/// @return nothing, or an error of code `frame_too_large`; @a out is then
/// unchanged
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::variant<std::monostate, core::error>
append_frame(std::string& out, core::peer_message const& message);

/// @brief The bytes do not contain a complete frame yet.
struct frame_incomplete
{
};

/// @brief A message and the number of bytes of its frame.
struct frame_decoded
{
    core::peer_message message;
    std::size_t consumed = 0;
};

/// The result of decoding the frame at the start of the bytes.
using frame_result = std::variant<frame_incomplete, frame_decoded, core::error>;

/// @brief Decodes the frame at the start of untrusted bytes.
/// @param limit maximum size of the frame
/// @pre @a limit is at most @ref frame_limit_bytes
///
/// The header is checked as soon as it is complete, so that a length over the
/// limit or another protocol version is rejected before the rest arrives. All
/// offsets, sizes and enumerations of the envelope are checked. Texts must be
/// UTF-8, which is not checked in executor rosters, executor speeds, peer
/// addresses and published configurations.
/// @return an error of code `malformed_frame`, `frame_too_large` or
/// `peer_version_mismatch`, after which the start of the next frame is unknown
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] frame_result read_frame(std::string_view bytes,
                                      std::size_t limit = frame_limit_bytes);

} // namespace goldcrestgate::wire
