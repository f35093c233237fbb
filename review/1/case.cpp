/// Clients that leave at once, beside clients that stay. A client that leaves
/// at the moment at which its request begins to wait for a stage makes the
/// gateway hang for good.
#include "kit.hpp"

#include <random>

using namespace review;

namespace {

constexpr int run_seconds  = 60;
constexpr int stayers      = 24; ///< Clients of each gateway that stay.
constexpr int leavers      = 6;  ///< Those that leave: a fifth of all.
constexpr int leave_ms     = 20; ///< Within half of the objective of 800 ms.
constexpr int timeout_ms   = 3000;
constexpr int answer_slack = 500;
constexpr int phase_ms    = 8000; ///< The clients leave for part of each phase,
constexpr int leaving_ms  = 5500; ///< and stay for the rest.
constexpr int call_ms     = 30;
constexpr int stage_slots = 4;

record* out = nullptr;

std::atomic<bool> stop{false};
std::atomic<int>  past_timeout{0}; ///< Unanswered at the route's timeout.
std::atomic<int>  overdue{0};      ///< And unanswered half a second later.
std::atomic<int>  served{0};
std::atomic<int>  answered{0};
std::atomic<int>  left{0};
std::atomic<int>  next_id{100000};
std::atomic<int>  next_handle{0};

/// A sound stage server.
void serve_stage(connection& to, const message& it)
{
    if (it.target() != "/stage-run") {
        to.write(json_answer("{}"));
        return;
    }
    pause_for(call_ms);
    std::string items;
    for (auto at = it.body.find("\"piece\":"); at != std::string::npos;
         at      = it.body.find("\"piece\":", at + 1))
        items += (items.empty() ? "" : ",") + std::string("{\"handle\":\"") +
                 it.header("host") + "/" + std::to_string(++next_handle) +
                 "\"}";
    to.write(json_answer("{\"items\":[" + items + "]}"));
}

/// A sound model server.
void serve_model(connection& to, const message& it)
{
    pause_for(20);
    to.write(answer_head(it, "text/event-stream") +
             "Transfer-Encoding: chunked\r\n\r\n" +
             chunk("id: 1\ndata: x\n\n") + "0\r\n\r\n");
}

std::string quote(const std::string& id)
{
    return "POST /quote/1 HTTP/1.1\r\nHost: quotes.example\r\n"
           "Arbutusgate-Attempt-Id: " +
           id +
           "\r\nArbutusgate-Deadline-Ms: 6000\r\nArbutusgate-Model: m\r\n"
           "Arbutusgate-Token-Usage: 100,20\r\n"
           "Arbutusgate-Prompt-Prefix: aa:50," +
           id + ":50\r\nArbutusgate-Pieces: 1\r\nArbutusgate-Piece-Key: k" +
           id + "\r\nContent-Length: 0\r\n\r\n";
}

/// Sends one request after the other on a kept connection.
void stay(const fleet::node& at)
{
    connection_ptr to;
    bool           kept = false; ///< It has carried an answer.
    while (!stop) {
        if (!to) {
            to   = connection::open(at.front);
            kept = false;
        }
        if (!to) {
            pause_for(100);
            continue;
        }
        const auto id = "a" + std::to_string(++next_id);
        to->set_timeout(timeout_ms);
        to->write(quote(id));
        message answer;
        bool    whole = to->read(answer);
        if (!whole && answer.status() == 0 && to->is_open()) {
            // The client's own deadline is later than the route's timeout.
            past_timeout += kept ? 1 : 0;
            to->set_timeout(answer_slack);
            whole = to->read(answer);
            if (answer.status() == 0 && to->is_open()) {
                out->say("%s: no answer of the gateway in zone %s %d ms after "
                         "the route's timeout, on a %s connection",
                         id.c_str(), at.zone.c_str(), answer_slack,
                         kept ? "kept" : "new");
                overdue += kept ? 1 : 0;
            }
        }
        if (answer.status() != 0)
            ++answered;
        served += answer.status() == 200 ? 1 : 0;
        kept = whole;
        if (!whole)
            to = nullptr;
        pause_for(20);
    }
}

/// Sends a request and leaves.
void leave(const fleet::node& at, unsigned seed)
{
    std::minstd_rand random(seed);
    while (!stop) {
        if (const auto to = connection::open(at.front)) {
            to->write(quote("b" + std::to_string(++next_id)));
            const auto now = static_cast<long>(out->elapsed_ms());
            if (with_trouble() && now % phase_ms < leaving_ms) {
                std::this_thread::sleep_for(
                    std::chrono::microseconds{random() % (1000 * leave_ms)});
                ++left;
            }
            else {
                to->set_timeout(timeout_ms);
                message answer;
                to->read(answer);
            }
        }
        pause_for(40);
    }
}

constexpr const char* configuration =
    R"({"version":7,"routes":[
{"name":"quote","host":"quotes.example","pathPrefix":"/quote/",
 "routeType":"streaming","timeoutMs":3000,"targetLatencyMs":800,"priority":1,
 "service":"llm","maxAttempts":1,"sessionAffinity":true,"streamResume":false,
 "gapTargetMs":250,"stages":[{"service":"pricing","after":[],"bytes":8000}]}],
"services":[
{"name":"llm","healthCheck":"/health","maxConnections":630,
 "engine":{"slots":128,"kvCapacity":600000}},
{"name":"pricing","healthCheck":"/health","maxConnections":630,
 "pieces":{"slots":4,"queue":4,"batch":10,"callMs":30,"itemMs":1,
 "headroomMb":50,"handleS":4,"linkMbps":10000}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
 "headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

} // namespace

int main(int argc, char** argv)
{
    ::signal(SIGPIPE, SIG_IGN);
    record records(argc > 1 ? argv[1] : "record.txt");
    out = &records;
    store  state;
    server pricing_a(serve_stage);
    server pricing_b(serve_stage);
    server model_a(serve_model);
    server model_b(serve_model);
    state.put("op/config", configuration);
    state.put("servers/pricing-1", server_entry("pricing", pricing_a.port(),
                                                "z-a", stage_slots, unix_ms()));
    state.put("servers/pricing-2", server_entry("pricing", pricing_b.port(),
                                                "z-b", stage_slots, unix_ms()));
    state.put("servers/llm-1",
              server_entry("llm", model_a.port(), "z-a", 128, unix_ms()));
    state.put("servers/llm-2",
              server_entry("llm", model_b.port(), "z-b", 128, unix_ms()));
    fleet gateways({"z-a", "z-b"}, state.address());
    if (!gateways.start())
        finish(gateways, records, could_not);
    for (std::size_t n = 0; n < gateways.size(); ++n) {
        for (int k = 0; k < stayers; ++k)
            std::thread(stay, gateways.at(n)).detach();
        for (int k = 0; k < leavers; ++k)
            std::thread(leave, gateways.at(n),
                        static_cast<unsigned>(100 * n + k + 1))
                .detach();
    }
    std::set<std::size_t> silent;
    for (int second = 0; second < run_seconds; ++second) {
        pause_for(1000);
        for (std::size_t n = 0; n < gateways.size(); ++n) {
            const auto& it = gateways.at(n);
            if (silent.contains(n) || fleet::is_ready(it) ||
                fleet::is_ready(it))
                continue;
            silent.insert(n);
            const bool runs = ::waitpid(it.pid, nullptr, WNOHANG) == 0;
            records.say("the gateway in zone %s does not answer the platform's "
                        "question any more; its process %s; %d clients have "
                        "left so far",
                        it.zone.c_str(), runs ? "runs" : "has ended",
                        left.load());
        }
    }
    pause_for(timeout_ms + 2 * answer_slack);
    stop = true;
    records.say("answered %d, of these with 200 %d; on kept connections, "
                "unanswered at the timeout of "
                "their route: %d, and 500 ms later: %d; clients that left: %d",
                answered.load(), served.load(), past_timeout.load(),
                overdue.load(), left.load());
    finish(gateways, records,
           served.load() < 100 ? could_not
           : overdue.load() >= 8 && 2 * overdue.load() > past_timeout.load()
               ? broken
               : held);
}
