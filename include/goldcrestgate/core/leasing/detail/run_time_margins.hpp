#pragma once

namespace goldcrestgate::core::detail
{

/// Run times exceed their expected values by up to this factor: they vary by
/// 40%.
inline constexpr double run_time_overrun_factor = 1.4;

/// Slowdowns that differ by this factor are different speeds; learned values of
/// equal executors differ by a few percent.
inline constexpr double different_speed_factor = 1.16;

/// Weight of a run time whose error of the estimate is not known, against that
/// of a job with three or more tasks.
inline constexpr double single_sample_weight = 0.25;

} // namespace goldcrestgate::core::detail
