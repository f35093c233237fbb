/// HTTP/1.1 client connection on fibers.
#pragma once

#include "http_types.hpp"

#include "arbutusgate/types.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/system/error_code.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace arbutusgate {

/// One connection. Used by one fiber of the io_context's thread at a time;
/// only cancel may be called by another fiber of that thread.
class http_client
{
public:
    /// Bytes of any body.
    static constexpr std::size_t longest_body = 16 * 1024 * 1024;

    explicit http_client(boost::asio::io_context& io);
    ~http_client();

    http_client(const http_client&)            = delete;
    http_client& operator=(const http_client&) = delete;

    /// \param address "IP:port".
    boost::system::error_code connect(const std::string& address,
                                      milliseconds       timeout);
    /// Sends the request and reads the head of the response, which may come
    /// before the whole request is out.
    /// \param timeout for the whole of it.
    boost::system::error_code send(const http_request& request,
                                   milliseconds        timeout);
    /// Reads the head of one more response, after a response to another
    /// request was read to its end.
    boost::system::error_code read_head(milliseconds timeout);
    /// Head of the response after send.
    const http::response_header<>& head() const;
    /// Reads the next part of the body. An empty text without an error is
    /// the end of the body.
    std::string read_some(milliseconds timeout, boost::system::error_code& ec);
    /// Reads the rest of the body.
    /// \param most bytes; a longer body is an error, message_size.
    std::string read_all(milliseconds timeout, boost::system::error_code& ec,
                         std::size_t most = longest_body);
    /// Ends the running operation with an error and closes the connection.
    void cancel();

    /// True when a byte of a request may have left this process.
    bool bytes_sent() const;
    /// True when another request may be sent on this connection.
    bool reusable() const;
    /// True when the body of the response was read to its end.
    bool body_read() const;
    /// True when an idle connection is open and no byte has arrived on it.
    bool quiet();

private:
    struct impl;
    std::shared_ptr<impl> impl_;
};

/// Splits "IP:port" or "[IPv6]:port".
/// \return false when the IP or the port is not numeric, the port is 0, or
///         brackets stand around anything but an IPv6 address.
bool parse_address(std::string_view text, std::string& host,
                   std::uint16_t& port);

/// As parse_address, with port 0 allowed: the system chooses one.
bool parse_listen_address(std::string_view text, std::string& host,
                          std::uint16_t& port);

} // namespace arbutusgate
