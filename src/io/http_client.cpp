#include "goldcrestgate/io/http_client.hpp"

#include <h2o.h>

#include <sys/socket.h>

#include <deque>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace goldcrestgate::io
{

namespace detail
{

namespace
{

/// h2o's timeout for a connection without traffic. It does not take effect, as
/// each call has a shorter timeout of its own.
constexpr std::uint64_t h2o_io_timeout_ms = 3'600'000;

/// @brief The h2o state that all clients of a loop share.
struct h2o_client_context
{
    h2o_multithread_queue_t* queue = nullptr;
    h2o_multithread_receiver_t receiver{};
    h2o_timeout_t timeout{};
    h2o_http1client_ctx_t context{};
};

/// Returns the context of a loop. Contexts are kept for each thread, as a loop
/// is used by one thread only.
h2o_client_context& context_of(event_loop& loop)
{
    thread_local std::unordered_map<h2o_loop_t*,
                                    std::unique_ptr<h2o_client_context>>
        contexts;
    auto& entry = contexts[loop.native()];
    if (entry == nullptr)
    {
        entry = std::make_unique<h2o_client_context>();
        entry->queue = h2o_multithread_create_queue(loop.native());
        h2o_multithread_register_receiver(entry->queue, &entry->receiver,
                                          h2o_hostinfo_getaddr_receiver);
        h2o_timeout_init(loop.native(), &entry->timeout, h2o_io_timeout_ms);
        entry->context.loop = loop.native();
        entry->context.getaddr_receiver = &entry->receiver;
        entry->context.io_timeout = &entry->timeout;
    }
    return *entry;
}

/// @brief The open connections to one address, in use or idle.
class connection_pool
{
public:
    connection_pool(event_loop& loop, socket_address const& address,
                    http_client_options const& options)
    {
        h2o_socketpool_init_by_address(
            &pool_, const_cast<sockaddr*>(address.data()), address.size(), 0,
            options.max_connections);
        auto const idle_timeout =
            std::chrono::ceil<std::chrono::milliseconds>(options.idle_timeout);
        h2o_socketpool_set_timeout(
            &pool_, loop.native(),
            static_cast<std::uint64_t>(idle_timeout.count()));
    }

    /// @brief Closes the idle connections.
    /// @pre no connection is in use
    ~connection_pool()
    {
        h2o_socketpool_dispose(&pool_);
    }
    connection_pool(connection_pool const&) = delete;
    connection_pool& operator=(connection_pool const&) = delete;

    [[nodiscard]] h2o_socketpool_t* native()
    {
        return &pool_;
    }

private:
    h2o_socketpool_t pool_{};
};

std::string format_request(http_call const& call, std::string const& host)
{
    std::string text;
    text.reserve(256 + call.body.size());
    text.append(call.method).append(" ").append(call.path);
    text.append(" HTTP/1.1\r\nhost: ").append(host).append("\r\n");
    for (auto const& [name, value] : call.headers)
    {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    if (!call.body.empty() || call.method == "POST" || call.method == "PUT")
    {
        text.append("content-length: ");
        text.append(std::to_string(call.body.size())).append("\r\n");
    }
    text.append("\r\n").append(call.body);
    return text;
}

} // namespace

/// @brief The state of a call, from its start to its callback.
struct call_state
{
    call_state(event_loop& loop, std::function<void()> on_expiry)
        : timeout_timer(loop, std::move(on_expiry))
    {
    }

    http_client::call_id id = 0;
    std::weak_ptr<http_client_state> owner;
    http_client::callback done;
    std::string method;
    /// h2o refers to these bytes until they have been written.
    std::string request;
    h2o_iovec_t request_buffer{};
    core::time_point deadline;
    timer timeout_timer;
    /// Null before the connection attempt and after the end of the call.
    h2o_http1client_t* client = nullptr;
    /// The pool of the call's connection.
    std::shared_ptr<connection_pool> pool;
    bool connected = false;
    /// Whether h2o has not returned from the connection attempt yet.
    bool connecting = false;
    /// Whether the connection was idle before.
    bool reuses_connection = false;
    http_result result;
};

class http_client_state : public std::enable_shared_from_this<http_client_state>
{
public:
    http_client_state(event_loop& loop, socket_address address,
                      http_client_options options);
    ~http_client_state();

    http_client::call_id start(http_call call, http_client::callback done);
    void cancel(http_client::call_id id);

    std::unordered_map<http_client::call_id, std::unique_ptr<call_state>> calls;

private:
    static h2o_http1client_head_cb on_connect(h2o_http1client_t* client,
                                              char const* failure,
                                              h2o_iovec_t** buffers,
                                              size_t* buffer_count,
                                              int* method_is_head);
    static h2o_http1client_body_cb on_head(h2o_http1client_t* client,
                                           char const* failure, int version,
                                           int status, h2o_iovec_t reason,
                                           h2o_header_t* headers,
                                           size_t header_count, int length);
    static int on_body(h2o_http1client_t* client, char const* failure);

    void connect(call_state& call);
    void expire(http_client::call_id id);
    void finish(call_state& call, call_outcome outcome,
                std::optional<core::error> failure);
    void start_queued();
    [[nodiscard]] core::error make_error(core::error_code code,
                                         call_state const& call,
                                         std::string message) const;

    event_loop& loop_;
    socket_address address_;
    http_client_options options_;
    std::shared_ptr<connection_pool> pool_;
    http_client::call_id last_id_ = 0;
    std::size_t active_ = 0;
    std::deque<http_client::call_id> queue_;
};

http_client_state::http_client_state(event_loop& loop, socket_address address,
                                     http_client_options options)
    : loop_(loop)
    , address_(std::move(address))
    , options_(options)
    , pool_(std::make_shared<connection_pool>(loop_, address_, options_))
{
}

http_client_state::~http_client_state()
{
    for (auto const& [id, call] : calls)
    {
        if (call->client != nullptr)
        {
            h2o_http1client_cancel(call->client);
        }
    }
}

http_client::call_id http_client_state::start(http_call call,
                                              http_client::callback done)
{
    auto const id = ++last_id_;
    auto entry = std::make_unique<call_state>(loop_,
                                              [this, id]
                                              {
                                                  expire(id);
                                              });
    entry->id = id;
    entry->owner = weak_from_this();
    entry->done = std::move(done);
    entry->request = format_request(call, address_.text());
    entry->method = std::move(call.method);
    entry->deadline = loop_.now() + call.timeout;
    entry->timeout_timer.start_at(entry->deadline);
    auto& stored = *calls.emplace(id, std::move(entry)).first->second;
    if (active_ < options_.max_connections)
    {
        connect(stored);
    }
    else
    {
        queue_.push_back(id);
    }
    return id;
}

void http_client_state::connect(call_state& call)
{
    ++active_;
    call.timeout_timer.start_at(
        std::min(call.deadline, loop_.now() + options_.connect_timeout));
    call.pool = pool_;
    call.connecting = true;
    h2o_http1client_connect_with_pool(
        &call.client, &call, &context_of(loop_).context, pool_->native(),
        &http_client_state::on_connect);
    call.connecting = false;
}

h2o_http1client_head_cb http_client_state::on_connect(h2o_http1client_t* client,
                                                      char const* failure,
                                                      h2o_iovec_t** buffers,
                                                      size_t* buffer_count,
                                                      int* method_is_head)
{
    auto& call = *static_cast<call_state*>(client->data);
    auto const self = call.owner.lock();
    if (failure != nullptr)
    {
        call.client = nullptr;
        self->finish(
            call, call_outcome::not_sent,
            self->make_error(core::error_code::connect_failed, call, failure));
        return nullptr;
    }
    if (self->loop_.now() >= call.deadline)
    {
        // The process was paused meanwhile; returning no callback closes the
        // connection.
        call.client = nullptr;
        self->finish(call, call_outcome::not_sent,
                     self->make_error(core::error_code::io_timeout, call,
                                      "the timeout passed before the request "
                                      "was sent"));
        return nullptr;
    }
    call.connected = true;
    // h2o calls back at once only for an idle connection.
    call.reuses_connection = call.connecting;
    call.timeout_timer.start_at(call.deadline);
    call.request_buffer =
        h2o_iovec_init(call.request.data(), call.request.size());
    *buffers = &call.request_buffer;
    *buffer_count = 1;
    *method_is_head = call.method == "HEAD" ? 1 : 0;
    return &http_client_state::on_head;
}

h2o_http1client_body_cb http_client_state::on_head(h2o_http1client_t* client,
                                                   char const* failure, int,
                                                   int status, h2o_iovec_t,
                                                   h2o_header_t* headers,
                                                   size_t header_count, int)
{
    auto& call = *static_cast<call_state*>(client->data);
    auto const self = call.owner.lock();
    bool const is_complete = failure == h2o_http1client_error_is_eos;
    if (failure != nullptr && !is_complete)
    {
        call.client = nullptr;
        self->finish(
            call, call_outcome::possibly_received,
            self->make_error(core::error_code::connection_lost, call, failure));
        return nullptr;
    }
    call.result.status = static_cast<std::uint16_t>(status);
    call.result.headers.reserve(header_count);
    for (size_t i = 0; i < header_count; ++i)
    {
        auto const& header = headers[i];
        call.result.headers.emplace_back(
            std::string{header.name->base, header.name->len},
            std::string{header.value.base, header.value.len});
    }
    if (is_complete)
    {
        call.client = nullptr;
        self->finish(call, call_outcome::answered, std::nullopt);
        return nullptr;
    }
    return &http_client_state::on_body;
}

int http_client_state::on_body(h2o_http1client_t* client, char const* failure)
{
    auto& call = *static_cast<call_state*>(client->data);
    auto const self = call.owner.lock();
    bool const is_complete = failure == h2o_http1client_error_is_eos;
    if (failure != nullptr && !is_complete)
    {
        call.client = nullptr;
        self->finish(
            call, call_outcome::possibly_received,
            self->make_error(core::error_code::connection_lost, call, failure));
        return 0;
    }
    auto*& input = client->sock->input;
    call.result.body.append(input->bytes, input->size);
    h2o_buffer_consume(&input, input->size);
    if (is_complete)
    {
        call.client = nullptr;
        self->finish(call, call_outcome::answered, std::nullopt);
        return 0;
    }
    if (call.result.body.size() > self->options_.max_body_bytes)
    {
        call.client = nullptr;
        self->finish(call, call_outcome::possibly_received,
                     self->make_error(core::error_code::malformed_response,
                                      call,
                                      "the response body exceeds the limit"));
        return -1;
    }
    return 0;
}

void http_client_state::expire(http_client::call_id id)
{
    auto& call = *calls.at(id);
    bool const is_queued = call.client == nullptr;
    if (!is_queued)
    {
        h2o_http1client_cancel(std::exchange(call.client, nullptr));
        // If an established connection has gone silent, so may have the idle
        // ones; each further one would cost the timeout of a call.
        if (call.connected && call.reuses_connection)
        {
            pool_ =
                std::make_shared<connection_pool>(loop_, address_, options_);
        }
    }
    else
    {
        std::erase(queue_, id);
        ++active_; // finish() decrements it
    }
    finish(call,
           call.connected ? call_outcome::possibly_received
                          : call_outcome::not_sent,
           make_error(core::error_code::io_timeout, call,
                      call.connected ? "no response within the timeout"
                                     : "no connection within the timeout"));
}

// The callback is posted, because h2o returns the connection to its pool only
// after this function; a call that the callback starts can then reuse it.
void http_client_state::finish(call_state& call, call_outcome outcome,
                               std::optional<core::error> failure)
{
    call.timeout_timer.cancel();
    call.result.outcome = outcome;
    call.result.failure = std::move(failure);
    loop_.post(
        [weak = weak_from_this(), id = call.id]
        {
            auto const self = weak.lock();
            if (self == nullptr)
            {
                return;
            }
            --self->active_;
            self->start_queued();
            auto const node = self->calls.extract(id);
            if (!node.empty())
            {
                auto const finished = std::move(node.mapped());
                finished->done(std::move(finished->result));
            }
        });
}

void http_client_state::start_queued()
{
    while (!queue_.empty() && active_ < options_.max_connections)
    {
        auto const id = queue_.front();
        queue_.pop_front();
        connect(*calls.at(id));
    }
}

void http_client_state::cancel(http_client::call_id id)
{
    auto const found = calls.find(id);
    if (found == calls.end())
    {
        return;
    }
    auto& call = *found->second;
    if (call.client != nullptr)
    {
        h2o_http1client_cancel(std::exchange(call.client, nullptr));
        --active_;
    }
    else
    {
        std::erase(queue_, id);
    }
    calls.erase(found);
    start_queued();
}

core::error http_client_state::make_error(core::error_code code,
                                          call_state const& call,
                                          std::string message) const
{
    auto const request_line = std::string_view{call.request};
    return {code,
            std::string{request_line.substr(0, request_line.find(" HTTP/1.1"))},
            address_.text(), std::move(message)};
}

} // namespace detail

std::optional<std::string_view> http_result::header(std::string_view name) const
{
    for (auto const& [header_name, value] : headers)
    {
        if (header_name == name)
        {
            return value;
        }
    }
    return std::nullopt;
}

http_client::http_client(event_loop& loop, socket_address const& address,
                         http_client_options options)
    : state_(
          std::make_shared<detail::http_client_state>(loop, address, options))
{
}

http_client::~http_client() = default;

http_client::call_id http_client::start(http_call call, callback done)
{
    return state_->start(std::move(call), std::move(done));
}

void http_client::cancel(call_id call)
{
    state_->cancel(call);
}

std::size_t http_client::open_calls() const
{
    return state_->calls.size();
}

} // namespace goldcrestgate::io
