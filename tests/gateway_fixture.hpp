/// Fixture of the gateway tests: a gateway with scripted targets on loopback
/// and callers that send raw bytes.
#pragma once

#include "fiber_http.hpp"
#include "gateway.hpp"
#include "http_codec.hpp"
#include "reserved_addresses.hpp"
#include "state_reader.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <sys/socket.h>

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace arbutusgate::gateway::test {

namespace asio = boost::asio;
using tcp      = asio::ip::tcp;

/// One connection accepted by a scripted target.
class target_session
{
public:
    explicit target_session(tcp::socket socket) : socket_(std::move(socket)) {}

    /// Reads head and body of the next request.
    /// \return empty when the peer has closed.
    std::string read()
    {
        boost::system::error_code ec;
        const auto n = asio::read_until(socket_, asio::dynamic_buffer(buffer_),
                                        "\r\n\r\n", ec);
        if (ec)
            return {};
        auto       head = buffer_.substr(0, n);
        const auto at   = head.find("Content-Length: ");
        const auto size =
            at == std::string::npos ? 0U : std::stoul(head.substr(at + 16));
        buffer_.erase(0, n);
        while (buffer_.size() < size && !ec) {
            std::array<char, 4096> part{};
            const auto received = socket_.read_some(asio::buffer(part), ec);
            buffer_.append(part.data(), received);
        }
        head += buffer_.substr(0, size);
        buffer_.erase(0, size);
        return head;
    }
    /// Reads only the head of the next request.
    std::string read_head()
    {
        boost::system::error_code ec;
        asio::read_until(socket_, asio::dynamic_buffer(buffer_), "\r\n\r\n",
                         ec);
        return buffer_;
    }
    /// \return false when the peer has closed.
    bool write(const std::string& text)
    {
        boost::system::error_code ec;
        asio::write(socket_, asio::buffer(text), ec);
        return !ec;
    }
    /// Ends the connection with a reset.
    void reset()
    {
        boost::system::error_code ec;
        socket_.set_option(asio::socket_base::linger(true, 0), ec);
        socket_.close(ec);
    }
    /// Waits until the peer has closed.
    void wait_closed()
    {
        boost::system::error_code ec;
        char                      byte = 0;
        while (!ec)
            socket_.read_some(asio::buffer(&byte, 1), ec);
    }

private:
    tcp::socket socket_;
    std::string buffer_;
};

/// Server that runs a script for each connection, each on a thread of its own.
class scripted_target
{
public:
    using script = std::function<void(target_session&)>;

    explicit scripted_target(script run)
        : run_(std::move(run)), acceptor_(io_, endpoint_of(reserved_[0])),
          port_(acceptor_.local_endpoint().port()),
          thread_([this] { accept(); })
    {
    }
    ~scripted_target()
    {
        stop_ = true;
        boost::system::error_code ec;
        tcp::socket               wake(io_);
        wake.connect({asio::ip::address_v4::loopback(), port_}, ec);
        thread_.join();
        for (auto& session : sessions_)
            session.join();
    }

    /// Refuses connections from now on. The port stays reserved.
    void stop_listening() { ::shutdown(acceptor_.native_handle(), SHUT_RDWR); }

    std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
    std::vector<std::string> requests()
    {
        std::lock_guard lock(mutex_);
        return requests_;
    }
    /// Adds a request to requests().
    void note(std::string request)
    {
        std::lock_guard lock(mutex_);
        requests_.push_back(std::move(request));
    }

private:
    void accept()
    {
        while (!stop_) {
            boost::system::error_code ec;
            tcp::socket               socket(io_);
            acceptor_.accept(socket, ec);
            if (ec || stop_)
                return;
            sessions_.emplace_back(
                [this, session = std::make_shared<target_session>(
                           std::move(socket))] { run_(*session); });
        }
    }

    script                   run_;
    asio::io_context         io_;
    reserved_addresses       reserved_{1};
    tcp::acceptor            acceptor_;
    std::uint16_t            port_;
    std::atomic<bool>        stop_{false};
    std::mutex               mutex_;
    std::vector<std::string> requests_;
    std::vector<std::thread> sessions_;
    std::thread              thread_;
};

/// Reader of a published state that never changes.
class fixed_reader final : public state_reader
{
public:
    using pause_time = std::shared_ptr<std::atomic<milliseconds>>;

    /// \param pause the next watch() blocks its thread for so long, once.
    fixed_reader(asio::io_context& io, configuration config,
                 std::vector<target> targets, pause_time pause = nullptr)
        : io_(io), config_(std::move(config)), targets_(std::move(targets)),
          pause_(std::move(pause))
    {
    }

    absl::StatusOr<configuration_read> read_configuration(milliseconds) override
    {
        return configuration_read{config_, 0};
    }
    absl::StatusOr<state_page> read_targets(const std::string&,
                                            milliseconds) override
    {
        state_page out;
        for (const auto& item : targets_)
            out.entries.emplace_back(item);
        return out;
    }
    absl::StatusOr<state_changes> watch(std::uint64_t after, milliseconds wait,
                                        milliseconds) override
    {
        if (pause_)
            std::this_thread::sleep_for(pause_->exchange(milliseconds{0}));
        fiber_sleep(io_, wait);
        return state_changes{{}, after};
    }
    absl::StatusOr<configuration>
    parse_configuration(const std::string&) const override
    {
        return config_;
    }

private:
    asio::io_context&   io_;
    configuration       config_;
    std::vector<target> targets_;
    pause_time          pause_;
};

/// A gateway with the routes /once/, /again/, /stream/, /resume/, /staged/,
/// /staged-stream/, /chain-stream/, which has three stages, and /quick/, whose
/// latency goal is short, of host "a.example" and the service "s". The route
/// /order/ leads to the service "p" of the stages, /split/ to "s" and "t".
class gateway_fixture
{
public:
    explicit gateway_fixture(std::vector<target> targets)
        : gateway_fixture(std::move(targets), "127.0.0.1:0", {})
    {
    }
    /// \param peer address for other daemons.
    /// \param seeds addresses of other daemons.
    gateway_fixture(std::vector<target> targets, const std::string& peer,
                    std::vector<std::string> seeds);
    ~gateway_fixture() = default;

    /// Sends raw bytes on a new connection and reads until the gateway closes
    /// it.
    /// \param port 0: the port for callers.
    std::string exchange(const std::string& text, std::uint16_t port = 0) const;
    /// A request of the caller with key "k".
    /// \param extra further header lines.
    static std::string      request(const std::string& path,
                                    const std::string& body  = "body",
                                    const std::string& extra = "");
    std::uint16_t           port() const { return gateway_->port(); }
    gateway&                daemon() { return *gateway_; }
    const gateway_settings& settings() const { return settings_; }
    /// Pauses the daemon's thread soon, and waits until the pause has begun.
    void pause(milliseconds time);
    /// Drains the daemon with a grace of the given time.
    void drain(milliseconds grace);

private:
    gateway_settings         settings_;
    platform::http_codec     codec_;
    fixed_reader::pause_time pause_ =
        std::make_shared<std::atomic<milliseconds>>(milliseconds{0});
    std::unique_ptr<gateway> gateway_;
};

/// Sends raw bytes on a new connection to a port of 127.0.0.1 and reads until
/// the other side closes it.
std::string exchange(std::uint16_t port, const std::string& text);

/// Gateways that know each other, with the same targets.
std::vector<std::unique_ptr<gateway_fixture>>
make_fleet(std::size_t n, const std::vector<target>& targets);

inline target make_target(const std::string& id, const std::string& address,
                          const std::string& service = "s")
{
    return {id, service, address, "d1", 8, false, 0};
}

/// A signed response with the attempt id of request().
/// \param extra further header lines.
inline std::string answer(const std::string& body,
                          const std::string& status = "200 OK",
                          const std::string& extra  = "")
{
    return "HTTP/1.1 " + status +
           "\r\nArbutusgate-Attempt-Id: 9c41\r\n"
           "Arbutusgate-Server-Signature: sig\r\n" +
           extra + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

/// Head of a signed event stream in chunked encoding.
inline std::string stream_head()
{
    return "HTTP/1.1 200 OK\r\nArbutusgate-Attempt-Id: 9c41\r\n"
           "Arbutusgate-Server-Signature: sig\r\n"
           "Content-Type: text/event-stream\r\n"
           "Transfer-Encoding: chunked\r\n\r\n";
}

/// One chunk of the chunked encoding.
inline std::string chunk(const std::string& text)
{
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
}

} // namespace arbutusgate::gateway::test
