#include "gateway_fixture.hpp"

#include <catch2/catch.hpp>

using namespace arbutusgate;
using namespace arbutusgate::gateway;
using namespace arbutusgate::gateway::test;

namespace {

/// Time from the fifth crash until no daemon may send a request with the part.
constexpr milliseconds stable{3000};
/// Requests that may still reach targets after that.
constexpr std::size_t max_late_requests = 3;

const std::string deadly_part = "dead";

/// Targets that crash on a request with a deadly part: no other connection is
/// accepted, and open ones are reset or stay silent.
class crashing_targets
{
public:
    /// How much of a deadly answer is out at the crash, and its form.
    struct crash_form
    {
        bool        silent = false;
        std::size_t events = 0;     ///< That are out.
        bool        plain  = false; ///< No stream.
        /// Without length and chunks: a crash ends the answer.
        bool ends_with_connection = false;
    };

    explicit crashing_targets(std::size_t n, bool silent = false)
        : crashing_targets(n, crash_form{silent, 0, false, false})
    {
    }
    crashing_targets(std::size_t n, crash_form form) : form_(form)
    {
        for (std::size_t k = 0; k < n; ++k)
            servers_.push_back(std::make_unique<scripted_target>(
                [this, k](target_session& it) { serve(k, it); }));
    }

    std::vector<target> targets() const
    {
        std::vector<target> out;
        for (std::size_t k = 0; k < servers_.size(); ++k)
            out.push_back(
                make_target("i-" + std::to_string(k), servers_[k]->address()));
        return out;
    }
    /// Times at which requests with the part arrived.
    std::vector<std::chrono::steady_clock::time_point> crashes() const
    {
        std::lock_guard lock(mutex_);
        return crashes_;
    }

private:
    void serve(std::size_t k, target_session& it)
    {
        for (auto text = it.read(); !text.empty(); text = it.read()) {
            if (text.find(deadly_part + ":") == std::string::npos) {
                it.write(form_.plain
                             ? answer("data: x")
                             : stream_head() + chunk("id: 1\ndata: x\n\n") +
                                   "0\r\n\r\n");
                continue;
            }
            {
                std::lock_guard lock(mutex_);
                crashes_.push_back(std::chrono::steady_clock::now());
            }
            // A target may send a part of the answer before it ends.
            begin_answer(it);
            servers_[k]->stop_listening();
            if (form_.silent)
                it.wait_closed();
            else if (!form_.ends_with_connection)
                it.reset();
            return;
        }
    }

    void begin_answer(target_session& it) const
    {
        if (form_.plain) {
            it.write(answer(std::string(100, 'x')).substr(0, 180));
        }
        else if (form_.ends_with_connection) {
            const std::string_view chunked = "Transfer-Encoding: chunked\r\n";
            auto                   head    = stream_head();
            head.replace(head.find(chunked), chunked.size(), "");
            it.write(head);
        }
        else {
            it.write(stream_head());
        }
        for (std::size_t n = 1; n <= form_.events; ++n) {
            const auto text = "id: " + std::to_string(n) + "\ndata: x\n\n";
            it.write(form_.ends_with_connection ? text : chunk(text));
            // A reset discards what was not read yet.
            std::this_thread::sleep_for(milliseconds{20});
        }
    }

    crash_form                                         form_;
    mutable std::mutex                                 mutex_;
    std::vector<std::chrono::steady_clock::time_point> crashes_;
    std::vector<std::unique_ptr<scripted_target>>      servers_;
};

std::string with_parts(const std::string& path, const std::string& parts)
{
    return gateway_fixture::request(
        path, "body", "Arbutusgate-Prompt-Prefix: " + parts + "\r\n");
}

/// Request with the deadly part; no two have the same last part.
std::string deadly_request(const std::string& path, int n)
{
    return with_parts(path, "f0:10," + deadly_part + ":20,a" +
                                std::to_string(n) + ":5");
}

std::string sound_request(const std::string& path, int n)
{
    return with_parts(path, "f0:10,50" + std::to_string(n % 3) + ":20,b" +
                                std::to_string(n) + ":5");
}

} // namespace

// Guards against requests with one part of a prompt that crash targets one
// after another, through daemons that see a few of the crashes each.
TEST_CASE("a prompt part that crashes targets stops reaching them",
          "[gateway][sockets][quarantine]")
{
    crashing_targets servers(24);
    auto             fleet = make_fleet(3, servers.targets());
    int              n     = 0;
    // Requests that share the first part, the route and the caller are served.
    const auto send = [&] {
        const auto& deadly = *fleet[static_cast<std::size_t>(n) % fleet.size()];
        deadly.exchange(deadly_request("/stream/", n));
        const auto& other =
            *fleet[static_cast<std::size_t>(n + 1) % fleet.size()];
        auto out = other.exchange(sound_request("/stream/", n));
        // Crashed targets stay published here, so that connecting to them may
        // use up the tries of a request.
        if (out.find("\"overloaded\"") != std::string::npos)
            out = other.exchange(sound_request("/stream/", n));
        INFO(out);
        CHECK(out.find("data: x") != std::string::npos);
        ++n;
        std::this_thread::sleep_for(milliseconds{150});
    };
    while (servers.crashes().size() < 5 && n < 40)
        send();
    // Without a fifth crash, the part was found before.
    const auto known = std::chrono::steady_clock::now() + stable;
    while (std::chrono::steady_clock::now() < known + milliseconds{2000})
        send();
    const auto crashes = servers.crashes();
    const auto late    = std::count_if(crashes.begin(), crashes.end(),
                                       [&](auto it) { return it > known; });
    CHECK(crashes.size() >= 3);
    CHECK(static_cast<std::size_t>(late) <= max_late_requests);
}

// Guards against a part that crashes its targets after the first event, in
// resumed streams, in answers that are no streams and in answers that end with
// their connection: a part of an answer showed that the part is sound.
TEST_CASE("a prompt part that crashes targets in its answer is found",
          "[gateway][sockets][quarantine]")
{
    using form            = crashing_targets::crash_form;
    const auto [it, path] = GENERATE(
        table<form, std::string>({{form{false, 1, false, false}, "/stream/"},
                                  {form{false, 6, false, false}, "/stream/"},
                                  {form{false, 2, false, false}, "/resume/"},
                                  {form{false, 0, true, false}, "/once/"},
                                  {form{false, 2, false, true}, "/stream/"},
                                  {form{true, 1, false, false}, "/stream/"}}));
    crashing_targets         servers(40, it);
    auto                     fleet = make_fleet(3, servers.targets());
    const auto&              last  = *fleet.back();
    std::vector<std::thread> callers;
    std::chrono::steady_clock::time_point known{};
    for (int n = 0; n < 32; ++n) {
        callers.emplace_back([&, n] {
            fleet[static_cast<std::size_t>(n) % fleet.size()]->exchange(
                deadly_request(path, n));
        });
        std::this_thread::sleep_for(milliseconds{150});
        const auto crashes = servers.crashes();
        if (known == std::chrono::steady_clock::time_point{} &&
            crashes.size() >= 5)
            known = crashes[4] + stable;
        if (known != std::chrono::steady_clock::time_point{} &&
            std::chrono::steady_clock::now() > known + milliseconds{1000})
            break;
    }
    // Another session of the same caller, first part and route is served.
    auto out = last.exchange(sound_request(path, 0));
    // Connecting to crashed targets may use up the tries of a request.
    for (int n = 0; n < 5 && out.find("\"overloaded\"") != std::string::npos;
         ++n)
        out = last.exchange(sound_request(path, 0));
    for (auto& caller : callers)
        caller.join();
    const auto crashes = servers.crashes();
    const auto late    = std::count_if(crashes.begin(), crashes.end(),
                                       [&](auto at) { return at > known; });
    CAPTURE(path, it.events, it.plain, it.ends_with_connection, it.silent,
            crashes.size());
    CHECK(crashes.size() >= 5);
    CHECK(static_cast<std::size_t>(late) <= max_late_requests);
    CHECK(out.find("data: x") != std::string::npos);
}

// Guards against crashes that are noticed only when calls time out, as the
// connections to the target stay open.
TEST_CASE("a prompt part is found when crashes close no connection",
          "[gateway][sockets][quarantine]")
{
    crashing_targets         servers(24, true);
    gateway_fixture          fixture(servers.targets());
    std::vector<std::thread> callers;
    for (int n = 0; n < 24; ++n) {
        callers.emplace_back(
            [&fixture, n] { fixture.exchange(deadly_request("/stream/", n)); });
        std::this_thread::sleep_for(milliseconds{250});
    }
    const auto crashes = servers.crashes();
    for (auto& it : callers)
        it.join();
    CHECK(crashes.size() >= 3);
    if (crashes.size() < 5)
        return;
    const auto known = crashes[4] + stable;
    const auto late  = std::count_if(crashes.begin(), crashes.end(),
                                     [&](auto it) { return it > known; });
    CHECK(static_cast<std::size_t>(late) <= max_late_requests);
}
