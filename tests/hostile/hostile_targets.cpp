/// Targets, stage targets, another daemon and a store that send bytes without
/// end to a gateway process, at each place of the grammar of a response. The
/// process must live, its resident memory must stay under the bound that its
/// settings state, and requests to a sound service and readiness checks must be
/// answered in time all the while.
///   arbutusgate-gateway-hostile-targets GATEWAY --logs DIR --case NAME
///   arbutusgate-gateway-hostile-targets --list
/// Exit status: 0 if the case held, 1 if not, 2 if it could not run.
#include "gateway_process.hpp"
#include "hostile_main.hpp"
#include "store_server.hpp"

#include <iostream>

namespace {

using namespace review;

constexpr int flood_ms = 2000;
/// Callers of each faulty service.
constexpr int callers = 6;
/// Kept connections that ask the sound service.
constexpr int probes            = 4;
constexpr int probe_interval_ms = 40;
/// Stated by the route of the sound service as targetLatencyMs.
constexpr int         answer_limit_ms  = 1000;
constexpr int         caller_limit_ms  = 3000;
constexpr std::size_t block_bytes      = 64 * 1024;
constexpr std::size_t never_sent_bytes = std::size_t{1} << 40U;

/// Where a response goes on without end.
struct place
{
    std::string name;
    std::string guards_against;
    /// The response up to there; "STATUS", "ID" and "TYPE" are replaced.
    std::string begin;
    std::string unit; ///< Sent again and again after it.
};

std::vector<place> all_places()
{
    const std::string line    = "HTTP/1.1 STATUS Status\r\n";
    const std::string head    = line + "Arbutusgate-Attempt-Id: ID\r\n"
                                       "Arbutusgate-Server-Signature: proof.ID\r\n"
                                       "Content-Type: TYPE\r\n";
    const auto        chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string first   = "6\r\ndata: \r\n";
    const std::string text(100, 'x');
    return {
        {"status-line", "a status line without an end", "HTTP/1.1 STATUS ",
         text},
        {"header-line", "a header field without an end",
         line + "X-Field: ", text},
        {"header-fields", "header fields without end", line,
         "X-Field: " + text + "\r\n"},
        {"interim-heads", "interim responses without end", "",
         "HTTP/1.1 103 Early Hints\r\nLink: " + text + "\r\n\r\n"},
        {"size-junk", "junk where the size of the first chunk is due", chunked,
         text},
        {"size-junk-later", "junk where the size of a later chunk is due",
         chunked + first, text},
        {"size-zeros", "leading zeros of a chunk's size without end", chunked,
         "0000000000"},
        {"size-digits", "digits of a chunk's size without end", chunked + "1",
         "fffffffff"},
        {"extension", "a chunk's extension without an end",
         chunked + "6;e=", text},
        {"extensions", "large extensions of one chunk after another", chunked,
         "1;e=" + std::string(4000, 'e') + "\r\nx\r\n"},
        {"after-chunk", "junk where the line break after a chunk is due",
         chunked + "6\r\ndata: ", text},
        {"trailer-line", "a trailer field without an end",
         chunked + first + "0\r\nX-Trailer: ", text},
        {"trailers", "trailer fields without end", chunked + first + "0\r\n",
         "X-Trailer: " + text + "\r\n"},
        {"one-chunk", "a chunk that never ends",
         chunked + "7fffffffffff\r\ndata: ", text},
        {"one-byte-chunks", "chunks of one byte without end", chunked,
         "1\r\nx\r\n"},
        {"length", "a body with a huge length",
         head + "Content-Length: " + std::to_string(never_sent_bytes) +
             "\r\n\r\n",
         text},
        {"no-length", "a body without a length that never ends", head + "\r\n",
         text},
        {"incomplete-event", "pieces of a stream that complete no event",
         chunked, chunk("data: x\n")},
        {"one-byte-event", "an event in parts of one byte", chunked,
         chunk("a") + chunk("\n")},
        {"small-events", "events of one line break without end", chunked,
         chunk(std::string(4000, '\n'))},
        {"events", "whole events without end", chunked,
         chunk("data: " + text + "\n\n")},
    };
}

void replace_all(std::string& text, const std::string& from,
                 const std::string& to)
{
    for (auto at = text.find(from); at != std::string::npos;
         at      = text.find(from, at + to.size()))
        text.replace(at, from.size(), to);
}

enum class pace
{
    full,
    bytes, ///< One byte in each send.
};

enum class sender
{
    targets,
    stage_target,
    daemon,
    store,
};

/// One place, pace and sender.
struct hostile_case
{
    std::string name;
    place       at;
    pace        speed = pace::full;
    sender      from  = sender::targets;
};

std::vector<hostile_case> all_cases()
{
    std::vector<hostile_case> out;
    for (const auto& it : all_places()) {
        out.push_back({it.name, it});
        out.push_back({it.name + "-bytes", it, pace::bytes});
        out.push_back(
            {it.name + "-stage", it, pace::full, sender::stage_target});
        out.push_back({it.name + "-daemon", it, pace::full, sender::daemon});
        out.push_back({it.name + "-store", it, pace::full, sender::store});
    }
    return out;
}

/// Sends without end until the connection ends.
class flood
{
public:
    flood(const hostile_case& it, int status, std::string type)
        : case_(it), status_(std::to_string(status)), type_(std::move(type))
    {
        while (block_.size() < block_bytes)
            block_ += it.at.unit;
    }

    void send(connection& to, const message& request)
    {
        ++requests_;
        auto begin = case_.at.begin;
        replace_all(begin, "STATUS", status_);
        replace_all(begin, "ID", request.header("arbutusgate-attempt-id"));
        replace_all(begin, "TYPE", type_);
        bool open = to.write(begin);
        for (std::size_t n = 0; open; ++n)
            open = case_.speed == pace::full
                       ? to.write(block_)
                       : to.write(block_.substr(n % block_.size(), 1));
    }
    int requests() const { return requests_; }

private:
    const hostile_case& case_;
    std::string         status_;
    std::string         type_;
    std::string         block_;
    std::atomic<int>    requests_{0};
};

/// Passes requests on to the store, until it is told to send without end.
class store_front
{
public:
    store_front(const store_server& behind, flood& endless)
        : address_(behind.address()), endless_(endless)
    {
    }
    std::string address() const { return address_of(server_.port()); }
    void        begin_flood() { flooding_ = true; }

private:
    void serve(connection& to, const message& it)
    {
        if (flooding_)
            return endless_.send(to, it);
        const auto port   = std::stoi(address_.substr(address_.rfind(':') + 1));
        const auto behind = connection::open(port);
        if (!behind)
            return to.shut();
        message answer;
        behind->write(it.start + "\r\nHost: s\r\n\r\n");
        if (!behind->read(answer))
            return to.shut();
        to.write(json_answer(answer.body, answer.status()));
    }

    std::string       address_;
    flood&            endless_;
    std::atomic<bool> flooding_{false};
    server            server_{[this](connection& to, const message& it) {
        serve(to, it);
    }};
};

/// A faulty service and the status and type of its responses.
struct faulty_service
{
    const char* name;
    const char* route_type;
    int         status;
};

constexpr faulty_service faulty_services[] = {
    {"plain-200", "idempotent", 200},
    {"plain-500", "idempotent", 500},
    {"stream-200", "streaming", 200},
    {"stream-500", "streaming", 500},
};

bool is_stream(const faulty_service& it)
{
    return std::string(it.route_type) == "streaming";
}

std::string configuration()
{
    std::string routes;
    std::string services;
    const auto  add = [&](const std::string& name, const std::string& type,
                         const std::string& service, const std::string& rest) {
        routes += "{\"name\":\"" + name +
                  "\",\"host\":\"hostile.example\",\"pathPrefix\":\"/" + name +
                  "/\",\"routeType\":\"" + type +
                  "\",\"timeoutMs\":5000,\"targetLatencyMs\":" +
                  std::to_string(answer_limit_ms) +
                  ",\"priority\":0,\"maxAttempts\":2,\"service\":\"" + service +
                  "\"" + rest + "},";
    };
    for (const auto& it : faulty_services) {
        add(it.name, it.route_type, it.name,
            is_stream(it) ? ",\"streamResume\":true" : "");
        services += "{\"name\":\"" + std::string(it.name) +
                    "\",\"healthCheck\":\"/health\",\"maxConnections\":200},";
    }
    add("staged", "idempotent", "sound",
        R"(,"stages":[{"service":"stage","after":[],"bytes":800}])");
    add("sound", "idempotent", "sound", "");
    routes.pop_back();
    return R"({"version":1,"routes":[)" + routes + R"(],"services":[)" +
           services +
           R"({"name":"stage","healthCheck":"/health","maxConnections":200,
"pieces":{"slots":4,"queue":4,"batch":10,"callMs":60,"itemMs":1,
"headroomMb":50,"handleS":4,"linkMbps":10000}},
{"name":"sound","healthCheck":"/health","maxConnections":200}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,
"headerTimeoutMs":3000,"idleTimeoutMs":20000}})";
}

std::string request_text(const std::string& route, const std::string& id)
{
    return "POST /" + route +
           "/ HTTP/1.1\r\nHost: hostile.example\r\n"
           "Arbutusgate-Attempt-Id: " +
           id +
           "\r\nArbutusgate-Deadline-Ms: " + std::to_string(caller_limit_ms) +
           "\r\n" +
           (route == "staged" ? "Arbutusgate-Pieces: 1\r\n"
                                "Arbutusgate-Piece-Key: k" +
                                    id + "\r\n"
                              : "") +
           "Content-Length: 2\r\n\r\nhi";
}

/// What the probes and the readiness checks saw.
struct observed
{
    std::atomic<int>    asked{0};
    std::atomic<int>    failed{0}; ///< No 200 within answer_limit_ms.
    std::atomic<int>    unready{0};
    std::atomic<double> slowest_ms{0};
};

bool answered(connection& to, const std::string& route, const std::string& id)
{
    message answer;
    return to.write(request_text(route, id)) && to.read(answer) &&
           answer.status() == 200;
}

void probe(int port, int number, observed& out, const std::atomic<bool>& stop)
{
    connection_ptr to;
    for (int n = 0; !stop; ++n) {
        if (!to && (to = connection::open(port)))
            to->set_timeout(answer_limit_ms);
        const auto id = "p" + std::to_string(number) + "x" + std::to_string(n);
        const auto start = clock_type::now();
        ++out.asked;
        if (!to || !answered(*to, "sound", id)) {
            ++out.failed;
            to.reset();
        }
        const auto took =
            std::chrono::duration<double, std::milli>(clock_type::now() - start)
                .count();
        if (took > out.slowest_ms)
            out.slowest_ms = took;
        pause_for(probe_interval_ms);
    }
}

/// Sends requests to a faulty route, each on a new connection.
void call(int port, const std::string& route, int number,
          const std::atomic<bool>& stop)
{
    for (int n = 0; !stop; ++n) {
        const auto to = connection::open(port);
        if (!to) {
            pause_for(20);
            continue;
        }
        to->set_timeout(caller_limit_ms);
        to->write(request_text(route, route + std::to_string(number) + "x" +
                                          std::to_string(n)));
        message answer;
        if (to->read_head(answer))
            to->read_body(answer, [](const std::string&) {});
    }
}

void serve_sound(connection& to, const message& it)
{
    to.write(answer_head(it, "text/plain") + "Content-Length: 2\r\n\r\nok");
}

int run(const hostile_case& it, const std::string& program,
        const std::string& folder)
{
    // The threads of the stand-ins still run at the end.
    auto& state   = *new store_server;
    auto& sound   = *new server(serve_sound);
    auto& endless = *new flood(it, 200, "application/json");
    auto& others  = *new server([&](connection& to, const message& request) {
        endless.send(to, request);
    });
    auto& front   = *new store_front(state, endless);
    std::vector<flood*> floods{&endless};
    for (const auto& service : faulty_services) {
        auto& one =
            *new flood(it, service.status,
                       is_stream(service) ? "text/event-stream" : "text/plain");
        auto& target = *new server(
            [&one](connection& to, const message& m) { one.send(to, m); });
        floods.push_back(&one);
        state.put(
            "servers/" + std::string(service.name),
            server_entry(service.name, target.port(), "z-a", 128, unix_ms()));
    }
    state.put("servers/sound",
              server_entry("sound", sound.port(), "z-a", 128, unix_ms()));
    state.put("servers/stage",
              server_entry("stage", others.port(), "z-a", 4, unix_ms()));
    state.put("op/config", configuration());
    gateway_process gateway;
    const bool      daemon = it.from == sender::daemon;
    bool            usable =
        gateway.start(program, folder, front.address(),
                      daemon ? "\"" + address_of(others.port()) + "\"" : "");
    if (usable) {
        const auto to = connection::open(gateway.front());
        to->set_timeout(answer_limit_ms);
        usable = answered(*to, "sound", "first");
    }
    if (!usable && !daemon) {
        std::cout << it.name << ": could not run" << std::endl;
        return could_not;
    }
    const auto               calm = gateway.status_mb("VmRSS");
    std::atomic<bool>        stop{false};
    observed                 seen;
    std::vector<std::thread> threads;
    const auto               add_callers = [&](const std::string& route) {
        for (int n = 0; n < callers; ++n)
            threads.emplace_back(
                [&, route, n] { call(gateway.front(), route, n, stop); });
    };
    for (int n = 0; n < probes; ++n)
        threads.emplace_back([&, n] { probe(gateway.front(), n, seen, stop); });
    if (it.from == sender::targets) {
        for (const auto& service : faulty_services)
            add_callers(service.name);
    }
    else if (it.from == sender::stage_target) {
        add_callers("staged");
    }
    else if (it.from == sender::store) {
        front.begin_flood();
    }
    const auto end    = clock_type::now() + milliseconds{flood_ms};
    double     memory = 0;
    while (clock_type::now() < end && gateway.lives()) {
        seen.unready += gateway.is_ready() ? 0 : 1;
        memory = std::max(memory, gateway.status_mb("VmRSS"));
        pause_for(probe_interval_ms);
    }
    // The kernel's own maximum, since the samples can miss a peak.
    memory           = std::max(memory, gateway.status_mb("VmHWM"));
    const bool lives = gateway.lives();
    stop             = true;
    int requests     = 0;
    for (const auto* one : floods)
        requests += one->requests();
    const bool ok = lives && memory <= memory_mb && seen.failed == 0 &&
                    seen.unready == 0 && requests > 0;
    std::cout << it.name << ": " << (ok ? "held" : "broken")
              << " lives=" << lives << " memory_mb=" << memory << "/"
              << memory_mb << " calm_mb=" << calm << " asked=" << seen.asked
              << " failed=" << seen.failed << " slowest_ms=" << seen.slowest_ms
              << "/" << answer_limit_ms << " unready=" << seen.unready
              << " floods=" << requests << " (guards against "
              << it.at.guards_against << ")" << std::endl;
    for (auto& thread : threads)
        thread.detach();
    return ok ? held : broken;
}

} // namespace

int main(int argc, char** argv)
{
    run_hostile_case(argc, argv, all_cases(), run);
}
