/// HTTP/1.1 client connection for fibers.
#pragma once

#include "http_types.hpp"

#include "arbutusgate/types.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/system/error_code.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace arbutusgate {

class body_reservation;
class fiber_signal;

/// One connection. Used by one fiber of the io_context's thread at a time; only
/// cancel() may be called by another fiber of that thread.
class http_client
{
public:
    /// Upper bound of a response's body.
    static constexpr std::size_t max_body_bytes = 16 * 1024 * 1024;

    explicit http_client(boost::asio::io_context& io);
    ~http_client();

    http_client(const http_client&)            = delete;
    http_client& operator=(const http_client&) = delete;

    /// \param address "IP:port".
    boost::system::error_code connect(const std::string& address,
                                      milliseconds       timeout);
    /// Sends the request and reads the head of the response, which may arrive
    /// before the whole request is written. Interim responses are skipped; a
    /// status that is none of HTTP fails with bad_status.
    /// \param timeout for both together.
    boost::system::error_code send(const http_request& request,
                                   milliseconds        timeout);
    /// The same with the body of another request, which is not copied.
    /// \param head its Content-Length is that of the body.
    boost::system::error_code send(const http_request&                 head,
                                   std::shared_ptr<const http_request> body_of,
                                   milliseconds                        timeout);
    /// Reads the head of a further response, after the previous response was
    /// read completely.
    boost::system::error_code read_head(milliseconds timeout);
    /// Head of the current response.
    const http::response_header<>& head() const;
    /// Reads the next part of the body. An empty result without an error means
    /// the end of the body. A chunk's header or trailers that are too large
    /// fail with buffer_overflow, too many in relation to the body with
    /// bad_chunk.
    std::string read_some(milliseconds timeout, boost::system::error_code& ec);
    /// Notifies the signal once when more of the body, or the end of the
    /// connection, can be read.
    void notify_readable(std::shared_ptr<fiber_signal> signal);
    /// True when that has happened since the latest call of notify_readable().
    bool readable() const;
    /// Reads the remaining body.
    /// \param max_bytes a longer body fails with message_size.
    /// \param memory reserves the body's memory, if set; a body for which too
    ///               little is left fails with no_buffer_space.
    std::string read_all(milliseconds timeout, boost::system::error_code& ec,
                         std::size_t       max_bytes = max_body_bytes,
                         body_reservation* memory    = nullptr);
    /// The io_context, as a parameter of body_reservation.
    boost::asio::execution_context& context() const;
    /// Closes the connection; an operation in progress fails.
    void cancel();

    /// When the connection was opened.
    time_point connected_at() const;
    /// True when a byte of a request may have left this process.
    bool may_have_sent() const;
    /// True when another request may be sent on this connection.
    bool reusable() const;
    /// True when the body of the response was read completely.
    bool body_complete() const;
    /// True when the response names no length and has no chunks, so that the
    /// end of the connection is its end.
    bool ends_with_connection() const;
    /// True when the connection is open and has no unread data, so that an idle
    /// connection can be used for a request.
    bool idle_and_open();

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

/// Splits "IP:port" or "[IPv6]:port".
/// \return false when the IP or the port is not numeric, the port is 0, an
///         IPv6 address has no brackets or another address has them.
bool parse_address(std::string_view text, std::string& host,
                   std::uint16_t& port);

/// Like parse_address, but allows port 0, for which the system chooses a port.
bool parse_listen_address(std::string_view text, std::string& host,
                          std::uint16_t& port);

} // namespace arbutusgate
