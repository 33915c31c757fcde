#include "goldcrestgate/app/process_resources.hpp"

#include "goldcrestgate/io/http_message.hpp"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <iterator>

namespace goldcrestgate::app
{

namespace
{

constexpr char const* membership_file = "/proc/self/cgroup";

/// Returns the content of a file; empty if it cannot be read.
std::string read_text(std::string const& file)
{
    std::ifstream source{file};
    return {std::istreambuf_iterator<char>{source}, {}};
}

std::string_view take_until(std::string_view& text, char separator)
{
    auto const end = text.find(separator);
    auto const part = text.substr(0, end);
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 1);
    return part;
}

bool has_controller(std::string_view controllers, std::string_view name)
{
    while (!controllers.empty())
    {
        if (take_until(controllers, ',') == name)
        {
            return true;
        }
    }
    return false;
}

} // namespace

namespace detail
{

std::vector<std::string> memory_limit_files(std::string_view membership)
{
    std::vector<std::string> files;
    while (!membership.empty())
    {
        // A line has the form `number:controllers:path`. It has no controllers
        // in version 2 of control groups.
        auto line = take_until(membership, '\n');
        take_until(line, ':');
        auto const controllers = take_until(line, ':');
        bool const is_version_2 = controllers.empty();
        if (!line.starts_with('/') ||
            (!is_version_2 && !has_controller(controllers, "memory")))
        {
            continue;
        }
        std::string const root =
            is_version_2 ? "/sys/fs/cgroup" : "/sys/fs/cgroup/memory";
        std::string const name =
            is_version_2 ? "/memory.max" : "/memory.limit_in_bytes";
        auto path = line;
        while (!path.empty())
        {
            auto& file = files.emplace_back(root);
            file += path == "/" ? std::string_view{} : path;
            file += name;
            path =
                path == "/"
                    ? std::string_view{}
                    : path.substr(0, std::max<std::size_t>(path.rfind('/'), 1));
        }
    }
    return files;
}

std::optional<std::uint64_t> parse_memory_limit(std::string_view text)
{
    // The other possible content is `max`.
    return io::parse_number(text.substr(0, text.find('\n')));
}

} // namespace detail

process_resources read_resources()
{
    auto memory = static_cast<std::uint64_t>(sysconf(_SC_PHYS_PAGES)) *
                  static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
    rlimit limit{};
    for (auto const resource : {RLIMIT_AS, RLIMIT_DATA})
    {
        if (getrlimit(resource, &limit) == 0)
        {
            // RLIM_INFINITY is the largest value.
            memory = std::min<std::uint64_t>(memory, limit.rlim_cur);
        }
    }
    for (auto const& file :
         detail::memory_limit_files(read_text(membership_file)))
    {
        memory = std::min(
            memory,
            detail::parse_memory_limit(read_text(file)).value_or(memory));
    }
    getrlimit(RLIMIT_NOFILE, &limit);
    return {memory, limit.rlim_cur};
}

} // namespace goldcrestgate::app
