#include "gateway_fixture.hpp"
#include "peer_table.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace arbutusgate;
using namespace arbutusgate::gateway;
using namespace arbutusgate::gateway::test;

namespace {

using clock_type = std::chrono::steady_clock;

/// The rule that targets state: so many calls in any span of this length.
constexpr seconds limit_window{4};

std::size_t allowed_calls(double rate)
{
    return static_cast<std::size_t>(
        1.5 * rate * static_cast<double>(limit_window.count()) + 5);
}

/// Times of the calls that a target got.
class call_times
{
public:
    void add()
    {
        std::lock_guard lock(mutex_);
        calls_.push_back(clock_type::now());
    }

    /// \return most calls in a window, of those from a time on.
    std::size_t most(clock_type::time_point from,
                     seconds                window = limit_window) const
    {
        std::lock_guard lock(mutex_);
        std::size_t     out = 0;
        for (const auto first : calls_) {
            if (first < from)
                continue;
            out = std::max<std::size_t>(
                out, std::count_if(calls_.begin(), calls_.end(), [&](auto it) {
                    return it >= first && it < first + window;
                }));
        }
        return out;
    }

    std::size_t size() const
    {
        std::lock_guard lock(mutex_);
        return calls_.size();
    }

private:
    mutable std::mutex                  mutex_;
    std::vector<clock_type::time_point> calls_;
};

/// A target that gives the same response to each call.
struct recording_target
{
    explicit recording_target(std::string response)
        : server([this, response = std::move(response)](target_session& s) {
              while (!s.read().empty()) {
                  calls.add();
                  s.write(response);
              }
          })
    {
    }

    call_times      calls;
    scripted_target server;
};

std::string limit_header(const std::string& limit)
{
    return "Server-Limit: " + limit + "\r\n";
}

/// A target that names a limit in each response.
struct limited_target : recording_target
{
    explicit limited_target(const std::string& limit)
        : recording_target(answer("x", "200 OK", limit_header(limit)))
    {
    }
};

/// Sends requests one after another for a time.
/// \return the responses.
std::vector<std::string> send_for(const gateway_fixture& to, milliseconds time,
                                  const std::string& request)
{
    std::vector<std::string> out;
    const auto               end = clock_type::now() + time;
    while (clock_type::now() < end) {
        out.push_back(to.exchange(request));
        // Bounds the number of requests on a fast machine.
        std::this_thread::sleep_for(milliseconds{2});
    }
    return out;
}

bool has(const std::string& text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

// Guards against a fleet whose daemons together send a target more calls than
// the limit that it names in its responses (incident inc1).
TEST_CASE("daemons together keep the limit that a target names",
          "[gateway][sockets]")
{
    limited_target one("2");
    auto fleet = make_fleet(3, {make_target("i-1", one.server.address())});
    for (auto& it : fleet)
        it->exchange(it->request("/again/"));
    std::this_thread::sleep_for(milliseconds{500});
    const auto               told = clock_type::now();
    std::vector<std::thread> callers;
    for (auto& it : fleet) {
        callers.emplace_back(
            [&it] { send_for(*it, limit_window, it->request("/again/")); });
    }
    for (auto& it : callers)
        it.join();
    CHECK(one.calls.most(told) <= allowed_calls(2));
    // What may be sent is sent.
    CHECK(one.calls.size() >= 4);
}

// Guards against retries that ignore the limit of the target to which they go.
TEST_CASE("retries keep a target's limit", "[gateway][sockets]")
{
    recording_target failing(answer("x", "500 Error"));
    limited_target   one("1");
    gateway_fixture  g({make_target("i-1", failing.server.address()),
                        make_target("i-2", one.server.address())});
    send_for(g, milliseconds{2500}, g.request("/again/"));
    CHECK(failing.calls.size() > 20);
    CHECK(one.calls.size() >= 1);
    CHECK(one.calls.most({}) <= allowed_calls(1));
}

// Guards against streams that are resumed at a limited target without regard to
// its limit.
TEST_CASE("resumed streams keep a target's limit", "[gateway][sockets]")
{
    call_times      begun;
    scripted_target breaking([&](target_session& it) {
        if (!it.read().empty()) {
            begun.add();
            it.write(stream_head() + chunk("id: 1\ndata: x\n\n"));
        }
    });
    auto            head = stream_head();
    head.insert(head.size() - 2, limit_header("1"));
    recording_target one(head + chunk("id: 2\ndata: y\n\n") + "0\r\n\r\n");
    gateway_fixture  g({make_target("i-1", breaking.address()),
                        make_target("i-2", one.server.address())});
    send_for(g, milliseconds{2500}, g.request("/resume/"));
    CHECK(begun.size() >= 1);
    CHECK(one.calls.size() >= 1);
    CHECK(one.calls.most({}) <= allowed_calls(1));
}

// Guards against stage calls, or releases of their results, that ignore the
// limit of a stage target. Also guards against a second release on a connection
// while there is a limit: a late answer without the limit would end it.
TEST_CASE("stage calls and releases keep a target's limit",
          "[gateway][sockets]")
{
    call_times       calls;
    std::atomic<int> releases{0};
    std::atomic<int> results{0};
    std::atomic<int> calls_after_release{0};
    scripted_target  stage([&](target_session& it) {
        bool released = false;
        for (auto text = it.read(); !text.empty(); text = it.read()) {
            calls.add();
            calls_after_release += released ? 1 : 0;
            if (has(text, "/stage-free")) {
                ++releases;
                released = true;
                it.write("HTTP/1.1 200 OK\r\n" + limit_header("2") +
                          "Content-Length: 0\r\n\r\n");
                continue;
            }
            // One result for each piece of the call.
            std::string items;
            for (auto at = text.find("\"piece\""); at != std::string::npos;
                 at      = text.find("\"piece\"", at + 1))
                items += (items.empty() ? "" : ",") +
                         std::string(R"({"handle":"h/)") +
                         std::to_string(results++) + R"("})";
            it.write(answer(R"({"items":[)" + items + "]}", "200 OK",
                             limit_header("2")));
        }
    });
    recording_target final_target(answer("x"));
    gateway_fixture  g({make_target("i-1", final_target.server.address()),
                        make_target("p-1", stage.address(), "p")});
    std::vector<std::thread> callers;
    for (int n = 0; n < 8; ++n) {
        callers.emplace_back([&] {
            send_for(g, milliseconds{3500},
                     g.request("/staged/", "body",
                               "Arbutusgate-Pieces: 1,0\r\n"
                               "Arbutusgate-Piece-Key: k\r\n"));
        });
    }
    for (auto& it : callers)
        it.join();
    CHECK(calls.size() >= 3);
    CHECK(calls.most({}) <= allowed_calls(2));
    CHECK(releases > 0);
    CHECK(calls_after_release == 0);
}

// Guards against a limit that ends too early: the answer to a release from
// before the limit may come once more and be taken for the answer to a later
// release.
TEST_CASE("a release at a limited target uses a new connection",
          "[gateway][sockets]")
{
    std::atomic<int>  results{0};
    std::atomic<int>  releases{0};
    std::atomic<int>  later_releases{0};
    std::atomic<bool> limited{false};
    scripted_target   stage([&](target_session& it) {
        bool released = false;
        for (auto text = it.read(); !text.empty(); text = it.read()) {
            const auto limit = limited ? limit_header("50") : std::string();
            if (has(text, "/stage-free")) {
                later_releases += released && limited ? 1 : 0;
                released = true;
                it.write("HTTP/1.1 200 OK\r\n" + limit +
                           "Content-Length: 0\r\n\r\n");
                ++releases;
                continue;
            }
            it.write(answer(R"({"items":[{"handle":"h/)" +
                                  std::to_string(++results) + R"("}]})",
                              "200 OK", limit));
        }
    });
    recording_target  final_target(answer("x"));
    gateway_fixture   g({make_target("i-1", final_target.server.address()),
                         make_target("p-1", stage.address(), "p")});
    for (int n = 1; n <= 2; ++n) {
        g.exchange(g.request("/staged/", "body",
                             "Arbutusgate-Pieces: 1,0\r\n"
                             "Arbutusgate-Piece-Key: k\r\n"));
        for (int k = 0; k < 1000 && releases < n; ++k)
            std::this_thread::sleep_for(milliseconds{5});
        REQUIRE(releases == n);
        // Until the gateway has read the answer to the release.
        std::this_thread::sleep_for(milliseconds{30});
        limited = true;
    }
    CHECK(later_releases == 0);
}

// Guards against a daemon that stops answering: its thread asked for a permit
// without a pause to release results at a target that limits its calls and
// leaves.
TEST_CASE("a daemon answers while a limited target with its results leaves",
          "[gateway][sockets]")
{
    std::atomic<int> calls{0};
    scripted_target  stage([&](target_session& it) {
        for (auto text = it.read(); !text.empty(); text = it.read()) {
            ++calls;
            it.write(answer(R"({"items":[{"handle":"h/1"}]})", "200 OK",
                             limit_header("0.1") + "Server-Leaving: 1\r\n"));
        }
    });
    recording_target final_target(answer("x"));
    gateway_fixture  g({make_target("i-1", final_target.server.address()),
                        make_target("p-1", stage.address(), "p")});
    CHECK(has(g.exchange(g.request("/staged/", "body",
                                   "Arbutusgate-Pieces: 1,0\r\n"
                                   "Arbutusgate-Piece-Key: k\r\n")),
              "HTTP/1.1 200"));
    const auto begin = clock_type::now();
    while (clock_type::now() - begin < seconds{2}) {
        const auto sent = clock_type::now();
        CHECK(has(g.exchange("GET /readyz HTTP/1.1\r\nHost: a\r\n"
                             "Connection: close\r\n\r\n",
                             g.daemon().ready_port()),
                  "HTTP/1.1 200"));
        CHECK(clock_type::now() - sent < seconds{1});
        std::this_thread::sleep_for(milliseconds{50});
    }
    // Nothing more is sent to a target that leaves.
    CHECK(calls == 1);
}

// Guards against requests that wait for a permit until they are late, or that
// are refused without the time of the next one.
TEST_CASE("a request that a limit leaves no place for is refused at once",
          "[gateway][sockets]")
{
    limited_target  one("0.05");
    gateway_fixture g({make_target("i-1", one.server.address())});
    CHECK(has(g.exchange(g.request("/once/")), "HTTP/1.1 200"));
    // The daemon gives out calls once it had time to find others.
    std::this_thread::sleep_for(milliseconds{500});
    for (int n = 0; n < 5; ++n) {
        const auto begin = clock_type::now();
        const auto out   = g.exchange(g.request("/once/"));
        CHECK(clock_type::now() - begin < seconds{2});
        CHECK(has(out, "HTTP/1.1 503"));
        // A tenth of a call a second is the least that a target gets.
        const auto at = out.find("Retry-After: ");
        REQUIRE(at != std::string::npos);
        const auto wait = std::stod(out.substr(at + 13));
        CHECK(wait > 4);
        CHECK(wait <= 10);
    }
    CHECK(one.calls.size() == 1);
}

// Guards against requests that are refused only because no owner of the limit
// answers yet.
TEST_CASE("a request waits for the owner of a limit", "[gateway][sockets]")
{
    limited_target  one("20");
    gateway_fixture g({make_target("i-1", one.server.address())});
    // The daemon has just started and does not give out calls yet.
    for (int n = 0; n < 5; ++n)
        CHECK(has(g.exchange(g.request("/once/")), "HTTP/1.1 200"));
}

// Guards against requests that go to a limited target while others are free,
// and fail there.
TEST_CASE("other targets take what a limit leaves", "[gateway][sockets]")
{
    limited_target   one("0.5");
    recording_target free_target(answer("x"));
    gateway_fixture  g({make_target("i-1", one.server.address()),
                        make_target("i-2", free_target.server.address())});
    for (const auto& it : send_for(g, milliseconds{2000}, g.request("/once/")))
        CHECK(has(it, "HTTP/1.1 200"));
    CHECK(one.calls.most({}) <= allowed_calls(0.5));
}

// Guards against a limit that a bad text ends or sets, and against a target
// that stays limited when it names no limit any more.
TEST_CASE("the text of a limit decides over its effect", "[gateway][sockets]")
{
    const auto [text, limited] =
        GENERATE(table<std::string, bool>({{"0", true},
                                           {"0.2", true},
                                           {"", false},
                                           {"-1", false},
                                           {"nan", false},
                                           {"inf", false},
                                           {"many", false},
                                           {"1e300", false}}));
    limited_target  one(text);
    gateway_fixture g({make_target("i-1", one.server.address())});
    std::size_t     served = 0;
    for (int n = 0; n < 20; ++n)
        served += has(g.exchange(g.request("/once/")), "HTTP/1.1 200");
    CAPTURE(text);
    if (limited)
        CHECK(served <= 5);
    else
        CHECK(served == 20);
}

// Guards against a target that stays limited after the end of its limit.
TEST_CASE("a target that names its limit no longer gets all work",
          "[gateway][sockets]")
{
    std::atomic<int> calls{0};
    scripted_target  one([&](target_session& it) {
        while (!it.read().empty())
            it.write(
                 answer("x", "200 OK", calls++ < 3 ? limit_header("2") : ""));
    });
    gateway_fixture  g({make_target("i-1", one.address())});
    const auto       end = clock_type::now() + seconds{20};
    while (calls < 60 && clock_type::now() < end)
        g.exchange(g.request("/once/"));
    CHECK(calls == 60);
}

// Guards against a request that is held beyond its goal because no owner of the
// limit decides: the owner is gone and not yet taken for dead.
TEST_CASE("a request does not wait for an owner beyond its goal",
          "[gateway][sockets]")
{
    limited_target           one("2");
    const reserved_addresses peers(2);
    // A target whose limit the second daemon owns.
    peer_table table({peers[0], 1, 1, "d1", false, 1}, {}, 1);
    table.merge_members({{peers[1], 1, 1, "d1", false, 1}}, time_point{});
    target it = make_target("i-0", one.server.address());
    for (int n = 1;
         table.steady_owner_of("limit of " + it.id, time_point{}) != peers[1];
         ++n)
        it.id = "i-" + std::to_string(n);
    gateway_fixture first({it}, peers[0], peers.all());
    {
        gateway_fixture second({it}, peers[1], peers.all());
        first.exchange(first.request("/quick/"));
        std::this_thread::sleep_for(milliseconds{700});
    }
    for (int n = 0; n < 3; ++n) {
        const auto begin = clock_type::now();
        CHECK(has(first.exchange(first.request("/quick/")), "HTTP/1.1 503"));
        CHECK(clock_type::now() - begin < milliseconds{1500});
    }
}

// Guards against daemons that together send a cold target more calls than it
// takes, as its entry or its responses say, and against requests that wait
// beyond their goal or are refused without a time when all targets are cold.
TEST_CASE("daemons together keep the limit of a cold target",
          "[gateway][sockets][cold]")
{
    const bool       published = GENERATE(true, false);
    recording_target one(answer(
        "x", "200 OK", published ? "" : "Arbutusgate-Cold-Ms: 4000\r\n"));
    auto             it = make_target("i-1", one.server.address());
    it.service          = "c";
    it.cold_for         = milliseconds{published ? 6000 : 0};
    auto fleet          = make_fleet(3, {it});
    // Each daemon hears of it in its first response.
    for (auto& daemon : fleet)
        daemon->exchange(daemon->request("/cold/"));
    std::this_thread::sleep_for(milliseconds{500});
    const auto               told = clock_type::now();
    std::vector<std::thread> callers;
    std::atomic<int>         refused{0};
    std::atomic<int>         untrue{0};
    for (std::size_t n = 0; n < 24; ++n) {
        callers.emplace_back([&, &daemon = fleet[n % 3]] {
            const auto out = send_for(*daemon, milliseconds{3000},
                                      daemon->request("/cold/"));
            for (const auto& text : out) {
                if (has(text, "HTTP/1.1 200"))
                    continue;
                ++refused;
                untrue +=
                    !has(text, "HTTP/1.1 503") || !has(text, "Retry-After: ");
            }
        });
    }
    for (auto& caller : callers)
        caller.join();
    // 1.5 of the 15 calls a second, and 5.
    CHECK(one.calls.most(told, seconds{1}) <= 27);
    CHECK(one.calls.size() >= 15);
    CHECK(refused > 0);
    CHECK(untrue == 0);
}
