#include "gateway_fixture.hpp"

#include <catch2/catch.hpp>

#include <map>

using namespace arbutusgate;
using namespace arbutusgate::gateway;
using namespace arbutusgate::gateway::test;

namespace {

/// Longer than the silence after which another target is prepared.
constexpr milliseconds silence{1700};
constexpr int          stages = 3; ///< Of /chain-stream/.

/// Stage target that makes one result a call and records which are released.
class recording_stage
{
public:
    /// \param answer_to makes the answer to the call with a number, from 1 on,
    /// from that to a call that succeeds.
    using answer_maker = std::function<std::string(int, const std::string&)>;

    explicit recording_stage(answer_maker answer_to)
        : answer_to_(std::move(answer_to)),
          server_([this](target_session& it) { serve(it); })
    {
    }

    std::string address() const { return server_.address(); }
    int         calls() const { return calls_; }
    /// Waits until every result was released.
    /// \return how often each was, and 0 for one that was not in time.
    std::map<std::string, int> releases() const
    {
        for (int n = 0; n < 300; ++n) {
            {
                const std::lock_guard lock(mutex_);
                if (std::none_of(releases_.begin(), releases_.end(),
                                 [](const auto& it) { return it.second == 0; }))
                    break;
            }
            std::this_thread::sleep_for(milliseconds{10});
        }
        const std::lock_guard lock(mutex_);
        return releases_;
    }

private:
    void serve(target_session& session)
    {
        for (auto text = session.read(); !text.empty(); text = session.read()) {
            if (text.find("/stage-free") != std::string::npos) {
                const std::lock_guard lock(mutex_);
                for (auto& [handle, n] : releases_)
                    n += text.find(handle + "\"") != std::string::npos ? 1 : 0;
                session.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            const int  n      = ++calls_;
            const auto handle = "h/" + std::to_string(n) + "x";
            const auto made =
                answer(R"({"items":[{"handle":")" + handle + R"("}]})");
            const auto reply = answer_to_(n, made);
            if (reply == made) {
                const std::lock_guard lock(mutex_);
                releases_[handle] = 0;
            }
            session.write(reply);
        }
    }

    answer_maker               answer_to_;
    std::atomic<int>           calls_{0};
    mutable std::mutex         mutex_;
    std::map<std::string, int> releases_; ///< By handle.
    scripted_target            server_;
};

std::string no_result()
{
    return answer(R"({"items":[{"reason":"error"}]})");
}

std::string chain_request(const std::string& pieces = "1,1,1")
{
    return gateway_fixture::request("/chain-stream/", "body",
                                    "Arbutusgate-Pieces: " + pieces +
                                        "\r\nArbutusgate-Piece-Key: kk\r\n");
}

std::string event(int n)
{
    return chunk("id: " + std::to_string(n) + "\ndata: x\n\n");
}

bool has(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

// Guards against a gateway that ends, or a stream that is lost, when a stream
// is kept after the stages for its continuation ran only in part, and falls
// silent again.
TEST_CASE("a stream with a chain of stages outlives several silences",
          "[gateway][sockets][chain]")
{
    const std::string pieces  = GENERATE("1,1,1", "1,0,1", "0,1,1");
    const bool        refused = GENERATE(false, true);
    const int         first_run =
        stages -
        static_cast<int>(std::count(pieces.begin(), pieces.end(), '0'));
    recording_stage  stage([=](int n, const std::string& made) {
        if (n <= first_run)
            return made;
        if (refused)
            return no_result();
        // The stream goes on before the first stage has run again.
        std::this_thread::sleep_for(silence);
        return made;
    });
    std::atomic<int> calls{0};
    const auto       script = [&](target_session& session) {
        if (session.read().empty())
            return;
        ++calls;
        session.write(stream_head());
        for (int n = 1; n <= 4; ++n) {
            session.write(event(n));
            std::this_thread::sleep_for(silence);
        }
        session.write("0\r\n\r\n");
    };
    scripted_target one(script);
    scripted_target two(script);
    gateway_fixture g({make_target("i-1", one.address()),
                       make_target("i-2", two.address()),
                       make_target("p-1", stage.address(), "p")});
    const auto      out = g.exchange(chain_request(pieces));
    CAPTURE(pieces, refused);
    CHECK(calls == 1);
    CHECK(has(out, "id: 4\ndata: x\n\n"));
    CHECK(out.ends_with("0\r\n\r\n"));
    for (const auto& [handle, n] : stage.releases())
        CHECK(n == 1);
}

// Guards against a stream that was kept after a silence and then breaks: its
// continuation must not get results of the run that was dropped.
TEST_CASE("a stream that was kept after a silence is resumed when it breaks",
          "[gateway][sockets][chain]")
{
    std::atomic<bool> broken{false};
    recording_stage   stage([&](int n, const std::string& made) {
        return n > stages + 1 && !broken ? no_result() : made;
    });
    std::atomic<int>  calls{0};
    std::string       second;
    const auto        script = [&](target_session& session) {
        const auto request = session.read();
        if (request.empty())
            return;
        if (++calls == 1) {
            session.write(stream_head() + event(1));
            std::this_thread::sleep_for(silence);
            session.write(event(2));
            // A reset discards what was not read yet.
            std::this_thread::sleep_for(milliseconds{100});
            broken = true;
            session.reset();
            return;
        }
        second = request;
        session.write(stream_head() + event(3) + "0\r\n\r\n");
    };
    scripted_target one(script);
    scripted_target two(script);
    gateway_fixture g({make_target("i-1", one.address()),
                       make_target("i-2", two.address()),
                       make_target("p-1", stage.address(), "p")});
    const auto      out = g.exchange(chain_request());
    CHECK(calls == 2);
    CHECK(has(second, "Last-Event-Id: 2"));
    const auto last = "h/" + std::to_string(stage.calls()) + "x";
    CHECK(has(second, "Arbutusgate-Inputs: " + last + "\r\n"));
    CHECK(out.ends_with("0\r\n\r\n"));
    for (const auto& [handle, n] : stage.releases())
        CHECK(n == 1);
}

// Guards against results that occupy the result memory of their targets for the
// rest of a resumed stream: they were released with the first event that the
// caller got, but not with that of a continuation.
TEST_CASE("results of a continuation are released at its first event",
          "[gateway][sockets][chain]")
{
    recording_stage  stage([](int, const std::string& made) { return made; });
    std::atomic<int> calls{0};
    std::map<std::string, int> releases; // While the continuation runs.
    const auto                 script = [&](target_session& session) {
        if (session.read().empty())
            return;
        if (++calls == 1) {
            session.write(stream_head() + event(1));
            return session.wait_closed();
        }
        session.write(stream_head() + event(2));
        releases = stage.releases();
        session.write(event(3) + "0\r\n\r\n");
    };
    scripted_target one(script);
    scripted_target two(script);
    gateway_fixture g({make_target("i-1", one.address()),
                       make_target("i-2", two.address()),
                       make_target("p-1", stage.address(), "p")});
    const auto      out = g.exchange(chain_request());
    CHECK(calls == 2);
    CHECK(out.ends_with("0\r\n\r\n"));
    CHECK(releases.size() == std::size_t{2 * stages});
    for (const auto& [handle, n] : releases) {
        CAPTURE(handle);
        CHECK(n == 1);
    }
}

// Guards against results of a stage run that stay at their target when the
// caller leaves, or the daemon stops, while the stages run again.
TEST_CASE("results of an interrupted stage run are released",
          "[gateway][sockets][chain]")
{
    const bool         leaves = GENERATE(false, true);
    std::promise<void> reached;
    recording_stage    stage([&](int n, const std::string& made) {
        if (n == stages + 2) {
            reached.set_value();
            std::this_thread::sleep_for(milliseconds{600});
        }
        return made;
    });
    const auto         script = [&](target_session& session) {
        if (session.read().empty())
            return;
        session.write(stream_head() + event(1));
        session.wait_closed();
    };
    scripted_target  one(script);
    scripted_target  two(script);
    gateway_fixture  g({make_target("i-1", one.address()),
                        make_target("i-2", two.address()),
                        make_target("p-1", stage.address(), "p")});
    asio::io_context io;
    tcp::socket      caller(io);
    caller.connect({asio::ip::address_v4::loopback(), g.port()});
    asio::write(caller, asio::buffer(chain_request()));
    reached.get_future().wait();
    if (leaves)
        caller.close();
    else
        g.drain(milliseconds{300});
    CAPTURE(leaves);
    const auto releases = stage.releases();
    CHECK(releases.size() > std::size_t{stages});
    for (const auto& [handle, n] : releases)
        CHECK(n == 1);
}
