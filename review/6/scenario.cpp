/// Case 6: a model replica turns slow while it streams on a resumable route
/// with several stages. Three gateways, twelve model replicas, one of which
/// produces its events eight times more slowly for 6.5 s.
#include "flow.hpp"

using namespace review2;

namespace {

constexpr int    gateways       = 3;
constexpr int    models         = 12;
constexpr int    stream_clients = 12; ///< At each gateway.
constexpr int    order_clients  = 8;  ///< At each gateway.
constexpr int    events         = 14;
constexpr double event_ms       = 170;
constexpr double slow_factor    = 8;
constexpr double slow_for_ms    = 6500;
constexpr double order_ms       = 300;
constexpr double calm_ms        = 6000;
constexpr double tail_ms        = 6000;

std::atomic<int>  slow_model{-1};
std::atomic<bool> stopping{false};

void serve_model(run_log& runs, int number, connection& to, const message& it)
{
    const auto id = id_of(it);
    if (id.empty()) {
        to.write(answer(200, "", ""));
        return;
    }
    runs.arrived(id, slow_model != number);
    bool open =
        to.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" +
                 proof_of(it) + "Transfer-Encoding: chunked\r\n\r\n");
    const auto last = std::atoi(it.header("Last-Event-Id").c_str());
    for (int n = last + 1; open && n <= events; ++n) {
        pause_ms(slow_model == number ? event_ms * slow_factor : event_ms);
        open = to.write(chunk_of(event_of(id, n)));
    }
    if (open)
        to.write("0\r\n\r\n");
    else
        to.shut();
}

/// Id of a part of a prompt.
std::string hex_of(const std::string& text)
{
    char out[32];
    std::snprintf(out, sizeof out, "%08zx",
                  std::hash<std::string>{}(text)&0xffffffffU);
    return out;
}

struct totals
{
    std::atomic<int> streams{0};
    std::atomic<int> whole{0};
    std::atomic<int> cut{0};
    std::atomic<int> orders{0};
    std::atomic<int> answered{0};
    std::atomic<int> lost{0}; ///< LOST: kept connection, passed on, no answer.
};

/// One stream after the other, each on a new connection.
void stream_client(int port, const std::string& name, totals& all,
                   record_file& record)
{
    for (int n = 0; !stopping; ++n) {
        const auto id = name + "-" + std::to_string(n);
        const auto to = connection::open(port, 1000);
        if (!to) {
            pause_ms(200);
            continue;
        }
        ++all.streams;
        to->write(request_of("POST", "/review/a", id, 15'000,
                             "Arbutusgate-Model: m\r\n"
                             "Arbutusgate-Token-Usage: 1460,80\r\n"
                             "Arbutusgate-Prompt-Prefix: 5c1e07a2:800," +
                                 hex_of(name) + ":410," + hex_of(id) +
                                 ":250\r\nArbutusgate-Pieces: 1,2,2\r\n"
                                 "Arbutusgate-Piece-Key: 7c1e07a291bd\r\n",
                             "x"));
        message    it;
        const bool head  = to->read(it, now_ms() + 16'000, true);
        const bool whole = head && it.whole && it.status() == 200;
        ++(whole ? all.whole : all.cut);
        record.line("stream " + id +
                    (head ? " " + std::to_string(it.status()) : " no answer") +
                    (whole ? " whole" : " not whole"));
        pause_ms(50);
    }
}

/// Orders on a connection that is kept.
void order_client(int port, const std::string& name, run_log& runs, totals& all,
                  record_file& record)
{
    std::unique_ptr<connection> to;
    bool                        kept = false;
    for (int n = 0; !stopping; ++n) {
        const auto id = name + "-" + std::to_string(n);
        if (!to) {
            to   = connection::open(port, 1000);
            kept = false;
        }
        if (!to) {
            pause_ms(200);
            continue;
        }
        ++all.orders;
        to->write(request_of("POST", "/order/a", id, 1500, "", "order"));
        message it;
        if (to->read(it, now_ms() + 2500, true) && it.whole) {
            ++all.answered;
            if (it.status() != 200)
                record.line("order " + id + " " + std::to_string(it.status()));
            kept = lower(it.header("connection")) != "close";
            if (!kept)
                to.reset();
        }
        else {
            const auto seen  = runs.find(id);
            const bool ended = to->ended();
            if (ended && kept && seen.arrived > 0)
                ++all.lost;
            record.line("order " + id +
                        (ended ? " connection closed" : " late") + ", kept " +
                        std::to_string(kept) + ", arrived " +
                        std::to_string(seen.arrived) + " times");
            to.reset();
        }
        pause_ms(20);
    }
}

} // namespace

int main(int argc, char** argv)
{
    record_file            record(argc > 1 ? argv[1] : "record.txt");
    const temporary_folder folder;
    run_log                runs;
    totals                 all;
    store                  platform;

    const std::string                    zones[] = {"gp-a", "gp-b", "gp-c"};
    std::vector<std::unique_ptr<server>> servers;
    const auto add = [&](const std::string& service, int number,
                         server::handler handle) {
        servers.push_back(std::make_unique<server>(std::move(handle)));
        platform.put("servers/i-" + service + std::to_string(number),
                     entry_of(service, servers.back()->port(),
                              zones[number % 3], unix_ms()));
    };
    platform.put(
        "op/config",
        configuration_of(
            route_of("review", "streaming", "llm", 15'000,
                     R"(,"maxAttempts":2,"sessionAffinity":true,)"
                     R"("streamResume":true,"gapTargetMs":250,"stages":[)"
                     R"({"service":"pricing","after":[],"bytes":8000},)"
                     R"({"service":"dealers","after":[0],"bytes":60000},)"
                     R"({"service":"delivery","after":[1],"bytes":6000}])") +
                "," +
                route_of("order", "non_idempotent", "orders", 1500,
                         ",\"maxAttempts\":1"),
            model_service("llm") + "," + plain_service("orders") + "," +
                stage_service("pricing") + "," + stage_service("dealers") +
                "," + stage_service("delivery")));
    for (int n = 0; n < models; ++n)
        add("llm", n, [&runs, n](connection& to, const message& it) {
            serve_model(runs, n, to, it);
        });
    for (int n = 0; n < 3; ++n) {
        add("orders", n, [&runs](connection& to, const message& it) {
            runs.arrived(id_of(it), true);
            pause_ms(order_ms);
            to.write(answer(200, proof_of(it), "done"));
        });
        for (const auto* it : {"pricing", "dealers", "delivery"})
            add(it, n, serve_stage);
    }

    std::vector<std::unique_ptr<gateway>> fleet;
    std::vector<int>                      seeds;
    for (int n = 0; n < gateways; ++n) {
        fleet.push_back(std::make_unique<gateway>("g" + std::to_string(n),
                                                  zones[n], folder.path()));
        seeds.push_back(fleet.back()->peer());
    }
    for (const auto& it : fleet) {
        it->write_settings(platform.port(), seeds);
        it->start();
    }
    for (const auto& it : fleet) {
        if (!it->await_ready()) {
            std::cout << "a gateway is not ready\n";
            return 2;
        }
    }
    pause_ms(4000);

    std::vector<std::thread> clients;
    for (int n = 0; n < gateways; ++n) {
        const int  port = fleet[n]->front();
        const auto name = fleet[n]->name();
        for (int k = 0; k < stream_clients; ++k)
            clients.emplace_back([&, port, name, k] {
                stream_client(port, name + "-stream" + std::to_string(k), all,
                              record);
            });
        for (int k = 0; k < order_clients; ++k)
            clients.emplace_back([&, port, name, k] {
                order_client(port, name + "-order" + std::to_string(k), runs,
                             all, record);
            });
    }
    int        crashes = 0;
    const auto watch   = [&](double ms) {
        for (const auto end = now_ms() + ms; now_ms() < end; pause_ms(20)) {
            for (const auto& it : fleet) {
                int status = 0;
                if (!it->ended(status))
                    continue;
                ++crashes;
                record.line(
                      "gateway " + it->name() + " ended by itself, " +
                      (WIFSIGNALED(status)
                           ? "signal " + std::to_string(WTERMSIG(status))
                           : "status " + std::to_string(WEXITSTATUS(status))));
                it->start();
            }
        }
    };
    watch(calm_ms);
    if (with_trouble()) {
        record.line("model replica 0 turns slow");
        slow_model = 0;
    }
    watch(slow_for_ms);
    if (with_trouble())
        record.line("model replica 0 works as usual");
    slow_model = -1;
    watch(tail_ms);
    stopping = true;
    for (auto& it : clients)
        it.join();

    const auto summary =
        "streams " + std::to_string(all.streams) + ", whole " +
        std::to_string(all.whole) + ", not whole " + std::to_string(all.cut) +
        "; orders " + std::to_string(all.orders) + ", answered " +
        std::to_string(all.answered) +
        ", passed on from a kept connection that was closed without an "
        "answer " +
        std::to_string(all.lost) + "; gateways that ended by themselves " +
        std::to_string(crashes);
    record.line(summary);
    std::cout << summary << '\n';
    return all.lost > 3 ? 1 : 0;
}
