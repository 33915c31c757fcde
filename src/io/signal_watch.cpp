#include "goldcrestgate/io/signal_watch.hpp"

#include <h2o.h>

#include <sys/signalfd.h>

#include <csignal>
#include <utility>

namespace goldcrestgate::io
{

namespace
{

int open_signal_descriptor(std::initializer_list<int> signals)
{
    sigset_t set;
    sigemptyset(&set);
    for (int const signal : signals)
    {
        sigaddset(&set, signal);
    }
    sigprocmask(SIG_BLOCK, &set, nullptr);
    return signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
}

} // namespace

signal_watch::signal_watch(event_loop& loop, std::initializer_list<int> signals,
                           std::function<void(int signal)> on_signal)
    : on_signal_(std::move(on_signal))
    , descriptor_(open_signal_descriptor(signals))
    , socket_(h2o_evloop_socket_create(loop.native(), descriptor_,
                                       H2O_SOCKET_FLAG_DONT_READ))
{
    socket_->data = this;
    h2o_socket_read_start(socket_, &signal_watch::on_readable);
}

signal_watch::~signal_watch()
{
    h2o_socket_close(socket_);
}

void signal_watch::on_readable(st_h2o_socket_t* socket, char const*)
{
    auto const& watch = *static_cast<signal_watch*>(socket->data);
    signalfd_siginfo info{};
    while (read(watch.descriptor_, &info, sizeof info) == sizeof info)
    {
        watch.on_signal_(static_cast<int>(info.ssi_signo));
    }
}

} // namespace goldcrestgate::io
