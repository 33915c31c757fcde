#include "goldcrestgate/core/admission/retry_delay.hpp"

#include "goldcrestgate/core/detail/unit_hash.hpp"

#include <algorithm>
#include <cstdint>

namespace goldcrestgate::core
{

namespace
{

using std::chrono::seconds;

/// Length of the window in drain times. Admission keeps a backlog below the
/// objectives of the jobs, so also a long burst shows a drain time of only a
/// fraction of a second, while its rejected work takes seconds to serve.
constexpr int window_drains = 16;

/// Two seconds are the shortest window in which whole seconds differ.
constexpr duration min_window = seconds{2};

/// Longest drain time that counts; the rest of the longest delay is left for
/// the window, so that a longer backlog does not end in a single second.
constexpr duration max_drain = seconds{20};

/// Share of the position in the window that the objective decides; the hash
/// decides the rest. A larger share would group jobs of equal objectives.
constexpr double objective_share = 0.25;

/// Time to the objective at which a job is in the middle between urgent and
/// not urgent, if the backlog is shorter.
constexpr duration shortest_scale = std::chrono::milliseconds{100};

/// Distinguishes this use of the hash from others of the same id.
constexpr std::uint64_t hash_seed = 0x7265747279ULL;

} // namespace

duration retry_delay(retry_delay_input const& input)
{
    auto const drain = std::clamp(input.drain, duration{}, max_drain);
    auto const first = std::max<duration>(
        min_retry_delay,
        std::chrono::ceil<seconds>(std::max(drain, input.rejected_for)));
    duration const longest_window =
        std::max(min_window, max_retry_delay - first + seconds{1});
    auto const window =
        std::clamp<duration>(std::chrono::ceil<seconds>(drain * window_drains),
                             min_window, longest_window);
    double const left = static_cast<double>(
        std::max(input.time_to_objective, duration{}).count());
    double const relaxed =
        left /
        (left + static_cast<double>(std::max(drain, shortest_scale).count()));
    double const position = objective_share * relaxed +
                            (1.0 - objective_share) *
                                detail::unit_hash(hash_seed, input.job.value());
    return first +
           std::chrono::floor<seconds>(duration{static_cast<std::int64_t>(
               position * static_cast<double>(window.count()))});
}

} // namespace goldcrestgate::core
