#include "goldcrestgate/io/detail/hangup_monitor.hpp"

#include <h2o.h>

#include <sys/epoll.h>

namespace goldcrestgate::io::detail
{

hangup_monitor::hangup_monitor(event_loop& loop)
    : epoll_(epoll_create1(EPOLL_CLOEXEC))
    , socket_(h2o_evloop_socket_create(loop.native(), epoll_,
                                       H2O_SOCKET_FLAG_DONT_READ))
{
    socket_->data = this;
    h2o_socket_read_start(socket_, &hangup_monitor::on_readable);
}

hangup_monitor::~hangup_monitor()
{
    h2o_socket_close(socket_);
}

void hangup_monitor::watch(int descriptor, hangup_listener& listener) const
{
    epoll_event interest{};
    interest.events = EPOLLRDHUP | EPOLLET;
    interest.data.ptr = &listener;
    epoll_ctl(epoll_, EPOLL_CTL_ADD, descriptor, &interest);
}

void hangup_monitor::unwatch(int descriptor) const
{
    epoll_ctl(epoll_, EPOLL_CTL_DEL, descriptor, nullptr);
}

void hangup_monitor::on_readable(st_h2o_socket_t* socket, char const*)
{
    static_cast<hangup_monitor*>(socket->data)->notify_listeners();
}

void hangup_monitor::notify_listeners() const
{
    // Events are fetched one at a time, because a listener may stop watching
    // another socket, whose event must then not be delivered.
    epoll_event event{};
    while (epoll_wait(epoll_, &event, 1, 0) == 1)
    {
        static_cast<hangup_listener*>(event.data.ptr)->on_hangup();
    }
}

} // namespace goldcrestgate::io::detail
