#include "goldcrestgate/app/log.hpp"

#include "goldcrestgate/core/submission/answer.hpp"

#include <easylogging++.h>

#include <array>
#include <ctime>
#include <utility>

namespace goldcrestgate::app
{

namespace
{

std::string_view level_name(log_level level)
{
    switch (level)
    {
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        return "error";
    }
    return "error";
}

std::string format_time(std::chrono::system_clock::time_point at)
{
    auto const since = at.time_since_epoch();
    auto const seconds = std::chrono::floor<std::chrono::seconds>(since);
    auto const subsecond =
        std::chrono::floor<std::chrono::milliseconds>(since - seconds);
    std::time_t const time = seconds.count();
    std::tm parts{};
    gmtime_r(&time, &parts);
    std::array<char, 32> text{};
    std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    auto const fraction = std::to_string(1000 + subsecond.count()).substr(1);
    return std::string{text.data()} + "." + fraction + "Z";
}

/// Makes the log library write lines without a prefix, since each line is
/// complete JSON.
void configure_library()
{
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::Format, "%msg");
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    el::Loggers::reconfigureAllLoggers(configuration);
}

} // namespace

log_line::log_line(log_level level, std::string_view event)
    : level_(level)
{
    fields_.reserve(256);
    text("event", event);
}

void log_line::append_name(std::string_view name)
{
    fields_ += ",\"";
    fields_ += name;
    fields_ += "\":";
}

log_line& log_line::text(std::string_view field, std::string_view value)
{
    if (core::is_utf8(value))
    {
        append_name(field);
        core::append_json_string(fields_, value);
    }
    return *this;
}

log_line& log_line::number(std::string_view field, std::int64_t value)
{
    append_name(field);
    fields_ += std::to_string(value);
    return *this;
}

log_line& log_line::flag(std::string_view field, bool value)
{
    append_name(field);
    fields_ += value ? "true" : "false";
    return *this;
}

log_line& log_line::failure(core::error const& cause)
{
    text("error", core::error_name(cause.code));
    number("error_number", static_cast<std::int64_t>(cause.code));
    text("step", cause.step);
    text("peer", cause.peer);
    return text("message", cause.message);
}

std::string log_line::finish(std::chrono::system_clock::time_point at) const
{
    std::string line = "{\"time\":\"" + format_time(at) + "\",\"level\":\"";
    line += level_name(level_);
    line += '"';
    line += fields_;
    line += '}';
    return line;
}

logger::logger(log_level min_level, std::size_t queue_limit)
    : min_level_(min_level)
    , queue_limit_(queue_limit)
{
    configure_library();
    writer_ = std::thread{[this]
                          {
                              run();
                          }};
}

logger::~logger()
{
    {
        std::lock_guard const lock{mutex_};
        stopping_ = true;
    }
    queue_changed_.notify_one();
    writer_.join();
}

void logger::write(log_line const& line)
{
    if (line.level() < min_level_)
    {
        return;
    }
    auto text = line.finish(std::chrono::system_clock::now());
    bool was_empty = false;
    {
        std::lock_guard const lock{mutex_};
        if (queue_.size() >= queue_limit_)
        {
            ++dropped_;
            return;
        }
        was_empty = queue_.empty();
        queue_.push_back(std::move(text));
    }
    if (was_empty)
    {
        queue_changed_.notify_one();
    }
}

std::uint64_t logger::dropped() const
{
    std::lock_guard const lock{mutex_};
    return dropped_;
}

void logger::run()
{
    std::unique_lock lock{mutex_};
    while (!stopping_ || !queue_.empty())
    {
        queue_changed_.wait(lock,
                            [this]
                            {
                                return stopping_ || !queue_.empty();
                            });
        auto const lines = std::exchange(queue_, {});
        lock.unlock();
        for (auto const& line : lines)
        {
            LOG(INFO) << line;
        }
        lock.lock();
    }
}

} // namespace goldcrestgate::app
