#pragma once

#include "goldcrestgate/core/error.hpp"
#include "goldcrestgate/io/http_client.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace goldcrestgate::platform
{

/// @brief A record of a log stream.
struct log_record
{
    std::uint64_t offset = 0;
    std::string data;
};

/// @brief Consecutive records of a log stream.
struct log_page
{
    /// The offset of the oldest record that the log holds.
    std::uint64_t first = 0;
    /// The offset to read from next.
    std::uint64_t next = 0;
    std::vector<log_record> records;
};

/// @brief The log no longer holds the requested records.
struct log_expired
{
    /// The offset of the oldest record that the log holds; 0 if not given.
    std::uint64_t first = 0;
};

/// The result of a read.
using log_read_result = std::variant<log_page, log_expired, core::error>;

/// @brief The record is in the log.
struct log_appended
{
    std::uint64_t offset = 0;
};

/// @brief The record was definitely not appended.
struct log_append_failed
{
    core::error failure;
};

/// @brief The record may be in the log; no valid answer was received.
struct log_append_unknown
{
    core::error failure;
};

/// The result of an append.
using log_append_result =
    std::variant<log_appended, log_append_failed, log_append_unknown>;

/// @brief Parses the response body of a read.
/// @return the page, or an error of code `malformed_response`
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] std::variant<log_page, core::error>
parse_log_page(std::string_view body);

/// @brief A client of one stream of the platform's log service.
///
/// @par Thread safety
/// All members must be called on the thread of the event loop.
class log_client
{
public:
    /// @pre @a loop outlives the client
    /// @param timeout limit of a call; the wait of a read is added to it
    log_client(io::event_loop& loop, io::socket_address const& address,
               std::string const& stream, core::duration timeout);

    /// @brief Appends a record.
    /// @param done called once, never before this function returns
    void append(std::string record,
                std::function<void(log_append_result)> done);

    /// @brief Reads records starting at an offset.
    /// @param limit maximum number of records
    /// @param wait how long the log delays its answer while there are no
    /// records (long polling)
    /// @param done called once, never before this function returns
    void read(std::uint64_t from, std::uint32_t limit, core::duration wait,
              std::function<void(log_read_result)> done);

private:
    io::http_client client_;
    std::string path_;
    core::duration timeout_;
};

} // namespace goldcrestgate::platform
