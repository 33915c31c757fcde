#include "goldcrestgate/io/http_server.hpp"

#include "goldcrestgate/io/detail/http_connection.hpp"
#include "goldcrestgate/io/detail/request_turns.hpp"

#include <h2o.h>
#include <h2o/http1.h>

#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <utility>
#include <vector>

namespace goldcrestgate::io
{

namespace detail
{

struct request_handler
{
    h2o_handler_t super;
    class http_server_state* server;
};

struct error_filter
{
    h2o_filter_t super;
    class http_server_state* server;
};

/// @brief An output filter that replaces the body of a response.
struct error_body_stream
{
    h2o_ostream_t super;
    h2o_iovec_t body;

    static void send(h2o_ostream_t* self, h2o_req_t* request, h2o_iovec_t*,
                     size_t, h2o_send_state_t state)
    {
        auto* const stream = reinterpret_cast<error_body_stream*>(self);
        h2o_ostream_send_next(self, request, &stream->body, 1, state);
    }
};

/// @brief Allocated in the memory pool of a request, which destroys it when the
/// request ends.
struct request_guard
{
    std::shared_ptr<pending_reply> pending;
    http_connection* connection;
};

class http_server_state
{
public:
    http_server_state(event_loop& loop, http_server_options options);
    ~http_server_state();

    struct route_entry
    {
        std::string method;
        std::string prefix;
        http_server::handler handle;
    };

    route_entry const* find_route(http_request const& request) const;
    /// Calls the route's handler, now or when the request has its turn.
    void dispatch(route_entry const& route, http_reply const& reply,
                  std::shared_ptr<pending_reply> const& pending);
    void accept_pending();
    bool make_room();
    void resume_accepting();
    void stop_listening();

    void add_error_filter(h2o_pathconf_t* path);

    static void on_response(h2o_filter_t* self, h2o_req_t* request,
                            h2o_ostream_t** slot);
    static int on_request(h2o_handler_t* self, h2o_req_t* request);
    static void on_listener(h2o_socket_t* listener, char const* failure);

    event_loop& loop;
    h2o_globalconf_t config{};
    h2o_context_t context{};
    h2o_accept_ctx_t accept_context{};
    h2o_socket_t* listener = nullptr;
    std::uint16_t port = 0;
    std::size_t max_connections;
    int receive_buffer_bytes;
    std::vector<route_entry> routes;
    connection_group group;
    /// Null without limits for untrusted callers.
    std::unique_ptr<request_turns> turns;
};

namespace
{

std::string_view to_view(h2o_iovec_t text)
{
    return {text.base, text.len};
}

h2o_iovec_t to_iovec(std::string_view text)
{
    return h2o_iovec_init(text.data(), text.size());
}

http_request to_request(h2o_req_t const& source)
{
    http_request request;
    request.method = to_view(source.method);
    auto const path = to_view(source.path);
    auto const query_at = path.find('?');
    request.path = path.substr(0, query_at);
    if (query_at != std::string_view::npos)
    {
        request.query = path.substr(query_at + 1);
    }
    if (source.entity.base != nullptr)
    {
        request.body = to_view(source.entity);
    }
    request.headers.reserve(source.headers.size + 1);
    // h2o removes the Host header from the list of headers.
    request.headers.emplace_back("host", to_view(source.input.authority));
    for (std::size_t i = 0; i < source.headers.size; ++i)
    {
        auto const& header = source.headers.entries[i];
        request.headers.emplace_back(to_view(*header.name),
                                     to_view(header.value));
    }
    return request;
}

void add_header(h2o_req_t& request, std::string_view name,
                std::string_view value)
{
    auto const pooled_name =
        h2o_strdup(&request.pool, name.data(), name.size());
    auto const pooled_value =
        h2o_strdup(&request.pool, value.data(), value.size());
    h2o_add_header_by_str(&request.pool, &request.res.headers, pooled_name.base,
                          pooled_name.len, 1, nullptr, pooled_value.base,
                          pooled_value.len);
}

http_connection& connection_of(h2o_req_t const& request)
{
    auto* const socket = request.conn->callbacks->get_socket(request.conn);
    return *static_cast<http_connection*>(socket->on_close.data);
}

void send_response(h2o_req_t& request, http_response const& response,
                   std::string_view body_text)
{
    static h2o_generator_t generator = {nullptr, nullptr};
    connection_of(request).begin_response(request.http1_is_persistent != 0);
    request.res.status = response.status;
    request.res.reason = reason_phrase(response.status);
    request.res.content_length = body_text.size();
    add_header(request, "content-type", response.content_type);
    for (auto const& [name, value] : response.headers)
    {
        add_header(request, name, value);
    }
    h2o_start_response(&request, &generator);
    auto body = to_iovec(body_text);
    h2o_send(&request, &body, 1, H2O_SEND_STATE_FINAL);
}

void answer_abandoned_request(pending_reply& pending)
{
    auto* const request = std::exchange(pending.request, nullptr);
    if (request != nullptr)
    {
        send_response(*request, {500, {}, "application/json", {}}, {});
    }
}

} // namespace

http_server_state::http_server_state(event_loop& event_loop,
                                     http_server_options options)
    : loop(event_loop)
    , max_connections(options.max_connections)
    , receive_buffer_bytes(options.receive_buffer_bytes)
    , group(event_loop)
{
    h2o_config_init(&config);
    config.server_name = to_iovec("goldcrestgate");
    config.max_request_entity_size = options.max_body_bytes;
    config.http1.upgrade_to_http2 = 0;
    // With limits, their checks come first.
    auto const timeout = options.limits ? options.limits->idle_timeout +
                                              options.limits->request_timeout +
                                              std::chrono::seconds{5}
                                        : options.request_timeout;
    config.http1.req_timeout = static_cast<std::uint64_t>(
        std::chrono::ceil<std::chrono::milliseconds>(timeout).count());
    auto* const host =
        h2o_config_register_host(&config, to_iovec("default"), 65535);
    auto* const path = h2o_config_register_path(host, "/", 0);
    add_error_filter(path);
    add_error_filter(&host->fallback_path);
    auto* const handler = reinterpret_cast<request_handler*>(
        h2o_create_handler(path, sizeof(request_handler)));
    handler->super.on_req = &http_server_state::on_request;
    handler->server = this;
    h2o_context_init(&context, loop.native(), &config);
    accept_context.ctx = &context;
    accept_context.hosts = config.hosts;
    group.on_connection_closed = [this]
    {
        resume_accepting();
    };
    if (options.limits)
    {
        group.limiter =
            std::make_unique<request_limiter>(loop, *options.limits,
                                              [this]
                                              {
                                                  resume_accepting();
                                              });
        group.lingering.set_limit(
            std::max<std::size_t>(max_connections / 16, 4));
        turns = std::make_unique<request_turns>(loop);
    }
}

http_server_state::~http_server_state()
{
    // h2o's connections outlive this object only when the process exits. They
    // refer to the h2o context, so it is not disposed of.
    stop_listening();
}

void http_server_state::add_error_filter(h2o_pathconf_t* path)
{
    auto* const filter = reinterpret_cast<error_filter*>(
        h2o_create_filter(path, sizeof(error_filter)));
    filter->super.on_setup_ostream = &http_server_state::on_response;
    filter->server = this;
}

// Replaces the body of error responses that h2o generates.
void http_server_state::on_response(h2o_filter_t* self, h2o_req_t* request,
                                    h2o_ostream_t** slot)
{
    auto const& server = *reinterpret_cast<error_filter*>(self)->server;
    auto& connection = connection_of(*request);
    if (request->res.status >= 400 && !connection.has_request())
    {
        connection.begin_response(false);
        auto const text = server.group.make_error_body(
            static_cast<std::uint16_t>(request->res.status));
        auto* const stream = reinterpret_cast<error_body_stream*>(
            h2o_add_ostream(request, sizeof(error_body_stream), slot));
        stream->super.do_send = &error_body_stream::send;
        stream->body = h2o_strdup(&request->pool, text.data(), text.size());
        request->res.content_length = text.size();
        h2o_set_header(&request->pool, &request->res.headers,
                       H2O_TOKEN_CONTENT_TYPE, H2O_STRLIT("application/json"),
                       1);
        slot = &stream->super.next;
    }
    h2o_setup_next_ostream(request, slot);
}

http_server_state::route_entry const*
http_server_state::find_route(http_request const& request) const
{
    route_entry const* best = nullptr;
    for (auto const& entry : routes)
    {
        bool const matches = entry.method == request.method &&
                             request.path.starts_with(entry.prefix);
        if (matches &&
            (best == nullptr || entry.prefix.size() > best->prefix.size()))
        {
            best = &entry;
        }
    }
    return best;
}

int http_server_state::on_request(h2o_handler_t* self, h2o_req_t* source)
{
    auto& server = *reinterpret_cast<request_handler*>(self)->server;
    auto& connection = connection_of(*source);
    auto const pending = std::make_shared<pending_reply>();
    pending->request = source;
    bool const is_admitted = connection.begin_request(pending);

    // The pool destroys the guard when the request ends, also when its
    // connection is closed.
    auto* const memory =
        h2o_mem_alloc_shared(&source->pool, sizeof(request_guard),
                             [](void* data)
                             {
                                 auto* const guard =
                                     static_cast<request_guard*>(data);
                                 guard->pending->request = nullptr;
                                 guard->connection->end_request();
                                 guard->~request_guard();
                             });
    new (memory) request_guard{pending, &connection};

    http_request const request = to_request(*source);
    auto const* const route = server.find_route(request);
    http_reply const reply{
        std::shared_ptr<pending_reply>{pending.get(), [pending](pending_reply*)
                                       {
                                           answer_abandoned_request(*pending);
                                       }}};
    if (!is_admitted)
    {
        source->http1_is_persistent = 0;
        reply.send(server.group.make_removal_response(
            core::removal_reason::budget_exhausted));
        return 0;
    }
    if (route == nullptr)
    {
        reply.send(
            {404, server.group.make_error_body(404), "application/json", {}});
        return 0;
    }
    server.dispatch(*route, reply, pending);
    return 0;
}

void http_server_state::dispatch(route_entry const& route,
                                 http_reply const& reply,
                                 std::shared_ptr<pending_reply> const& pending)
{
    auto handle = [this, &route, reply, pending]
    {
        if (pending->request == nullptr)
        {
            // The connection has been closed meanwhile.
            return;
        }
        auto const request = to_request(*pending->request);
        // A reply that the handler has not sent is answered as an internal
        // error when its last copy is destroyed.
        loop.run_guarded(
            [&]
            {
                route.handle(request, reply);
            });
    };
    if (turns == nullptr)
    {
        handle();
        return;
    }
    turns->take(pending->request->entity.len, std::move(handle));
}

void http_server_state::on_listener(h2o_socket_t* listener, char const* failure)
{
    if (failure == nullptr)
    {
        static_cast<http_server_state*>(listener->data)->accept_pending();
    }
}

void http_server_state::accept_pending()
{
    constexpr int max_accepts_per_call = 64;
    for (int i = 0; i < max_accepts_per_call; ++i)
    {
        if (group.connections.size() >= max_connections && !make_room())
        {
            h2o_socket_read_stop(listener);
            return;
        }
        auto* const socket = h2o_evloop_socket_accept(listener);
        if (socket == nullptr)
        {
            // Without a free descriptor, the listener stays readable and the
            // loop would spin.
            if ((errno == EMFILE || errno == ENFILE) &&
                group.limiter != nullptr && !make_room())
            {
                h2o_socket_read_stop(listener);
            }
            return;
        }
        // Owned by the socket, whose on_close callback deletes it.
        auto* const connection = new http_connection(group, socket);
        h2o_accept(&accept_context, socket);
        connection->limit_input();
    }
}

bool http_server_state::make_room()
{
    return group.limiter != nullptr && group.limiter->make_room();
}

void http_server_state::resume_accepting()
{
    if (listener != nullptr && !h2o_socket_is_reading(listener))
    {
        h2o_socket_read_start(listener, &http_server_state::on_listener);
    }
}

void http_server_state::stop_listening()
{
    if (listener != nullptr)
    {
        h2o_socket_close(listener);
        listener = nullptr;
    }
}

} // namespace detail

http_reply::http_reply(std::shared_ptr<detail::pending_reply> pending)
    : pending_(std::move(pending))
{
}

void http_reply::send(http_response response) const
{
    auto* const request = std::exchange(pending_->request, nullptr);
    pending_->on_disconnect = nullptr;
    if (request == nullptr)
    {
        return;
    }
    // The body must outlive the write; the guard in the request's memory pool
    // keeps it alive.
    pending_->body = std::move(response.body);
    detail::send_response(*request, response, pending_->body);
}

bool http_reply::caller_disconnected() const
{
    return pending_->request == nullptr ||
           detail::connection_of(*pending_->request).hung_up();
}

void http_reply::on_caller_disconnect(std::function<void()> callback) const
{
    if (pending_->request != nullptr)
    {
        pending_->on_disconnect = std::move(callback);
    }
}

http_server::http_server(event_loop& loop, http_server_options options)
    : state_(std::make_unique<detail::http_server_state>(loop, options))
{
}

http_server::~http_server() = default;

void http_server::route(std::string method, std::string path_prefix,
                        handler handle)
{
    state_->routes.push_back(
        {std::move(method), std::move(path_prefix), std::move(handle)});
}

void http_server::set_error_body(error_body make_body)
{
    state_->group.error_body = std::move(make_body);
}

void http_server::set_removal_response(removal_response make_response)
{
    state_->group.removal_response = std::move(make_response);
}

core::result<void> http_server::listen(socket_address const& address)
{
    BOOST_LEAF_AUTO(descriptor, open_listener(address));
    if (state_->receive_buffer_bytes > 0)
    {
        // Accepted sockets inherit it.
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF,
                   &state_->receive_buffer_bytes,
                   sizeof state_->receive_buffer_bytes);
    }
    sockaddr_storage bound{};
    socklen_t size = sizeof bound;
    getsockname(descriptor, reinterpret_cast<sockaddr*>(&bound), &size);
    state_->port = ntohs(reinterpret_cast<sockaddr_in*>(&bound)->sin_port);
    state_->listener = h2o_evloop_socket_create(
        state_->loop.native(), descriptor, H2O_SOCKET_FLAG_DONT_READ);
    state_->listener->data = state_.get();
    h2o_socket_read_start(state_->listener,
                          &detail::http_server_state::on_listener);
    return {};
}

std::uint16_t http_server::port() const
{
    return state_->port;
}

void http_server::notify_disconnects()
{
    state_->group.monitor.notify_listeners();
}

void http_server::close_gracefully()
{
    state_->stop_listening();
    state_->group.closing = true;
    h2o_context_request_shutdown(&state_->context);
}

std::size_t http_server::connection_count() const
{
    return state_->group.connections.size();
}

void http_server::on_removal(removal_sink report)
{
    if (state_->group.limiter != nullptr)
    {
        state_->group.limiter->on_removal = std::move(report);
    }
}

std::size_t http_server::open_request_bytes() const
{
    auto const& limiter = state_->group.limiter;
    return limiter == nullptr ? 0 : limiter->open_bytes();
}

} // namespace goldcrestgate::io
