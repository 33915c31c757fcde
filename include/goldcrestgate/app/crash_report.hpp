#pragma once

namespace goldcrestgate::app
{

/// @brief Makes the process write its call stack to standard error when a fatal
/// signal ends it.
///
/// The signal keeps its effect: the process ends with it after the report. The
/// report has one JSON line with the signal, then one line for each frame; the
/// address in a line can be resolved with `addr2line`.
/// @pre called once, before other threads are started
/// @par Thread safety
/// Not safe.
void install_crash_report();

} // namespace goldcrestgate::app
