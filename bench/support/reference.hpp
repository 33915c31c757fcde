#pragma once

#include "support/results.hpp"
#include "support/workload.hpp"

#include <cstdint>

namespace goldcrestgate::bench
{

/// The order of the central queue and how it chooses a slot.
enum class reference_kind : std::uint8_t
{
    /// First in, first out; a task starts at once on the fastest free slot.
    fastest_free,
    /// First in, first out; a task starts on the slot where it finishes first,
    /// even if it has to wait for that slot.
    earliest_finish,
    /// The job with the least work first; a task starts at once on the fastest
    /// free slot.
    smallest_job
};

/// @brief Runs a workload on one central queue that knows the true work times
/// and executor speeds; network delays are the only overhead.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] run_result run_reference(workload const& work,
                                       reference_kind kind);

/// @brief Runs the two first-in, first-out references and returns the result
/// with the lower sum of task responses; tasks without an answer add zero.
/// @par Thread safety
/// Safe to call from any thread.
[[nodiscard]] run_result run_best_reference(workload const& work);

} // namespace goldcrestgate::bench
