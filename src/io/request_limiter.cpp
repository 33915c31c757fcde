#include "goldcrestgate/io/detail/request_limiter.hpp"

#include "goldcrestgate/io/detail/http_connection.hpp"

#include <h2o.h>

#include <sys/socket.h>

#include <algorithm>
#include <string_view>
#include <utility>

namespace goldcrestgate::io::detail
{

namespace
{

/// Times of requests are exact to this interval.
constexpr core::duration check_interval = std::chrono::milliseconds{250};

} // namespace

request_limiter::request_limiter(event_loop& loop,
                                 core::request_limits const& limits,
                                 std::function<void()> on_check)
    : loop_(loop)
    , budget_(limits)
    , settle_(std::make_shared<std::function<void()>>(
          [this]
          {
              settle();
          }))
    , on_check_(std::move(on_check))
    , check_timer_(loop,
                   [this]
                   {
                       check_timer_.start_after(check_interval);
                       check();
                       on_check_();
                   })
{
    loop_.at_iteration_end(settle_);
    check_timer_.start_after(check_interval);
}

bool request_limiter::make_room()
{
    auto const waiting = budget_.longest_waiting(loop_.now());
    return waiting && inputs_.at(waiting->connection)->remove(waiting->reason);
}

void request_limiter::enforce()
{
    if (budget_.exceeded())
    {
        std::vector<core::connection_removal> removed;
        budget_.excess(removed);
        remove(removed);
    }
}

void request_limiter::check()
{
    std::vector<core::connection_removal> removed;
    budget_.expire(loop_.now(), removed);
    remove(removed);
    enforce();
}

void request_limiter::settle()
{
    if (unsettled_.empty())
    {
        return;
    }
    std::erase_if(unsettled_,
                  [](limited_input* input)
                  {
                      return input->settle();
                  });
    if (budget_.exceeded())
    {
        // Connections must not be closed here.
        loop_.post(
            [this]
            {
                enforce();
            });
    }
}

void request_limiter::remove(
    std::vector<core::connection_removal> const& removed)
{
    for (auto const& [connection, reason] : removed)
    {
        auto const found = inputs_.find(connection);
        if (found != inputs_.end())
        {
            found->second->remove(reason);
        }
    }
}

void request_limiter::report(core::removal_reason reason) const
{
    if (on_removal)
    {
        on_removal(reason);
    }
}

limited_input::limited_input(request_limiter& limiter,
                             http_connection& connection,
                             st_h2o_socket_t* socket)
    : limiter_(limiter)
    , connection_(connection)
    , socket_(socket)
    , state_(limiter.budget_.open(++limiter.last_id_, limiter.loop_.now()))
{
    limiter_.inputs_.emplace(state_->id, this);
    settle();
}

limited_input::~limited_input()
{
    limiter_.inputs_.erase(state_->id);
    limiter_.budget_.close(state_);
    if (unsettled_)
    {
        std::erase(limiter_.unsettled_, this);
    }
    if (destroyed_ != nullptr)
    {
        *destroyed_ = true;
    }
}

bool limited_input::complete()
{
    limiter_.budget_.complete(state_, socket_->input->size);
    limiter_.enforce();
    bool const is_rejected = limiter_.budget_.rejects(state_);
    if (is_rejected)
    {
        limiter_.report(core::removal_reason::budget_exhausted);
    }
    return !is_rejected;
}

void limited_input::answer()
{
    limiter_.budget_.answer(state_, limiter_.loop_.now());
}

void limited_input::end()
{
    scanned_bytes_ = 0;
    head_complete_ = false;
    if (!std::exchange(unsettled_, true))
    {
        limiter_.unsettled_.push_back(this);
    }
}

bool limited_input::is_hooked() const
{
    return socket_->_cb.read == &limited_input::on_read;
}

/// Returns false if h2o will set its callback later.
bool limited_input::settle()
{
    if (socket_->_cb.read == nullptr)
    {
        unsettled_ = !connection_.has_request();
        return !unsettled_;
    }
    if (!is_hooked())
    {
        h2o_read_ = std::exchange(socket_->_cb.read, &limited_input::on_read);
    }
    unsettled_ = false;
    observe();
    return true;
}

void limited_input::on_read(st_h2o_socket_t* socket, char const* failure)
{
    auto& input =
        *static_cast<http_connection*>(socket->on_close.data)->input();
    if (failure != nullptr && socket->input->size > 0)
    {
        input.connection_.keep_descriptor();
    }
    bool destroyed = false;
    input.destroyed_ = &destroyed;
    input.h2o_read_(socket, failure);
    if (destroyed)
    {
        return;
    }
    input.destroyed_ = nullptr;
    if (!input.is_hooked())
    {
        // The request is complete, or h2o sends an error or `100 Continue`.
        if (!input.connection_.has_request())
        {
            input.answer();
            input.end();
        }
        return;
    }
    input.observe();
    if (input.limiter_.budget_.has_large_head(input.state_))
    {
        input.remove(core::removal_reason::headers_too_large);
        return;
    }
    input.limiter_.enforce();
}

void limited_input::observe()
{
    limiter_.budget_.receive(state_, socket_->input->size, find_head_end(),
                             limiter_.loop_.now());
}

/// Looks for the blank line after the headers, in the input that was received
/// since the last call.
bool limited_input::find_head_end()
{
    std::string_view const received{socket_->input->bytes,
                                    socket_->input->size};
    if (received.empty())
    {
        scanned_bytes_ = 0;
        head_complete_ = false;
    }
    while (!head_complete_)
    {
        auto const line_end = received.find('\n', scanned_bytes_);
        auto const rest = line_end == std::string_view::npos
                              ? std::string_view{}
                              : received.substr(line_end + 1);
        // The two characters after it are needed to tell a blank line.
        if (rest.empty() || rest == "\r")
        {
            scanned_bytes_ = std::min(line_end, received.size());
            return false;
        }
        head_complete_ = rest.starts_with('\n') || rest.starts_with("\r\n");
        scanned_bytes_ = line_end + 1;
    }
    return head_complete_;
}

/// Returns whether the connection has been or is being closed; in the first
/// case, this object no longer exists.
bool limited_input::remove(core::removal_reason reason)
{
    if (state_->phase == core::request_budget::phase::answered)
    {
        // Lets the write fail, after which h2o closes the connection.
        limiter_.report(reason);
        shutdown(h2o_socket_get_fd(socket_), SHUT_RDWR);
        return false;
    }
    if (!is_hooked())
    {
        return false;
    }
    limiter_.report(reason);
    if (state_->phase != core::request_budget::phase::idle)
    {
        connection_.keep_descriptor();
        connection_.set_removal_reason(reason);
    }
    h2o_read_(socket_, "removed");
    return true;
}

} // namespace goldcrestgate::io::detail
