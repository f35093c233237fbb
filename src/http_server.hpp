/// HTTP/1.1 server on fibers.
#pragma once

#include "http_types.hpp"

#include "arbutusgate/config.hpp"
#include "arbutusgate/types.hpp"

#include "absl/status/status.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace arbutusgate {

class io_thread;

namespace detail {
struct http_server_state;
}

/// One request and its response, as seen by a handler.
class http_exchange
{
public:
    virtual ~http_exchange() = default;

    virtual const http_request& request() const = 0;
    /// Sends a whole response; at most one response for each exchange.
    virtual void respond(http_response response) = 0;
    /// Starts a chunked response; its body follows by write.
    virtual void begin_stream(http_response head) = 0;
    /// \return false when the client is gone.
    virtual bool write(std::string_view text) = 0;
    virtual void end_stream()                 = 0;
    /// Ends the connection without an orderly end of the response.
    virtual void abort() = 0;
    /// True when the client closed its connection.
    virtual bool client_gone() const = 0;
    /// Called once, on the exchange's thread and not on a fiber, when the
    /// client closes its connection before the response is complete. Must not
    /// block. An empty function removes it.
    virtual void on_client_gone(std::function<void()> action) = 0;
    /// Thread that runs this exchange.
    virtual io_thread& thread() = 0;
};

/// Why a connection was refused before a handler saw a request.
enum class http_error
{
    malformed,
    header_too_large,
    body_too_large,
    too_slow,
};

/// Start values of a server.
struct http_server_init
{
    std::string   address; ///< "IP:port"; port 0 lets the system choose.
    std::uint32_t body_limit      = limits::request_body;   ///< bytes
    std::uint32_t header_limit    = limits::request_header; ///< bytes
    milliseconds  read_timeout    = limits::request_read;
    milliseconds  idle_timeout    = seconds{60};
    milliseconds  write_timeout   = seconds{30};
    std::uint32_t max_connections = 10000;
    /// Runs on a fiber of its own for each request.
    std::function<void(http_exchange&)> handler;
    /// Builds the response to a request that could not be read.
    std::function<http_response(http_error)> on_error;
};

/// Accepts on the first thread, spreads connections over all of them.
class http_server
{
public:
    /// \param threads outlive the server.
    http_server(http_server_init init, std::vector<io_thread*> threads);
    ~http_server();

    http_server(const http_server&)            = delete;
    http_server& operator=(const http_server&) = delete;

    /// \return Unavailable when the address cannot be bound.
    absl::Status  start();
    std::uint16_t port() const;
    /// Replaces limits and timeouts of requests that are read from now on.
    /// Only to be called on the server's thread, which must be its only one.
    void set_limits(std::uint32_t header_bytes, std::uint32_t body_bytes,
                    milliseconds read_timeout, milliseconds idle_timeout);
    /// From now on each response ends its connection; new ones are accepted.
    void announce_close();
    /// Stops accepting; idle connections close at once, others after their
    /// current request.
    void stop_accepting();
    /// Closes all connections. Blocks until their fibers have ended; not to
    /// be called from one of the server's threads.
    void          stop();
    std::uint32_t connections() const;

private:
    std::shared_ptr<detail::http_server_state> state_;
};

} // namespace arbutusgate
