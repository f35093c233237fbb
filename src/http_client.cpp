#include "http_client.hpp"

#include "body_memory.hpp"
#include "daemon_clock.hpp"
#include "fiber_signal.hpp"
#include "fiber_token.hpp"
#include "field_value.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>

namespace arbutusgate {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t read_buffer_bytes = 8 * 1024;
/// Bytes that may await parsing. The parser keeps a head, the line of a chunk's
/// size and the trailers here until they are complete, and bounds only heads.
constexpr std::size_t max_unparsed_bytes = 16 * 1024;
/// Bytes of a body's framing (sizes and extensions of chunks, trailers) beyond
/// max_framing_ratio for each byte of the body. A chunk of one byte has five.
constexpr std::size_t max_framing_bytes = 16 * 1024;
constexpr std::size_t max_framing_ratio = 8;
/// Interim responses that may precede a final one.
constexpr int max_interim_responses = 8;
// Status codes of HTTP (RFC 9110, 15).
constexpr unsigned min_status          = 100;
constexpr unsigned switching_protocols = 101;
constexpr unsigned min_final_status    = 200;
constexpr unsigned max_status          = 599;

} // namespace

bool parse_listen_address(std::string_view text, std::string& host,
                          std::uint16_t& port)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return false;
    host                 = text.substr(0, colon);
    const auto port_text = text.substr(colon + 1);
    // Without brackets the end of an IPv6 address is ambiguous.
    const bool bracketed =
        host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed)
        host = host.substr(1, host.size() - 2);
    const auto [end, ec] = std::from_chars(
        port_text.data(), port_text.data() + port_text.size(), port);
    error_code address_ec;
    const auto address = asio::ip::make_address(host, address_ec);
    // make_address() ignores what follows the digits of a scope.
    return is_visible_ascii(text) && ec == std::errc{} &&
           end == port_text.data() + port_text.size() && !address_ec &&
           address.is_v6() == bracketed;
}

bool parse_address(std::string_view text, std::string& host,
                   std::uint16_t& port)
{
    return parse_listen_address(text, host, port) && port != 0;
}

struct http_client::impl : std::enable_shared_from_this<impl>
{
    explicit impl(asio::io_context& io) : stream(io) {}

    /// Writes a request; the caller reads the response meanwhile.
    template <class Pending>
    void write(std::shared_ptr<Pending> out, milliseconds timeout);

    /// Counts bytes that the parser has consumed and those of the body in them.
    /// \return false when too many were framing only.
    bool count_parsed(std::size_t parsed, std::size_t body);

    /// The system reports a reset to one operation only. When that was a write,
    /// the next read sees the end of the connection, as if the response were
    /// whole. \return an error if that may have happened.
    error_code reset_error();

    using parser_type = http::response_parser<http::buffer_body>;

    boost::beast::tcp_stream   stream;
    boost::beast::flat_buffer  buffer{max_unparsed_bytes};
    std::optional<parser_type> parser;
    std::size_t                body_bytes    = 0; ///< Of this response.
    std::size_t                framing_bytes = 0; ///< Of this response's body.
    bool                       request_started = false;
    bool                       writing = false; ///< A request is being written.
    bool                       connected = false;
    time_point                 connected_at{};
    bool                       broken   = false;
    bool                       readable = false;
    bool watching = false; ///< Until the socket is readable.
};

namespace {

/// A request that is being written. It owns its message, since the write may
/// continue after the response has arrived.
struct pending_request
{
    explicit pending_request(const http_request& it)
        : message(it), serializer(message)
    {
    }

    http_request                                message;
    http::request_serializer<http::string_body> serializer;
};

/// The same with the body of a request that others hold, too.
struct pending_shared_request
{
    using body = http::span_body<const char>;

    pending_shared_request(const http_request&                 head,
                           std::shared_ptr<const http_request> it)
        : owner(std::move(it)),
          message(head.base(),
                  body::value_type(owner->body().data(), owner->body().size())),
          serializer(message)
    {
    }

    std::shared_ptr<const http_request> owner;
    http::request<body>                 message;
    http::request_serializer<body>      serializer;
};

} // namespace

http_client::http_client(asio::io_context& io)
    : impl_(std::make_shared<impl>(io))
{
}

http_client::~http_client()
{
    // An unfinished write keeps the connection's state alive until it ends.
    impl_->stream.close();
}

error_code http_client::connect(const std::string& address,
                                milliseconds       timeout)
{
    std::string   host;
    std::uint16_t port = 0;
    if (!parse_address(address, host, port))
        return asio::error::invalid_argument;
    error_code ec;
    impl_->stream.expires_after(timeout);
    impl_->stream.async_connect(
        tcp::endpoint(asio::ip::make_address(host), port), fiber_token{ec});
    if (ec)
        return ec;
    impl_->connected    = true;
    impl_->connected_at = daemon_now();
    error_code ignored;
    impl_->stream.socket().set_option(tcp::no_delay(true), ignored);
    return {};
}

template <class Pending>
void http_client::impl::write(std::shared_ptr<Pending> out,
                              milliseconds             timeout)
{
    stream.expires_after(timeout);
    request_started  = true;
    writing          = true;
    auto& serializer = out->serializer;
    // The target may respond before it has read the whole request and then
    // stop reading. So the response is read while the write is in progress.
    http::async_write(stream, serializer,
                      [state = shared_from_this(),
                       out   = std::move(out)](error_code ec, std::size_t) {
                          state->writing = false;
                          state->broken  = state->broken || ec;
                      });
}

bool http_client::impl::count_parsed(std::size_t parsed, std::size_t body)
{
    body_bytes += body;
    framing_bytes += parsed - std::min(parsed, body);
    return framing_bytes <= max_framing_bytes + max_framing_ratio * body_bytes;
}

error_code http_client::impl::reset_error()
{
    if (writing && !broken) {
        // The handler of a write that has failed may be due.
        error_code         ec;
        asio::steady_timer timer(stream.get_executor(), seconds{0});
        timer.async_wait(fiber_token{ec});
    }
    return broken ? asio::error::connection_reset : error_code{};
}

error_code http_client::send(const http_request& request, milliseconds timeout)
{
    impl_->write(std::make_shared<pending_request>(request), timeout);
    return read_head(timeout);
}

error_code http_client::send(const http_request&                 head,
                             std::shared_ptr<const http_request> body_of,
                             milliseconds                        timeout)
{
    impl_->write(
        std::make_shared<pending_shared_request>(head, std::move(body_of)),
        timeout);
    return read_head(timeout);
}

error_code http_client::read_head(milliseconds timeout)
{
    error_code ec;
    impl_->stream.expires_after(timeout);
    impl_->body_bytes    = 0;
    impl_->framing_bytes = 0;
    for (int n = 0; n <= max_interim_responses && !ec; ++n) {
        impl_->parser.emplace();
        impl_->parser->body_limit(max_body_bytes);
        http::async_read_header(impl_->stream, impl_->buffer, *impl_->parser,
                                fiber_token{ec});
        if (ec)
            break;
        const auto status = impl_->parser->get().result_int();
        if (status >= min_final_status && status <= max_status)
            return {};
        // No request asks for another protocol.
        if (status < min_status || status > max_status ||
            status == switching_protocols)
            ec = http::error::bad_status;
    }
    impl_->broken = true;
    return ec ? ec : http::error::bad_status;
}

const http::response_header<>& http_client::head() const
{
    return impl_->parser->get().base();
}

std::string http_client::read_some(milliseconds timeout, error_code& ec)
{
    ec = {};
    std::array<char, read_buffer_bytes> data;
    impl_->stream.expires_after(timeout);
    while (!impl_->parser->is_done()) {
        auto& body        = impl_->parser->get().body();
        body.data         = data.data();
        body.size         = data.size();
        body.more         = true;
        const auto parsed = http::async_read_some(
            impl_->stream, impl_->buffer, *impl_->parser, fiber_token{ec});
        if (ec == http::error::need_buffer)
            ec = {};
        const auto n = data.size() - body.size;
        if (!ec && !impl_->count_parsed(parsed, n))
            ec = http::error::bad_chunk;
        if (ec) {
            impl_->broken = true;
            return {};
        }
        if (n > 0)
            return std::string(data.data(), n);
    }
    if (ends_with_connection())
        ec = impl_->reset_error();
    return {};
}

namespace {

/// The end of a chunk stays in the buffer until the head of the next one is
/// complete. \return whether the text holds no more than a part of both.
bool is_between_chunks(std::string_view text)
{
    constexpr std::string_view end = "\r\n";
    if (!text.starts_with(end))
        return end.starts_with(text);
    constexpr std::size_t max_size_digits = 16;
    text.remove_prefix(end.size());
    return text.size() <= max_size_digits &&
           text.find_first_not_of("0123456789abcdefABCDEF\r") == text.npos;
}

} // namespace

void http_client::notify_readable(std::shared_ptr<fiber_signal> signal)
{
    const auto             bytes = impl_->buffer.data();
    const std::string_view rest(static_cast<const char*>(bytes.data()),
                                bytes.size());
    impl_->readable =
        impl_->parser->is_done() ||
        (impl_->parser->chunked() ? !is_between_chunks(rest) : !rest.empty());
    if (impl_->readable || std::exchange(impl_->watching, true))
        return;
    impl_->stream.socket().async_wait(
        tcp::socket::wait_read,
        [state = impl_, signal = std::move(signal)](error_code) {
            state->watching = false;
            state->readable = true;
            signal->notify();
        });
}

bool http_client::readable() const
{
    return impl_->readable;
}

std::string http_client::read_all(milliseconds timeout, error_code& ec,
                                  std::size_t       max_bytes,
                                  body_reservation* memory)
{
    const auto  deadline = std::chrono::steady_clock::now() + timeout;
    std::string text;
    for (;;) {
        const auto remaining = std::chrono::duration_cast<milliseconds>(
            deadline - std::chrono::steady_clock::now());
        // Data that is always there at once never meets the timer of a read.
        if (remaining <= milliseconds{0}) {
            impl_->broken = true;
            ec            = boost::beast::error::timeout;
            return text;
        }
        auto part = read_some(remaining, ec);
        if (ec || part.empty())
            return text;
        text += part;
        if (text.size() > max_bytes)
            ec = asio::error::message_size;
        else if (memory && !memory->grow_to(text.capacity()))
            ec = asio::error::no_buffer_space;
        if (ec) {
            impl_->broken = true;
            return text;
        }
    }
}

asio::execution_context& http_client::context() const
{
    return impl_->stream.get_executor().context();
}

void http_client::cancel()
{
    impl_->broken = true;
    impl_->stream.close();
}

time_point http_client::connected_at() const
{
    return impl_->connected_at;
}

bool http_client::may_have_sent() const
{
    return impl_->request_started;
}

bool http_client::reusable() const
{
    return impl_->connected && !impl_->broken && impl_->parser &&
           impl_->parser->is_done() && impl_->parser->get().keep_alive() &&
           !impl_->writing && impl_->buffer.size() == 0;
}

bool http_client::body_complete() const
{
    return impl_->parser && impl_->parser->is_done();
}

bool http_client::ends_with_connection() const
{
    return impl_->parser && impl_->parser->need_eof();
}

bool http_client::idle_and_open()
{
    char       byte = 0;
    error_code ec;
    auto&      socket = impl_->stream.socket();
    socket.non_blocking(true, ec);
    if (!ec)
        socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
    // No later read reports a reset that this call was told of.
    if (ec && ec != asio::error::would_block && ec != asio::error::eof)
        impl_->broken = true;
    return ec == asio::error::would_block;
}

} // namespace arbutusgate
