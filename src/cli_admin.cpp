#include "cli_admin.hpp"

#include "http_client.hpp"
#include "text.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace arbutusgate {

namespace asio  = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::size_t max_body_size = 16 * 1024 * 1024; // bytes

/// Runs one asynchronous operation to completion. Beast applies its timeout
/// only to asynchronous operations.
template <class Start>
error_code run_to_completion(asio::io_context& io, const Start& start)
{
    error_code out;
    start([&out](error_code ec, auto&&...) { out = ec; });
    io.restart();
    io.run();
    return out;
}

absl::Status unavailable(const std::string& address, error_code ec)
{
    return absl::UnavailableError(concat(address, ": ", ec.message()));
}

} // namespace

absl::StatusOr<admin_response> call_admin(const std::string& address,
                                          http::verb         method,
                                          const std::string& path,
                                          milliseconds       timeout)
{
    std::string   host;
    std::uint16_t port = 0;
    if (!parse_address(address, host, port))
        return absl::InvalidArgumentError(address + ": not a numeric IP:port");
    asio::io_context    io;
    beast::tcp_stream   stream(io);
    const tcp::endpoint peer(asio::ip::make_address(host), port);
    stream.expires_after(timeout);
    auto ec = run_to_completion(
        io, [&](auto done) { stream.async_connect(peer, std::move(done)); });
    if (ec)
        return unavailable(address, ec);

    http_request request(method, path, 11); // HTTP/1.1
    request.set(http::field::host, address);
    request.keep_alive(false);
    request.prepare_payload();
    ec = run_to_completion(io, [&](auto done) {
        http::async_write(stream, request, std::move(done));
    });
    if (ec)
        return unavailable(address, ec);

    beast::flat_buffer                       buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(max_body_size);
    ec = run_to_completion(io, [&](auto done) {
        http::async_read(stream, buffer, parser, std::move(done));
    });
    if (ec)
        return unavailable(address, ec);
    return admin_response{parser.get().result_int(),
                          std::move(parser.get().body())};
}

} // namespace arbutusgate
