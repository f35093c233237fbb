/// Clients that exceed what a gateway process can hold. Each case starts one
/// gateway, a stand-in store and a target, and lets a crowd send what no
/// ordinary client sends. The process must live, its resident memory and its
/// descriptors must stay under the bounds that its settings state, and an
/// ordinary request must be answered while the crowd is still connected.
///   arbutusgate-gateway-hostile GATEWAY --logs DIR --case NAME
///   arbutusgate-gateway-hostile --list
/// Exit status: 0 if the case held, 1 if not, 2 if it could not run.
#include "gateway_process.hpp"
#include "hostile_main.hpp"
#include "store_server.hpp"

#include <iostream>

namespace {

using namespace review;

// Stated in the settings and the configuration of the test.
constexpr std::size_t max_body = mib;

// 80 bodies of 1 MiB exceed the memory of 64 MiB; 80 connections fit into the
// 100 that the descriptors allow.
constexpr int body_crowd = 80;
// 20 clients with 8 MiB each exceed the memory, too.
constexpr int         endless_crowd = 20;
constexpr std::size_t endless_bytes = 8 * mib;
/// Bytes by which a body stops short of its end.
constexpr std::size_t missing = 64;

constexpr int load_limit_ms   = 60'000; ///< A crowd that is not done gives up.
constexpr int answer_limit_ms = 30'000;
/// Reading takes longer than a case, so that incomplete bodies stay open.
constexpr int header_timeout_ms = 90'000;

const std::string configuration =
    R"({"version":1,"routes":[{"name":"again","host":"hostile.example",
"pathPrefix":"/again/","routeType":"idempotent","timeoutMs":20000,
"targetLatencyMs":20000,"priority":0,"service":"orders","maxAttempts":1}],
"services":[{"name":"orders","healthCheck":"/health","maxConnections":200}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":)" +
    std::to_string(max_body) + R"(,"headerTimeoutMs":)" +
    std::to_string(header_timeout_ms) + R"(,"idleTimeoutMs":90000}})";

/// \param bytes size of the response that the target sends.
std::string head_of(const std::string& id, std::size_t bytes,
                    const std::string& framing)
{
    return "POST /again/" + std::to_string(bytes) +
           " HTTP/1.1\r\nHost: hostile.example\r\nArbutusgate-Attempt-Id: " +
           id + "\r\nArbutusgate-Deadline-Ms: 20000\r\n" + framing + "\r\n\r\n";
}

std::string head_by_length(const std::string& id, std::size_t body)
{
    return head_of(id, 100, "Content-Length: " + std::to_string(body));
}

std::string head_in_chunks(const std::string& id)
{
    return head_of(id, 100, "Transfer-Encoding: chunked");
}

std::string repeated(const std::string& unit, std::size_t count)
{
    std::string out;
    out.reserve(unit.size() * count);
    for (std::size_t n = 0; n < count; ++n)
        out += unit;
    return out;
}

void serve_target(connection& to, const message& it)
{
    const auto        target = it.target();
    const std::string body(
        std::stoul("0" + target.substr(target.rfind('/') + 1)), 'r');
    to.write(answer_head(it, "text/plain") + "Content-Length: " +
             std::to_string(body.size()) + "\r\n\r\n" + body);
}

/// What each client of a crowd sends: a head, then a text again and again.
struct hostile_case
{
    std::string name;
    std::string guards_against;
    int         clients = 0;
    std::string head; ///< "ID" stands for the client's attempt id.
    std::string unit;
    std::size_t bytes    = 0; ///< After the head.
    std::size_t fragment = 0; ///< Bytes in one send().
    bool        reads    = true;
};

std::vector<hostile_case> all_cases()
{
    constexpr std::size_t large    = 64 * 1024;
    const auto            by_chunk = head_in_chunks("ID");
    const auto            one_byte = repeated("1\r\nb\r\n", 10'000);
    const auto            chunked  = chunk(std::string(large, 'b'));
    const std::string     text(large, 'b');
    const auto            pipelined = head_of("ID", large, "Content-Length: 0");
    return {
        {"trailers", "trailers that are kept without a bound", endless_crowd,
         by_chunk + "5\r\nhello\r\n0\r\n",
         repeated("X-Trailer: " + std::string(100, 't') + "\r\n", 500),
         endless_bytes, large},
        {"bodies", "bodies by length whose sum is not bounded", body_crowd,
         head_by_length("ID", max_body), text, max_body - missing, large},
        {"bodies-in-fragments", "bodies that arrive in small pieces",
         body_crowd, head_by_length("ID", max_body), text, max_body - missing,
         1000},
        {"large-chunks", "chunked bodies whose sum is not bounded", body_crowd,
         by_chunk, chunked, max_body / large * chunked.size() - missing, large},
        {"one-byte-chunks",
         "chunked bodies that take the processor for each byte", body_crowd,
         by_chunk, one_byte, max_body * 6 - missing * 6, one_byte.size()},
        {"chunk-extensions", "chunk extensions that are kept without a bound",
         endless_crowd, by_chunk + "5",
         repeated(";e=" + text.substr(0, 97), 600), endless_bytes, large},
        {"pipelined", "responses that are made for a client that reads none",
         endless_crowd, pipelined, repeated(pipelined, 100), 4 * mib, large,
         false},
    };
}

/// One thread sends for all clients in turn, so that none is far ahead.
class crowd
{
public:
    crowd(const hostile_case& it, int port) : case_(it)
    {
        for (int n = 0; n < it.clients; ++n) {
            client next;
            next.to         = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            const int small = 4096;
            if (!it.reads)
                ::setsockopt(next.to, SOL_SOCKET, SO_RCVBUF, &small,
                             sizeof small);
            sockaddr_in at{};
            at.sin_family      = AF_INET;
            at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
            at.sin_port        = htons(static_cast<std::uint16_t>(port));
            next.open = ::connect(next.to, reinterpret_cast<sockaddr*>(&at),
                                  sizeof at) == 0;
            ::fcntl(next.to, F_SETFL, O_NONBLOCK);
            next.head = it.head;
            next.head.replace(next.head.find("ID"), 2, "h" + std::to_string(n));
            clients_.push_back(std::move(next));
        }
    }
    crowd(const crowd&)            = delete;
    crowd& operator=(const crowd&) = delete;
    ~crowd()
    {
        for (auto& it : clients_)
            ::close(it.to);
    }

    /// Sends until each client has sent all or lost its connection, or until
    /// the gateway has taken nothing for a second.
    void run(const std::function<void()>& measure)
    {
        const auto end    = clock_type::now() + milliseconds{load_limit_ms};
        auto       moved  = clock_type::now();
        int        rounds = 0;
        for (bool active = true; active && clock_type::now() < end;) {
            active            = false;
            std::size_t moves = 0;
            for (auto& it : clients_) {
                moves += send_some(it);
                active = active || (it.open && it.sent < size_of(it));
            }
            const auto now = clock_type::now();
            if (moves > 0)
                moved = now;
            else if (now - moved > milliseconds{1000})
                return;
            else
                pause_for(1);
            if (++rounds % 8 == 0)
                measure();
        }
    }
    int open() const
    {
        return static_cast<int>(
            std::count_if(clients_.begin(), clients_.end(),
                          [](const auto& it) { return it.open; }));
    }
    std::size_t sent() const
    {
        std::size_t out = 0;
        for (const auto& it : clients_)
            out += it.sent;
        return out;
    }

private:
    struct client
    {
        int         to = -1;
        std::string head;
        std::size_t sent = 0;
        bool        open = false;
    };

    std::size_t size_of(const client& it) const
    {
        return it.head.size() + case_.bytes;
    }
    std::size_t send_some(client& it)
    {
        if (!it.open)
            return 0;
        char answer[4096];
        if (case_.reads) {
            const auto n = ::recv(it.to, answer, sizeof answer, 0);
            it.open      = n > 0 || (n < 0 && errno == EAGAIN);
        }
        if (!it.open || it.sent >= size_of(it))
            return 0;
        const bool  in_head = it.sent < it.head.size();
        const auto& text    = in_head ? it.head : case_.unit;
        const auto  from =
            in_head ? it.sent : (it.sent - it.head.size()) % case_.unit.size();
        const auto n = ::send(it.to, text.data() + from,
                              std::min({text.size() - from,
                                        size_of(it) - it.sent, case_.fragment}),
                              MSG_NOSIGNAL);
        if (n < 0)
            it.open = errno == EAGAIN;
        it.sent += n > 0 ? static_cast<std::size_t>(n) : 0;
        return n > 0 ? static_cast<std::size_t>(n) : 0;
    }

    const hostile_case& case_;
    std::vector<client> clients_;
};

/// \return the status of the response; 0 without one.
int ordinary_request(int port, std::size_t body)
{
    const auto to = connection::open(port);
    if (!to)
        return 0;
    to->set_timeout(answer_limit_ms);
    message answer;
    to->write(head_by_length("ordinary" + std::to_string(body), body) +
              std::string(body, 'o'));
    return to->read(answer) ? answer.status() : 0;
}

int run(const hostile_case& it, const std::string& program,
        const std::string& folder)
{
    // The threads of the stand-ins still run at the end.
    auto& state  = *new store_server;
    auto& target = *new server(serve_target);
    state.put("servers/orders-0",
              server_entry("orders", target.port(), "z-a", 128, unix_ms()));
    state.put("op/config", configuration);
    gateway_process gateway;
    if (!gateway.start(program, folder, state.address()) ||
        ordinary_request(gateway.front(), 100) != 200)
    {
        std::cout << it.name << ": could not run" << std::endl;
        return could_not;
    }
    const auto  calm        = gateway.status_mb("VmRSS");
    double      memory      = 0;
    std::size_t descriptors = 0;
    const auto  measure     = [&] {
        memory      = std::max(memory, gateway.status_mb("VmRSS"));
        descriptors = std::max(descriptors, gateway.descriptors());
    };
    crowd all(it, gateway.front());
    all.run(measure);
    measure();
    const auto open  = all.open();
    const auto small = ordinary_request(gateway.front(), 100);
    const auto large = ordinary_request(gateway.front(), max_body);
    measure();
    const bool lives = gateway.lives();
    // The kernel's own maximum, since the samples can miss a peak.
    memory = std::max(memory, gateway.status_mb("VmHWM"));

    const bool ok = lives && memory <= memory_mb &&
                    descriptors <= max_descriptors && small == 200 &&
                    large == 200;
    std::cout << it.name << ": " << (ok ? "held" : "broken")
              << " lives=" << lives << " memory_mb=" << memory << "/"
              << memory_mb << " calm_mb=" << calm
              << " descriptors=" << descriptors << "/" << max_descriptors
              << " small=" << small << " large=" << large
              << " sent_mb=" << all.sent() / mib << " still_open=" << open
              << "/" << it.clients << " (guards against " << it.guards_against
              << ")" << std::endl;
    return ok ? held : broken;
}

} // namespace

int main(int argc, char** argv)
{
    run_hostile_case(argc, argv, all_cases(), run);
}
