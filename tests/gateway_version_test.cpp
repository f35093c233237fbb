#include "gateway_fixture.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>

using namespace arbutusgate;
using namespace arbutusgate::gateway;
using namespace arbutusgate::gateway::test;

namespace {

constexpr int last_event = 4;

std::string header_of(const std::string& request, const std::string& name)
{
    const auto mark  = "\r\n" + name + ": ";
    const auto start = request.find(mark);
    if (start == std::string::npos)
        return "";
    const auto value = start + mark.size();
    return request.substr(value, request.find("\r\n", value) - value);
}

/// Serves streams of events that name the version of the target. A stream that
/// no client takes up breaks off after one event.
void serve_events(target_session& session, const std::string& version)
{
    for (;;) {
        const auto request = session.read();
        if (request.empty())
            return;
        const auto id = header_of(request, "Arbutusgate-Attempt-Id");
        session.write("HTTP/1.1 200 OK\r\nArbutusgate-Attempt-Id: " + id +
                      "\r\nArbutusgate-Server-Signature: sig\r\n"
                      "Content-Type: text/event-stream\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n");
        const bool whole = !header_of(request, "Resumes").empty();
        const int  first =
            std::atoi(header_of(request, "Last-Event-Id").c_str()) + 1;
        const int last = whole ? last_event : std::min(first, last_event);
        for (int n = first; n <= last; ++n)
            session.write(chunk("id: " + std::to_string(n) +
                                "\ndata: " + version + "\n\n"));
        if (last < last_event)
            return;
        session.write("0\r\n\r\n");
    }
}

/// Model targets of the given versions of a service, one each.
class model_targets
{
public:
    explicit model_targets(const std::vector<std::string>& versions,
                           const std::string&              service = "s")
    {
        for (const auto& it : versions) {
            targets_.push_back(std::make_unique<scripted_target>(
                [it](target_session& s) { serve_events(s, it); }));
            auto& entry = entries_.emplace_back(
                make_target(service + std::to_string(entries_.size()),
                            targets_.back()->address(), service));
            entry.version = it;
        }
    }

    const std::vector<target>& entries() const { return entries_; }

private:
    std::vector<std::unique_ptr<scripted_target>> targets_;
    std::vector<target>                           entries_;
};

std::string stream_request(const std::string& attempt,
                           const std::string& extra = "",
                           const std::string& path  = "/resume/")
{
    auto out   = gateway_fixture::request(path, "body", extra);
    auto start = out.find("9c41");
    return out.replace(start, 4, attempt);
}

std::string take_up_request(const std::string& attempt,
                            const std::string& began_as, int last_id,
                            const std::string& path = "/resume/")
{
    return stream_request(attempt,
                          "Last-Event-Id: " + std::to_string(last_id) +
                              "\r\nResumes: " + began_as + "\r\n",
                          path);
}

std::set<std::string> versions_in(const std::string& text)
{
    std::set<std::string>      out;
    constexpr std::string_view mark = "data: v";
    for (auto at = text.find(mark); at != std::string::npos;
         at      = text.find(mark, at + 1))
        out.insert(text.substr(at + 6, 2));
    return out;
}

int last_id_in(const std::string& text)
{
    const auto at = text.rfind("id: ");
    return at == std::string::npos ? 0 : std::atoi(text.c_str() + at + 4);
}

bool is_whole(const std::string& text)
{
    return text.ends_with("0\r\n\r\n") && last_id_in(text) == last_event;
}

bool is_final_refusal(const std::string& text)
{
    return text.starts_with("HTTP/1.1 503") &&
           text.find("Retry-After") == std::string::npos &&
           text.find("stream_not_resumable") != std::string::npos;
}

/// A stream that broke off at its client.
struct broken_stream
{
    std::string           attempt;
    std::set<std::string> versions;
    int                   last_id = 0;
};

/// Sends streams, which all break off after two attempts.
std::vector<broken_stream> break_streams(const gateway_fixture& at, int count,
                                         const std::string& path = "/resume/")
{
    std::vector<broken_stream> out;
    for (int n = 0; n < count; ++n) {
        const auto id   = "b" + std::to_string(at.port()) + std::to_string(n);
        const auto text = at.exchange(stream_request(id, "", path));
        out.push_back({id, versions_in(text), last_id_in(text)});
    }
    return out;
}

} // namespace

// Guards against an answer that joins events of two software versions: the
// continuation was sent to any target of the service.
TEST_CASE("a broken stream goes on only at its software version",
          "[gateway][sockets]")
{
    const model_targets   models({"v1", "v1", "v2", "v2"});
    const gateway_fixture fixture(models.entries());
    for (const auto& it : break_streams(fixture, 20)) {
        CHECK(it.versions.size() == 1);
        // The other target of the version continued it.
        CHECK(it.last_id == 2);
    }
}

// Guards against the same when the version has no other target.
TEST_CASE("a broken stream ends when its software version has no other target",
          "[gateway][sockets]")
{
    const model_targets   models({"v1", "v2"});
    const gateway_fixture fixture(models.entries());
    for (const auto& it : break_streams(fixture, 8)) {
        CHECK(it.versions.size() == 1);
        CHECK(it.last_id == 1);
    }
}

// Guards against a client that gets the rest of its stream from another
// software version than the first part, at another gateway.
TEST_CASE("a client takes its stream up at the software version that began it",
          "[gateway][sockets]")
{
    const model_targets models({"v1", "v1", "v2", "v2"});
    const auto          fleet   = make_fleet(2, models.entries());
    const auto          streams = break_streams(*fleet[0], 20);
    for (const auto& it : streams) {
        const auto text = fleet[1]->exchange(
            take_up_request("t" + it.attempt, it.attempt, it.last_id));
        CHECK(is_whole(text));
        CHECK(versions_in(text) == it.versions);
    }
}

// Guards against the same when every gateway that knew the stream is gone.
TEST_CASE("a stream of an unknown software version is not taken up",
          "[gateway][sockets]")
{
    const model_targets        models({"v1", "v1", "v2", "v2"});
    std::vector<broken_stream> streams;
    {
        const auto fleet = make_fleet(2, models.entries());
        streams          = break_streams(*fleet[0], 10);
    }
    const auto fleet = make_fleet(2, models.entries());
    for (const auto& it : streams)
        CHECK(is_final_refusal(fleet[0]->exchange(
            take_up_request("t" + it.attempt, it.attempt, it.last_id))));
}

// Guards against streams that are refused although only one software version
// can have begun them.
TEST_CASE("a stream of the only software version is taken up after a restart",
          "[gateway][sockets]")
{
    const model_targets        models({"v1", "v1"});
    std::vector<broken_stream> streams;
    {
        const auto fleet = make_fleet(2, models.entries());
        streams          = break_streams(*fleet[0], 5);
    }
    const auto fleet = make_fleet(2, models.entries());
    for (const auto& it : streams)
        CHECK(is_whole(fleet[0]->exchange(
            take_up_request("t" + it.attempt, it.attempt, it.last_id))));
}

// Guards against streams that are refused after the end of their gateway since
// their route leads to two services: each has one software version, so that no
// record was sent.
TEST_CASE("a stream of a route with two services is taken up",
          "[gateway][sockets]")
{
    const model_targets one({"v1", "v1"});
    const model_targets other({"v1", "v1"}, "t");
    auto                entries = one.entries();
    entries.insert(entries.end(), other.entries().begin(),
                   other.entries().end());
    auto       fleet   = make_fleet(2, entries);
    const auto streams = break_streams(*fleet[0], 10, "/split/");
    // A record takes 20 ms and a message.
    std::this_thread::sleep_for(milliseconds{200});
    fleet[0].reset();
    for (const auto& it : streams)
        CHECK(is_whole(fleet[1]->exchange(take_up_request(
            "t" + it.attempt, it.attempt, it.last_id, "/split/"))));
}
