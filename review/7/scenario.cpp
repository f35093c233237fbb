/// Case 7: a part of prompts crashes each replica that begins to write an
/// answer on it, when the first event is out. Three gateways, eight model
/// replicas; a crashed one is back after three seconds. With EARLY=1 in the
/// environment a replica crashes when only the head and a part of the first
/// event are out.
#include "flow.hpp"

using namespace review2;

namespace {

constexpr int    gateways         = 3;
constexpr int    models           = 8;
constexpr int    sound_clients    = 4; ///< At each gateway.
constexpr int    events           = 10;
constexpr double event_ms         = 100;
constexpr double back_after_ms    = 3000;
constexpr double deadly_every_ms  = 900;
constexpr double deadly_for_ms    = 30'000;
constexpr double stable_ms        = 3000;
constexpr int    allowed_arrivals = 3;

const std::string deadly_part = "dead91bd";

std::atomic<bool> stopping{false};

struct model
{
    std::unique_ptr<server> process;
    std::atomic<double>     back_at{0}; ///< Zero: it runs.
    std::string             entry;
};

struct observed
{
    std::mutex          mutex;
    std::vector<double> crashes;
    std::vector<double> arrivals; ///< Of requests with the deadly part.
    std::atomic<int>    sound{0};
    std::atomic<int>    sound_whole{0};
};

void serve_model(model& self, observed& seen, record_file& record,
                 connection& to, const message& it)
{
    const auto id = id_of(it);
    const bool deadly =
        it.header("Arbutusgate-Prompt-Prefix").find(deadly_part) !=
        std::string::npos;
    if (deadly) {
        record.line("request " + id + " reaches " + self.entry);
        const std::lock_guard lock(seen.mutex);
        seen.arrivals.push_back(now_ms());
    }
    pause_ms(event_ms);
    bool open =
        to.write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" +
                 proof_of(it) + "Transfer-Encoding: chunked\r\n\r\n");
    const auto last = std::atoi(it.header("Last-Event-Id").c_str());
    for (int n = last + 1; open && n <= events; ++n) {
        const auto event = event_of(id, n);
        const bool early = std::getenv("EARLY") != nullptr;
        const bool dies  = deadly && with_trouble();
        open = to.write(chunk_of(dies && early ? event.substr(0, 5) : event));
        if (dies) {
            pause_ms(20);
            if (self.process->crash()) {
                self.back_at = now_ms() + back_after_ms;
                record.line(self.entry + " crashes on " + id);
                const std::lock_guard lock(seen.mutex);
                seen.crashes.push_back(now_ms());
            }
            return;
        }
        pause_ms(event_ms);
    }
    if (open)
        to.write("0\r\n\r\n");
    else
        to.shut();
}

std::string headers_of(const std::string& part, const std::string& own)
{
    return "Arbutusgate-Model: m\r\nArbutusgate-Token-Usage: 1460,80\r\n"
           "Arbutusgate-Prompt-Prefix: 5c1e07a2:800," +
           part + ":410," + own + ":250\r\n";
}

std::string hex_of(std::size_t n)
{
    char out[32];
    std::snprintf(out, sizeof out, "%08zx", n);
    return out;
}

} // namespace

int main(int argc, char** argv)
{
    record_file            record(argc > 1 ? argv[1] : "record.txt");
    const temporary_folder folder;
    observed               seen;
    store                  platform;
    const std::string      zones[] = {"gp-a", "gp-b", "gp-c"};

    platform.put(
        "op/config",
        configuration_of(route_of("chat", "streaming", "llm", 15'000,
                                  R"(,"maxAttempts":1,"sessionAffinity":true,)"
                                  R"("streamResume":false,"gapTargetMs":250)"),
                         model_service("llm")));
    std::vector<std::unique_ptr<model>> all;
    const auto                          enter = [&](int n) {
        platform.put(
                                     "servers/" + all[n]->entry,
                                     entry_of("llm", all[n]->process->port(), zones[n % 3], unix_ms()));
    };
    for (int n = 0; n < models; ++n) {
        all.push_back(std::make_unique<model>());
        auto& self = *all.back();
        self.entry = "i-llm" + std::to_string(n);
        self.process =
            std::make_unique<server>([&](connection& to, const message& it) {
                serve_model(self, seen, record, to, it);
            });
        enter(n);
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

    std::vector<std::thread> threads;
    for (int n = 0; n < gateways * sound_clients; ++n)
        threads.emplace_back([&, n] {
            const int port = fleet[n % gateways]->front();
            for (int k = 0; !stopping; ++k) {
                const auto id =
                    "sound" + std::to_string(n) + "-" + std::to_string(k);
                const auto to = connection::open(port, 1000);
                message    it;
                ++seen.sound;
                if (to &&
                    to->write(request_of(
                        "POST", "/chat/a", id, 15'000,
                        headers_of(hex_of(0x51 + n), hex_of(n * 10'000 + k)),
                        "x")) &&
                    to->read(it, now_ms() + 15'000, true) && it.whole &&
                    it.status() == 200)
                    ++seen.sound_whole;
                else
                    record.line("sound request " + id + ": " +
                                (it.first.empty() ? "no answer" : it.first) +
                                ", not whole");
                pause_ms(100);
            }
        });
    // Replicas that crashed come back.
    threads.emplace_back([&] {
        while (!stopping) {
            for (int n = 0; n < models; ++n) {
                auto& it = *all[n];
                if (it.back_at == 0 || now_ms() < it.back_at)
                    continue;
                it.back_at = 0;
                it.process->start();
                enter(n);
            }
            pause_ms(20);
        }
    });
    pause_ms(5000);
    std::vector<std::thread> deadly;
    int                      sent = 0;
    for (const auto end = now_ms() + deadly_for_ms; now_ms() < end;
         pause_ms(deadly_every_ms))
    {
        const int n    = sent++;
        const int port = fleet[n % gateways]->front();
        deadly.emplace_back([&, n, port] {
            const auto id = "deadly" + std::to_string(n);
            const auto to = connection::open(port, 1000);
            message    it;
            if (to)
                to->write(request_of(
                    "POST", "/chat/a", id, 15'000,
                    headers_of(deadly_part, hex_of(0xdead0000U + n)), "x"));
            const bool head = to && to->read(it, now_ms() + 15'000, true);
            record.line("client of " + id + ": " +
                        (head ? it.first : "no answer") +
                        (it.whole ? "" : ", not whole"));
        });
    }
    stopping = true;
    for (auto* list : {&deadly, &threads}) {
        for (auto& it : *list)
            it.join();
    }

    const std::lock_guard lock(seen.mutex);
    int                   late = 0;
    if (seen.crashes.size() >= 5) {
        for (const auto at : seen.arrivals)
            late += at > seen.crashes[4] + stable_ms ? 1 : 0;
    }
    const auto summary =
        "deadly requests " + std::to_string(sent) + ", arrived at replicas " +
        std::to_string(seen.arrivals.size()) + ", crashes " +
        std::to_string(seen.crashes.size()) +
        ", arrivals later than 3 s after the fifth crash " +
        std::to_string(late) + " (3 allowed); sound requests " +
        std::to_string(seen.sound) + ", whole " +
        std::to_string(seen.sound_whole);
    record.line(summary);
    std::cout << summary << '\n';
    return late > allowed_arrivals ? 1 : 0;
}
