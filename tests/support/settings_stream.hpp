#pragma once

#include "goldcrestgate/core/settings/settings_log.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace goldcrestgate::test
{

// Returns a publication as a log record.
inline std::string record(std::string const& id, std::uint64_t base,
                          nlohmann::json const& set,
                          nlohmann::json const& unset = nlohmann::json::array())
{
    return nlohmann::json{{"publication", id},
                          {"base", base},
                          {"author", "test"},
                          {"set", set},
                          {"unset", unset}}
        .dump();
}

// An in-memory log stream with limited retention.
struct fake_log_stream
{
    std::vector<std::string> records;
    std::uint64_t first = 0;

    void append(std::string text)
    {
        records.push_back(std::move(text));
    }

    // Applies all available records to a reader, as the settings task does.
    void read_into(core::settings_log& reader) const
    {
        reader.on_records_expired(first);
        while (reader.next_offset() < records.size())
        {
            reader.apply(reader.next_offset(), records[reader.next_offset()]);
        }
    }
};

} // namespace goldcrestgate::test
