/// HTTP/1.1 server for fibers.
#pragma once

#include "http_types.hpp"

#include "arbutusgate/config.hpp"
#include "arbutusgate/types.hpp"

#include "absl/status/status.h"

#include <atomic>
#include <cstddef>
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

/// One request and its response, as a handler sees them.
class http_exchange
{
public:
    virtual ~http_exchange() = default;

    virtual const http_request& request() const = 0;
    /// The request, for users that may outlive the exchange, such as a call
    /// that is still being written.
    virtual std::shared_ptr<const http_request> shared_request() const = 0;
    /// Sends a complete response; at most one response per exchange.
    virtual void respond(http_response response) = 0;
    /// Starts a chunked response; write() sends its body.
    virtual void begin_stream(http_response head) = 0;
    /// \return false when the client is gone.
    virtual bool write(std::string_view text) = 0;
    virtual void end_stream()                 = 0;
    /// Closes the connection without completing the response.
    virtual void abort() = 0;
    /// True when the client has closed its connection.
    virtual bool client_gone() const = 0;
    /// Sets an action that is called once when the client closes its connection
    /// before the response is complete. It runs on the exchange's thread, not
    /// on a fiber, and must not block. An empty function removes it.
    virtual void on_client_gone(std::function<void()> action) = 0;
    /// Thread on which this exchange runs.
    virtual io_thread& thread() = 0;
};

/// Why the server itself answers a request.
enum class http_error
{
    malformed,
    header_too_large,
    body_too_large,
    trailer_too_large,         ///< Trailers over the header limit.
    chunk_extension_too_large, ///< Chunk extensions over the header limit.
    no_memory, ///< The memory of all bodies is in use; the request did not run.
    too_slow,
    handler_failed, ///< By an exception; the request may have run.
    count,
};

/// The limit that a request exceeded, for error messages; empty for errors
/// that are no limit.
std::string limit_of(http_error error);

/// Parameters of a server.
struct http_server_init
{
    std::string   address; ///< "IP:port"; port 0 lets the system choose.
    std::uint32_t body_limit   = limits::request_body;   ///< bytes
    std::uint32_t header_limit = limits::request_header; ///< bytes
    milliseconds  read_timeout = limits::request_read;
    milliseconds  idle_timeout = seconds{60};
    /// For each part of a response that the client's system accepts.
    milliseconds  write_timeout   = seconds{30};
    std::uint32_t max_connections = 10000;
    /// Request bodies are charged to the body_memory of their thread, and
    /// refused with no_memory when it is in use.
    bool charge_bodies = true;
    /// Which requests' bodies are charged, by their headers; empty: all.
    std::function<bool(const http::fields&)> charges;
    /// Called for each request on the fiber of its connection.
    std::function<void(http_exchange&)> handler;
    /// Returns the response to a request that could not be read, or whose
    /// handler failed before it began a response.
    std::function<http_response(http_error)> on_error;
    /// Called on the connection's fiber when it ends after a request was read
    /// and before the response was complete. May be empty.
    std::function<void(const http_exchange&, response_loss)> on_lost;
};

/// Accepts connections on the first thread and distributes them over all.
class http_server
{
public:
    /// \param threads must outlive the server.
    http_server(http_server_init init, std::vector<io_thread*> threads);
    ~http_server();

    http_server(const http_server&)            = delete;
    http_server& operator=(const http_server&) = delete;

    /// \return Unavailable when the address cannot be bound; another call may
    ///         succeed later.
    absl::Status  start();
    std::uint16_t port() const;
    /// Replaces the limits and timeouts for requests that are read from now on.
    /// The server must have a single thread, and the call must come from it.
    void set_limits(std::uint32_t header_bytes, std::uint32_t body_bytes,
                    milliseconds read_timeout, milliseconds idle_timeout);
    /// From now on each response closes its connection. New connections are
    /// still accepted.
    void announce_close();
    /// Stops accepting connections. Idle connections are closed at once, others
    /// after their current request. One that is new, or whose request has
    /// arrived, gets its response; connections() counts it.
    void stop_accepting();
    /// Closes all connections and blocks until their fibers have ended. Must
    /// not be called from one of the server's threads.
    void stop();
    /// Number of open connections.
    std::uint32_t connections() const;

private:
    std::shared_ptr<detail::http_server_state> state_;
};

} // namespace arbutusgate
