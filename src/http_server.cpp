#include "http_server.hpp"

#include "body_memory.hpp"
#include "charged_body.hpp"
#include "daemon_clock.hpp"
#include "fiber_token.hpp"
#include "http_client.hpp"
#include "io_thread.hpp"
#include "log.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <array>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace arbutusgate {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

// Delay after a failed accept, for instance when no descriptor is free.
constexpr milliseconds accept_retry_delay{20};
// How long a client may continue to send after its last response.
constexpr seconds discard_timeout{2};
// A connection carries its first request within this time.
constexpr milliseconds first_request_grace{500};
// Bytes read and parsed before other connections have their turn. Each
// connection keeps its buffer, so heads are read in small parts.
constexpr std::size_t head_read_bytes = 4 * 1024;
constexpr std::size_t body_read_bytes = 16 * 1024;
// A read whose chunks are smaller than this on average is followed by a small
// one, since each chunk takes processor time of its own.
constexpr std::size_t small_chunk = 64; // bytes
// Chunk extensions up to this size are not counted: a body in small chunks may
// have many.
constexpr std::size_t free_extension = 16; // bytes

} // namespace

namespace detail {

class http_connection;

struct http_server_state
{
    http_server_state(http_server_init it, std::vector<io_thread*> io_threads)
        : init(std::move(it)), threads(std::move(io_threads)),
          acceptor(threads.front()->io())
    {
    }

    void accept_loop(std::shared_ptr<http_server_state> self);
    void serve(std::shared_ptr<http_server_state> self, io_thread& thread,
               tcp::socket socket);
    /// Runs the action for each open connection, on the connection's thread.
    template <class Action>
    void for_each(Action action);
    void remove(http_connection* it);

    http_server_init        init;
    std::vector<io_thread*> threads;
    tcp::acceptor           acceptor;
    std::atomic<bool>       accepting{true};
    std::atomic<bool>       closing{false};  ///< Responses close connections.
    std::atomic<bool>       stopping{false}; ///< All connections are closed.

    std::mutex              mutex;
    std::condition_variable changed;
    std::unordered_map<http_connection*, std::weak_ptr<http_connection>> open;
    bool accept_running = false;
};

/// A complete request and the memory that its body takes.
struct held_request
{
    http_request     message;
    body_reservation memory;
};

/// Serves the requests of one connection in sequence.
class http_connection final
    : public http_exchange,
      public incomplete_body,
      public std::enable_shared_from_this<http_connection>
{
public:
    http_connection(std::shared_ptr<http_server_state> owner, io_thread& thread,
                    tcp::socket socket)
        : owner_(std::move(owner)), thread_(thread), stream_(std::move(socket)),
          timer_(thread.io()), memory_(thread.io())
    {
    }

    ~http_connection() override { owner_->remove(this); }

    void serve();
    /// Closes the socket. Called on the connection's thread.
    void close();
    /// Closes the socket and notifies the handler that its client is gone.
    void close_and_notify();
    /// True when no byte of a further request has arrived.
    bool awaits_request();
    void close_if_idle();
    /// Closes an idle connection of a server that accepts no more. One that has
    /// carried no request yet is kept for a short time, as its request may be
    /// under way.
    void close_unless_awaited();

    const http_request& request() const override { return request_->message; }
    std::shared_ptr<const http_request> shared_request() const override
    {
        return {request_, &request_->message};
    }
    io_thread& thread() override { return thread_; }
    bool       client_gone() const override { return client_gone_; }
    void       respond(http_response response) override;
    void       begin_stream(http_response head) override;
    bool       write(std::string_view text) override;
    void       end_stream() override;
    void       abort() override { fail(response_loss::cut); }
    void       on_client_gone(std::function<void()> action) override
    {
        client_gone_action_ = std::move(action);
    }
    std::size_t held() const override { return memory_.bytes(); }
    void        evict() override;

private:
    using parser = http::request_parser<charged_body>;

    bool wait_for_request();
    bool read_request();
    /// Reads and parses until the request is complete. Sets refusal_ when a
    /// limit of this server ends it.
    error_code read_message();
    error_code read_more(std::size_t bytes);
    /// Checks the part of a chunk's header, or of the trailers, that has
    /// arrived: the parser keeps it until it is complete.
    void check_unparsed();
    void run_handler();
    void refuse(error_code ec);
    void discard_input();
    void start_idle_timer(milliseconds time);
    void start_read_timer();
    void prepare(http_response& response);
    void finish_response(error_code ec);
    void check_write(error_code ec);
    /// Closes the socket. Only the first reason is kept.
    void fail(response_loss why);
    void report_loss() const;
    void start_watching_client();
    void on_readable();
    void notify_client_gone();
    void stop_watching_client();

    std::shared_ptr<http_server_state> owner_;
    io_thread&                         thread_;
    boost::beast::tcp_stream           stream_;
    asio::steady_timer                 timer_;
    boost::beast::flat_buffer          buffer_;
    std::optional<parser>              parser_;
    body_reservation              memory_; ///< Of a body that is being read.
    std::shared_ptr<held_request> request_;
    std::optional<http_error>     refusal_; ///< Of the request being read.
    std::function<void()>         client_gone_action_;
    /// Points to this object until stop_watching_client() sets it to null.
    std::shared_ptr<http_connection*> watched_;
    bool                              keep_alive_ = false;
    bool                              responded_  = false; ///< Completely.
    std::optional<response_loss>      loss_; ///< Of the current request.
    bool                              begun_       = false; ///< The response.
    bool                              broken_      = false;
    bool                              client_gone_ = false;
    bool                              idle_        = false;
    bool                              fresh_       = true; ///< No request yet.
    bool                              reading_     = false;
    bool                              timed_out_   = false;
};

void http_connection::serve()
{
    error_code ec;
    stream_.socket().set_option(tcp::no_delay(true), ec);
    stream_.socket().non_blocking(true, ec);
    while ((owner_->accepting || (fresh_ && !owner_->stopping)) &&
           wait_for_request() && read_request() && !broken_)
    {
        start_watching_client();
        run_handler();
        stop_watching_client();
        if (!responded_)
            report_loss();
        // An idle connection holds no body.
        request_.reset();
        if (!responded_ || broken_ || !keep_alive_)
            break;
    }
    stream_.socket().shutdown(tcp::socket::shutdown_send, ec);
    if (responded_ && !broken_ && !keep_alive_)
        discard_input();
    stream_.close();
}

// An exception that leaves a fiber ends the process, and with it the requests
// of all other clients.
void http_connection::run_handler()
{
    try {
        owner_->init.handler(*this);
    }
    catch (const std::exception& it) {
        log(log_level::error, "a request failed with an exception",
            {{"error", it.what()}});
        // The action refers to what the handler has destroyed.
        client_gone_action_ = nullptr;
        if (begun_ || broken_)
            return fail(response_loss::handler_failed);
        keep_alive_ = false;
        respond(owner_->init.on_error(http_error::handler_failed));
    }
}

void http_connection::fail(response_loss why)
{
    if (!loss_)
        loss_ = client_gone_ ? response_loss::client_left : why;
    close();
}

void http_connection::report_loss() const
{
    if (owner_->init.on_lost)
        owner_->init.on_lost(*this, loss_.value_or(response_loss::cut));
}

void http_connection::close()
{
    broken_ = true;
    stream_.close();
    timer_.cancel();
}

// Closing the socket cancels the wait of start_watching_client(), which then
// reports nothing. Without the notification the handler would continue until
// its deadline.
void http_connection::close_and_notify()
{
    fail(response_loss::stopped);
    notify_client_gone();
}

bool http_connection::awaits_request()
{
    error_code ec;
    return idle_ && stream_.socket().available(ec) == 0;
}

void http_connection::close_if_idle()
{
    if (awaits_request())
        close();
}

void http_connection::close_unless_awaited()
{
    if (!awaits_request())
        return;
    if (fresh_)
        start_idle_timer(first_request_grace);
    else
        close();
}

void http_connection::start_idle_timer(milliseconds time)
{
    timer_.expires_after(time);
    timer_.async_wait([self = weak_from_this()](error_code ec) {
        const auto it = self.lock();
        if (!ec && it)
            it->close_if_idle();
    });
}

bool http_connection::wait_for_request()
{
    if (buffer_.size() > 0)
        return true;
    buffer_ = {};
    error_code ec;
    idle_ = true;
    start_idle_timer(owner_->accepting ? owner_->init.idle_timeout
                                       : first_request_grace);
    stream_.socket().async_wait(tcp::socket::wait_read, fiber_token{ec});
    idle_ = false;
    timer_.cancel();
    return !ec && !broken_;
}

// tcp_stream's own timeout closes the socket, after which no response can be
// sent. This timer only cancels the read.
void http_connection::start_read_timer()
{
    timed_out_ = false;
    timer_.expires_after(owner_->init.read_timeout);
    timer_.async_wait([self = weak_from_this()](error_code ec) {
        const auto it = self.lock();
        // The timer may have expired just before it was cancelled.
        if (ec || !it || !it->reading_)
            return;
        it->timed_out_ = true;
        error_code ignored;
        it->stream_.socket().cancel(ignored);
    });
}

bool http_connection::read_request()
{
    parser_.emplace();
    // No single field can be longer than the whole header.
    parser_->header_limit(static_cast<std::uint32_t>(std::min<std::size_t>(
        owner_->init.header_limit, limits::max_header_field)));
    parser_->body_limit(owner_->init.body_limit);
    parser_->eager(true);
    auto& body = parser_->get().body();
    body.limit = owner_->init.body_limit;
    if (owner_->init.charge_bodies) {
        body.memory = &memory_;
        if (owner_->init.charges)
            body.charges = &owner_->init.charges;
        memory_.begin_incomplete(*this);
    }
    responded_ = false;
    begun_     = false;
    loss_.reset();
    refusal_.reset();
    fresh_   = false;
    reading_ = true;
    start_read_timer();
    stream_.expires_never();
    const auto ec = read_message();
    reading_      = false;
    timer_.cancel();
    memory_.end_incomplete();
    if (ec || refusal_) {
        parser_.reset();
        memory_.release();
        refuse(ec);
        return false;
    }
    auto message = parser_->release();
    parser_.reset();
    request_    = std::make_shared<held_request>(held_request{
        http_request(std::move(message.base()), std::move(message.body().text)),
        std::move(memory_)});
    keep_alive_ = request_->message.keep_alive();
    return true;
}

// Asio's reads return to the event loop even when bytes have arrived, so that
// other connections have their turn after each part.
error_code http_connection::read_message()
{
    std::size_t extensions = 0;
    std::size_t chunks     = 0;
    auto        on_chunk   = [&](std::uint64_t, boost::beast::string_view text,
                        error_code& ec) {
        ++chunks;
        extensions += std::max(text.size(), free_extension) - free_extension;
        if (extensions <= owner_->init.header_limit)
            return;
        refusal_ = http_error::chunk_extension_too_large;
        ec       = http::error::bad_chunk_extension;
    };
    parser_->on_chunk_header(on_chunk);
    error_code ec;
    while (true) {
        const auto chunks_before = chunks;
        while (buffer_.size() > 0 && !parser_->is_done()) {
            buffer_.consume(parser_->put(buffer_.data(), ec));
            if (ec)
                break;
        }
        if (parser_->is_done() && !ec)
            return ec;
        if (ec && ec != http::error::need_more) {
            if (parser_->get().body().refused)
                refusal_ = http_error::no_memory;
            return ec;
        }
        check_unparsed();
        if (refusal_)
            return ec;
        // The previous read may have completed before it could be cancelled.
        if (timed_out_)
            return asio::error::operation_aborted;
        const bool in_body = parser_->is_header_done();
        const bool costly =
            (chunks - chunks_before) * small_chunk > head_read_bytes;
        ec = read_more(in_body && !costly ? body_read_bytes : head_read_bytes);
        if (ec == asio::error::eof) {
            if (!parser_->got_some())
                return http::error::end_of_stream;
            parser_->put_eof(ec);
            return ec;
        }
        if (ec || refusal_)
            return ec;
    }
}

error_code http_connection::read_more(std::size_t bytes)
{
    error_code ec;
    const auto n =
        stream_.async_read_some(buffer_.prepare(bytes), fiber_token{ec});
    buffer_.commit(n);
    return ec;
}

void http_connection::check_unparsed()
{
    if (!parser_->is_header_done() ||
        buffer_.size() <= owner_->init.header_limit)
        return;
    // The line break that ends the previous chunk may come first.
    constexpr std::size_t  line_break = 2;
    const auto             bytes      = buffer_.cdata();
    const std::string_view text(static_cast<const char*>(bytes.data()),
                                bytes.size());
    refusal_ = text.find("\r\n", line_break) == text.npos
                   ? http_error::chunk_extension_too_large
                   : http_error::trailer_too_large;
}

void http_connection::evict()
{
    refusal_                   = http_error::no_memory;
    parser_->get().body().text = std::string();
    memory_.release();
    error_code ignored;
    stream_.socket().cancel(ignored);
}

void http_connection::refuse(error_code ec)
{
    auto error = http_error::malformed;
    if (refusal_)
        error = *refusal_;
    else if (timed_out_)
        error = http_error::too_slow;
    else if (ec == http::error::header_limit)
        error = http_error::header_too_large;
    else if (ec == http::error::body_limit)
        error = http_error::body_too_large;
    else if (ec.category() != http::make_error_code(http::error{}).category() ||
             ec == http::error::end_of_stream ||
             ec == http::error::partial_message)
        return;
    keep_alive_ = false;
    respond(owner_->init.on_error(error));
}

// Closing a socket with unread data resets the connection, and the client could
// lose the response before reading it. Without "Connection: close", a reset is
// right: it tells the client that its next request was not read.
void http_connection::discard_input()
{
    error_code                 ec;
    std::array<char, 8 * 1024> bytes;
    const auto                 deadline = daemon_now() + discard_timeout;
    // A request within the limits has no more left. A client that sends on is
    // kept waiting: it can still read its response.
    const std::size_t most =
        owner_->init.body_limit + owner_->init.header_limit;
    std::size_t n = 0;
    stream_.expires_after(discard_timeout);
    while (!ec && n <= most && !owner_->stopping)
        n += stream_.async_read_some(asio::buffer(bytes), fiber_token{ec});
    if (ec || owner_->stopping)
        return;
    timer_.expires_after(std::max(deadline - daemon_now(), microseconds{0}));
    timer_.async_wait(fiber_token{ec});
}

void http_connection::prepare(http_response& response)
{
    if (!owner_->accepting || owner_->closing)
        keep_alive_ = false;
    response.version(11);
    response.keep_alive(keep_alive_);
    begun_ = true;
    stream_.expires_after(owner_->init.write_timeout);
}

void http_connection::finish_response(error_code ec)
{
    check_write(ec);
    responded_ = !ec;
}

void http_connection::check_write(error_code ec)
{
    if (!ec)
        return;
    fail(ec == boost::beast::error::timeout ? response_loss::write_timed_out
                                            : response_loss::write_failed);
}

void http_connection::respond(http_response response)
{
    prepare(response);
    response.prepare_payload();
    http::response_serializer<http::string_body> serializer(response);
    error_code                                   ec;
    while (!ec && !serializer.is_done()) {
        stream_.expires_after(owner_->init.write_timeout);
        http::async_write_some(stream_, serializer, fiber_token{ec});
    }
    finish_response(ec);
}

void http_connection::begin_stream(http_response head)
{
    prepare(head);
    http::response<http::empty_body> start;
    start.base() = head.base();
    start.chunked(true);
    http::response_serializer<http::empty_body> serializer(start);
    error_code                                  ec;
    http::async_write_header(stream_, serializer, fiber_token{ec});
    check_write(ec);
}

bool http_connection::write(std::string_view text)
{
    if (broken_ || text.empty())
        return !broken_;
    error_code ec;
    stream_.expires_after(owner_->init.write_timeout);
    asio::async_write(stream_, http::make_chunk(asio::buffer(text)),
                      fiber_token{ec});
    check_write(ec);
    return !broken_;
}

void http_connection::end_stream()
{
    if (broken_)
        return;
    error_code ec;
    stream_.expires_after(owner_->init.write_timeout);
    asio::async_write(stream_, http::make_chunk_last(), fiber_token{ec});
    finish_response(ec);
}

void http_connection::start_watching_client()
{
    client_gone_ = false;
    watched_     = std::make_shared<http_connection*>(this);
    stream_.socket().async_wait(tcp::socket::wait_read,
                                [watched = watched_](error_code ec) {
                                    if (!ec && *watched)
                                        (*watched)->on_readable();
                                });
}

// A readable socket without data has been closed by the client. With data, a
// pipelined request has arrived, after which a close is no longer detected.
void http_connection::on_readable()
{
    error_code ec;
    char       byte = 0;
    const auto n    = stream_.socket().receive(asio::buffer(&byte, 1),
                                               tcp::socket::message_peek, ec);
    if (n > 0 || ec == asio::error::would_block)
        return;
    notify_client_gone();
}

void http_connection::notify_client_gone()
{
    client_gone_ = true;
    if (auto action = std::exchange(client_gone_action_, nullptr))
        action();
}

void http_connection::stop_watching_client()
{
    *watched_           = nullptr;
    client_gone_action_ = nullptr;
    error_code ec;
    if (stream_.socket().is_open())
        stream_.socket().cancel(ec);
    broken_ = broken_ || client_gone_;
}

void http_server_state::accept_loop(std::shared_ptr<http_server_state> self)
{
    for (std::size_t n = 0; accepting; ++n) {
        auto&       thread = *threads[n % threads.size()];
        tcp::socket socket(thread.io());
        error_code  ec;
        acceptor.async_accept(socket, fiber_token{ec});
        if (!ec)
            serve(self, thread, std::move(socket));
        else if (accepting)
            fiber_sleep(threads.front()->io(), accept_retry_delay);
    }
    // Closing the socket resets the connections that wait to be accepted.
    error_code ec;
    acceptor.non_blocking(true, ec);
    for (std::size_t n = 0; !ec && !stopping; ++n) {
        auto&       thread = *threads[n % threads.size()];
        tcp::socket socket(thread.io());
        acceptor.accept(socket, ec);
        if (!ec)
            serve(self, thread, std::move(socket));
    }
    // Without this, clients could still connect after stop() has returned.
    acceptor.close(ec);
    std::lock_guard lock(mutex);
    accept_running = false;
    changed.notify_all();
}

void http_server_state::serve(std::shared_ptr<http_server_state> self,
                              io_thread& thread, tcp::socket socket)
{
    auto it = std::make_shared<http_connection>(std::move(self), thread,
                                                std::move(socket));
    {
        std::lock_guard lock(mutex);
        if (stopping || open.size() >= init.max_connections)
            return;
        open.emplace(it.get(), it);
    }
    thread.spawn([it = std::move(it)]() mutable { it->serve(); });
}

template <class Action>
void http_server_state::for_each(Action action)
{
    std::lock_guard lock(mutex);
    // The posted handler takes the reference: if the last one were released
    // here, remove() would run while the mutex is held.
    for (const auto& entry : open) {
        if (auto it = entry.second.lock()) {
            auto& io = it->thread().io();
            asio::post(io, [self = std::move(it), action] { action(*self); });
        }
    }
}

void http_server_state::remove(http_connection* it)
{
    std::lock_guard lock(mutex);
    open.erase(it);
    changed.notify_all();
}

} // namespace detail

std::string limit_of(http_error error)
{
    switch (error) {
    case http_error::header_too_large:
        return "size of the header";
    case http_error::body_too_large:
        return "size of the body";
    case http_error::trailer_too_large:
        return "size of the trailers";
    case http_error::chunk_extension_too_large:
        return "size of the chunk extensions";
    case http_error::no_memory:
        return "memory of all bodies";
    case http_error::too_slow:
        return "time to read a request";
    case http_error::malformed:
    case http_error::handler_failed:
    case http_error::count:
        break;
    }
    return {};
}

http_server::http_server(http_server_init init, std::vector<io_thread*> threads)
    : state_(std::make_shared<detail::http_server_state>(std::move(init),
                                                         std::move(threads)))
{
}

http_server::~http_server()
{
    stop();
}

absl::Status http_server::start()
{
    std::string   host;
    std::uint16_t port = 0;
    if (!parse_listen_address(state_->init.address, host, port))
        return absl::InvalidArgumentError("not an IP:port address: " +
                                          state_->init.address);
    const tcp::endpoint endpoint(asio::ip::make_address(host), port);
    error_code          ec;
    auto&               acceptor = state_->acceptor;
    acceptor.open(endpoint.protocol(), ec);
    if (!ec)
        acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    if (!ec)
        acceptor.bind(endpoint, ec);
    if (!ec)
        acceptor.listen(asio::socket_base::max_listen_connections, ec);
    if (ec) {
        const auto error = ec.message();
        acceptor.close(ec);
        return absl::UnavailableError("cannot listen on " +
                                      state_->init.address + ": " + error);
    }
    state_->accept_running = true;
    state_->threads.front()->spawn(
        [state = state_] { state->accept_loop(state); });
    return absl::OkStatus();
}

std::uint16_t http_server::port() const
{
    error_code ec;
    return state_->acceptor.local_endpoint(ec).port();
}

void http_server::set_limits(std::uint32_t header_bytes,
                             std::uint32_t body_bytes,
                             milliseconds  read_timeout,
                             milliseconds  idle_timeout)
{
    auto& init        = state_->init;
    init.header_limit = header_bytes;
    init.body_limit   = body_bytes;
    init.read_timeout = read_timeout;
    init.idle_timeout = idle_timeout;
}

void http_server::announce_close()
{
    state_->closing = true;
}

void http_server::stop_accepting()
{
    if (!state_->accepting.exchange(false))
        return;
    asio::post(state_->threads.front()->io(), [state = state_] {
        error_code ec;
        state->acceptor.cancel(ec);
    });
    state_->for_each(
        [](detail::http_connection& it) { it.close_unless_awaited(); });
}

void http_server::stop()
{
    state_->stopping = true;
    stop_accepting();
    state_->for_each(
        [](detail::http_connection& it) { it.close_and_notify(); });
    std::unique_lock lock(state_->mutex);
    state_->changed.wait(lock, [this] {
        return state_->open.empty() && !state_->accept_running;
    });
}

std::uint32_t http_server::connections() const
{
    std::lock_guard lock(state_->mutex);
    return static_cast<std::uint32_t>(state_->open.size());
}

} // namespace arbutusgate
