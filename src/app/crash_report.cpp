#include "goldcrestgate/app/crash_report.hpp"

#include <execinfo.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstddef>
#include <string_view>

namespace goldcrestgate::app
{

namespace
{

constexpr std::size_t max_frames = 48;

/// The handler has a stack of its own, so that a stack overflow is reported
/// too. The size leaves room for nested signals.
constexpr std::size_t handler_stack_bytes = std::size_t{128} * 1024;

constexpr std::array fatal_signals{SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT};

std::string_view signal_name(int signal)
{
    switch (signal)
    {
    case SIGSEGV:
        return "SIGSEGV";
    case SIGBUS:
        return "SIGBUS";
    case SIGILL:
        return "SIGILL";
    case SIGFPE:
        return "SIGFPE";
    default:
        return "SIGABRT";
    }
}

void write_text(std::string_view text)
{
    // A failed write cannot be reported anywhere else.
    [[maybe_unused]] auto const written =
        write(STDERR_FILENO, text.data(), text.size());
}

// Calls only async-signal-safe functions, and backtrace functions that allocate
// no memory after their first call.
void report_signal(int signal)
{
    std::array<void*, max_frames> frames{};
    write_text(R"({"level":"error","event":"fatal_signal","signal":")");
    write_text(signal_name(signal));
    write_text("\"}\n");
    int const count = backtrace(frames.data(), static_cast<int>(max_frames));
    backtrace_symbols_fd(frames.data(), count, STDERR_FILENO);
    // The handler was reset on entry, so the process ends with the signal.
    raise(signal);
}

} // namespace

void install_crash_report()
{
    // The first call loads a library, which a signal handler must not do.
    std::array<void*, 1> frame{};
    backtrace(frame.data(), 1);
    static std::array<std::byte, handler_stack_bytes> handler_stack;
    stack_t stack{};
    stack.ss_sp = handler_stack.data();
    stack.ss_size = handler_stack.size();
    sigaltstack(&stack, nullptr);
    for (int const signal : fatal_signals)
    {
        struct sigaction action
        {
        };
        action.sa_handler = &report_signal;
        action.sa_flags = SA_ONSTACK | static_cast<int>(SA_RESETHAND);
        sigemptyset(&action.sa_mask);
        sigaction(signal, &action, nullptr);
    }
}

} // namespace goldcrestgate::app
