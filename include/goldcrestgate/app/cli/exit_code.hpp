#pragma once

namespace goldcrestgate::app::cli
{

/// The exit codes of `goldcrestgate`; docs/OPERATIONS.md lists them.
enum class exit_code : int
{
    success = 0,
    /// The job failed or was cancelled, or `settings diff` found differences.
    negative = 1,
    /// The command line or an input file is invalid.
    usage = 2,
    /// The instance refused the request.
    refused = 3,
    /// The settings changed after they were read.
    conflict = 4,
    /// The instance or the log service is not available.
    unavailable = 5,
    /// It is unknown whether the request took effect.
    unknown = 6
};

} // namespace goldcrestgate::app::cli
