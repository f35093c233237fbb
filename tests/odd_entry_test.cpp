/// Entries of another writer in the store, with names and texts that no target
/// and no operator writes.
#include "event_splitter.hpp"
#include "gateway_fixture.hpp"
#include "peer_codec.hpp"
#include "store_client.hpp"
#include "store_codec.hpp"
#include "strict_store.hpp"

#include <catch2/catch.hpp>

#include <set>

using namespace arbutusgate;
using namespace arbutusgate::gateway;
using namespace arbutusgate::gateway::test;
using arbutusgate::test::run_on;
using arbutusgate::test::strict_store;
using platform::store_client;

namespace {

constexpr milliseconds call_limit{20'000};
constexpr int          sound_entries = 14;
constexpr const char*  no_target     = "no JSON";

/// Sorted after "i-N" and before the next one.
struct odd_name
{
    std::string text;
    bool        is_unicode = true;
};

std::vector<odd_name> odd_names()
{
    return {{"&"},
            {"+"},
            {"#"},
            {"%"},
            {"%2"},
            {"%2G"},
            {"%41"},
            {" "},
            {" x"},
            {"?="},
            {"\"\\'<>{}|^`"},
            {"&after=servers/i-99"},
            {"&pathPrefix=x"},
            {"\r\nX-Odd: 1\r\n\r\n"},
            {std::string("\0", 1)},
            {"\x7f"},
            {"\xc3\xa9"},
            // Surrogates, which the store sends as escapes, and a byte that is
            // no UTF-8. An escaped backslash before "u" is no surrogate.
            {"\xed\xa0\x80", false},
            {"\xed\xb0\x80\xed\xa0\x80", false},
            {"\\ud800\xed\xa0\x80\\udc00", false},
            {"\xff", false}};
}

std::string number(int n)
{
    return (n < 10 ? "0" : "") + std::to_string(n);
}

std::string entry_of(const std::string& address,
                     const std::string& service = "s")
{
    return R"({"service":")" + service + R"(","address":")" + address +
           R"(","zone":"z-00","version":"v1","slots":8,"state":"ready",)"
           R"("coldRemainingMs":0,"sequence":1,"born":1})";
}

std::vector<std::string> odd_ids()
{
    return {"",
            " ",
            " i",
            "i ",
            "i\t",
            "i\r\nX-Odd: 1",
            "i\nX-Odd: 1",
            "i\rX-Odd: 1",
            std::string("i\0", 2),
            "i\x1b",
            "i\x7f"};
}

/// Answers requests from the store.
scripted_target::script serve(strict_store& store)
{
    return [&store](target_session& it) {
        for (auto text = it.read(); !text.empty(); text = it.read()) {
            if (!it.write(store.respond(text.substr(0, text.find("\r\n")))))
                return;
        }
    };
}

/// What a client lists, page by page.
struct listing
{
    absl::Status          error;
    std::set<std::string> targets;
    std::set<std::string> evacuated;
    bool                  complete = false;
};

listing list_all(strict_store& store)
{
    // Twice the entries that a test writes, each on a page of its own.
    constexpr int   max_pages = 64;
    scripted_target server(serve(store));
    io_thread       thread;
    return run_on(thread, [&] {
        listing      out;
        store_client client(thread.io(), server.address());
        std::string  page;
        for (int n = 0; n < max_pages && !out.complete; ++n) {
            auto it   = client.read_targets(page, call_limit);
            out.error = it.status();
            if (!it.ok())
                return out;
            for (const auto& change : it->entries) {
                if (const auto* found = std::get_if<target>(&change))
                    out.targets.insert(found->id);
                if (const auto* found = std::get_if<domain_evacuation>(&change))
                    out.evacuated.insert(found->failure_domain);
            }
            page         = it->next_page;
            out.complete = page.empty();
        }
        return out;
    });
}

/// Writes sound targets and evacuations.
void fill(strict_store& store)
{
    for (int n = 0; n < sound_entries; ++n) {
        store.put("servers/i-" + number(n), entry_of("10.0.0.1:80"));
        store.put("op/evacuate/i-" + number(n), "{}");
    }
}

std::set<std::string> sound_names()
{
    std::set<std::string> out;
    for (int n = 0; n < sound_entries; ++n)
        out.insert("i-" + number(n));
    return out;
}

/// Two daemons before targets, all of one store.
class store_fleet
{
public:
    explicit store_fleet(strict_store& store) : store_(serve(store))
    {
        for (int n = 0; n < sound_entries; ++n) {
            targets_.push_back(
                std::make_unique<scripted_target>([](target_session& it) {
                    while (!it.read().empty())
                        it.write(answer("ok"));
                }));
            store.put("servers/i-" + number(n),
                      entry_of(targets_.back()->address()));
        }
        store.put("op/config",
                  R"({"version":1,"routes":[{"name":"r","host":"a.example",
"pathPrefix":"/p/","routeType":"idempotent","timeoutMs":5000,"priority":0,
"targetLatencyMs":1000,"maxAttempts":2,"service":"s"}],
"services":[{"name":"s","healthCheck":"/h","maxConnections":200}],
"tenants":[{"name":"t","apiKeys":["k"]}]})");
    }

    void start()
    {
        const reserved_addresses peers(2);
        for (const auto& it : peers.all()) {
            gateway_settings settings;
            settings.node           = "n" + it;
            settings.failure_domain = "z-00";
            settings.listen = settings.ready = settings.metrics = "127.0.0.1:0";
            settings.peer                                       = it;
            settings.seeds                                      = peers.all();
            settings.store = store_.address();
            daemons_.push_back(std::make_unique<gateway::gateway>(gateway_init{
                settings, codec_, [this](asio::io_context& io) {
                    return std::make_unique<store_client>(io, store_.address());
                }}));
            REQUIRE(daemons_.back()->start().ok());
        }
    }
    /// Ends all daemons and starts new ones.
    void restart()
    {
        daemons_.clear();
        start();
    }
    /// Waits until all daemons are ready.
    bool await_ready()
    {
        constexpr seconds limit{5};
        const auto        end = std::chrono::steady_clock::now() + limit;
        for (const auto& it : daemons_) {
            while (!exchange(it->ready_port(), "GET /readyz HTTP/1.1\r\n"
                                               "Host: a\r\n"
                                               "Connection: close\r\n\r\n")
                        .starts_with("HTTP/1.1 200"))
            {
                if (std::chrono::steady_clock::now() > end)
                    return false;
                std::this_thread::sleep_for(milliseconds{10});
            }
        }
        return true;
    }
    /// \return how many of the requests were served.
    int serve_requests(int n)
    {
        int out = 0;
        for (int k = 0; k < n; ++k) {
            const auto& to = daemons_[k % daemons_.size()];
            out += exchange(to->port(), gateway_fixture::request("/p/x"))
                           .starts_with("HTTP/1.1 200")
                       ? 1
                       : 0;
        }
        return out;
    }

private:
    scripted_target                                store_;
    std::vector<std::unique_ptr<scripted_target>>  targets_;
    platform::http_codec                           codec_;
    std::vector<std::unique_ptr<gateway::gateway>> daemons_;
};

} // namespace

// Guards against an entry whose key is not part of the next page's request as
// it is: the store refuses the request, or sends another page.
TEST_CASE("a list is complete whatever the names of its entries",
          "[platform][odd-entry]")
{
    const auto   page_items = GENERATE(1, 6);
    const auto   follows    = GENERATE(std::string(), "i-02", "i-04", "i-13");
    const auto   is_target  = GENERATE(true, false);
    const auto   names      = odd_names();
    const auto   index = GENERATE_COPY(range(std::size_t{0}, names.size()));
    const auto&  odd   = names[index];
    strict_store store(static_cast<std::size_t>(page_items));
    fill(store);
    store.put((is_target ? "servers/" : "op/evacuate/") + follows + odd.text,
              no_target);
    INFO("page_items=" << page_items << " name=" << follows << odd.text);
    const auto found = list_all(store);
    CHECK(found.error.message() == "");
    REQUIRE(found.complete);
    CHECK(store.refused() == 0);
    CHECK(found.targets == sound_names());
    auto evacuated = sound_names();
    if (!is_target && odd.is_unicode)
        evacuated.insert(follows + odd.text);
    CHECK(found.evacuated == evacuated);
}

// Guards against an entry that hides the other changes of a watch.
TEST_CASE("a watch sends all changes whatever the names of its entries",
          "[platform][odd-entry]")
{
    const auto   is_target = GENERATE(true, false);
    strict_store store;
    const auto   prefix = is_target ? "servers/" : "op/evacuate/";
    for (const auto& it : odd_names()) {
        store.put(prefix + it.text, no_target);
        store.remove(prefix + it.text);
    }
    store.put("servers/i-1", entry_of("10.0.0.1:80"));
    scripted_target server(serve(store));
    io_thread       thread;
    const auto      found = run_on(thread, [&] {
        store_client client(thread.io(), server.address());
        return client.watch(100, milliseconds{0}, call_limit);
    });
    REQUIRE(found.ok());
    REQUIRE_FALSE(found->changes.empty());
    const auto* last = std::get_if<target>(&found->changes.back());
    REQUIRE(last);
    CHECK(last->id == "i-1");
}

// Guards against daemons that do not serve after a restart of all of them,
// since a page of the store's list ends with an entry of another writer, or
// holds nothing else.
TEST_CASE("all daemons restart while the store lists an odd entry",
          "[gateway][sockets][odd-entry]")
{
    const auto [key, page_items] =
        GENERATE(table<std::string, int>({{"servers/i-04 x", 6},
                                          {"servers/i-04%2", 6},
                                          {"servers/i-04\r\nX-Odd: 1", 6},
                                          {"servers/i-04\xed\xa0\x80", 6},
                                          {"op/evacuate/y%", 6},
                                          {"op/evacuate/y\xff", 6},
                                          {"servers/&", 1},
                                          {"servers/+", 1},
                                          {"servers/#", 1},
                                          {"servers/&after=servers/i-99", 1},
                                          {"op/evacuate/&", 1},
                                          {"op/evacuate/#", 1}}));
    constexpr int requests = 200;
    strict_store  store(static_cast<std::size_t>(page_items));
    store_fleet   fleet(store);
    fleet.start();
    REQUIRE(fleet.await_ready());
    // So that the key is the last one of a page.
    for (const auto* name : {"x-0", "x-1", "x-2", "x-3", "x-4", "z-9"}) {
        if (key.starts_with("op/"))
            store.put(std::string("op/evacuate/") + name, "{}");
    }
    store.put(key, no_target);
    fleet.restart();
    INFO("key=" << key);
    CHECK(fleet.await_ready());
    CHECK(fleet.serve_requests(requests) == requests);
    CHECK(store.refused() == 0);
}

// Guards against a list that is read again without a pause, or taken for
// complete, since the store sends a page that does not move on.
TEST_CASE("a page that does not move on is an error", "[platform][odd-entry]")
{
    const auto empty_prefix =
        GENERATE(std::string("servers/"), "op/evacuate/", "");
    strict_store store(6);
    fill(store);
    if (empty_prefix.empty())
        store.repeat_first_page();
    else
        store.send_empty_pages(empty_prefix);
    const auto found = list_all(store);
    CHECK_FALSE(found.complete);
    CHECK(absl::IsInvalidArgument(found.error));
    const auto named = empty_prefix.empty() ? "op/evacuate/i-05" : empty_prefix;
    CHECK(found.error.message().find(named) != std::string::npos);
}

// Guards against daemons that use up the store's reads, which all of them
// share, while a list cannot be completed.
TEST_CASE("reads of a list that does not move on are paced",
          "[gateway][sockets][odd-entry]")
{
    // Stated by the store for all of 360 daemons together.
    constexpr double  reads_per_s = 2000. / 360;
    constexpr seconds time{3};
    strict_store      store(6);
    store_fleet       fleet(store);
    store.repeat_first_page();
    fleet.start();
    std::this_thread::sleep_for(time);
    CHECK(store.requests() <= 2 * reads_per_s * time.count());
    // The configuration, both lists' first pages and further tries.
    CHECK(store.requests() >= 2 * 3);
}

// Guards against header fields of another writer in calls of targets: the id of
// a target is sent as a field's value, its address as the host.
TEST_CASE("an entry names no target if its texts fit in no header field",
          "[platform][odd-entry]")
{
    for (const auto& id : odd_ids()) {
        INFO("id=" << id);
        CHECK_FALSE(platform::decode_target(id, entry_of("10.0.0.1:80")).ok());
        strict_store store(6);
        fill(store);
        store.put("servers/" + id, entry_of("10.0.0.1:80"));
        CHECK(list_all(store).targets == sound_names());
    }
    for (const std::string id : {"i-1", "i 1", "i&+#%1", "\xc3\xa9"})
        CHECK(platform::decode_target(id, entry_of("10.0.0.1:80")).ok());
    // Whatever follows the scope of an IPv6 address is read as a number.
    for (const std::string scope :
         {"1\\r\\nX-Odd: 1", "1\\nX", "1\\u0000", "1\\t"})
        CHECK_FALSE(
            platform::decode_target("i", entry_of("[fe80::1%" + scope + "]:80"))
                .ok());
    CHECK(platform::decode_target("i", entry_of("[fe80::1%1]:80")).ok());
}

// Guards against such entries that a daemon of the version before, which takes
// them for targets, passes on.
TEST_CASE("relayed entries name no target if their texts fit in no field",
          "[gateway][odd-entry]")
{
    state_copy copy{{100, 0}, "{}", {make_target("i-1", "10.0.0.1:80")}};
    std::optional<relayed_changes> changes{relayed_changes{}};
    changes->changes.changes.emplace_back(copy.targets[0]);
    for (const auto& id : odd_ids()) {
        copy.targets.push_back(make_target(id, "10.0.0.1:80"));
        changes->changes.changes.emplace_back(copy.targets.back());
    }
    copy.targets.push_back(make_target("i-2", "[fe80::1%1\r\nX: 1]:80"));
    changes->changes.changes.emplace_back(copy.targets.back());
    const auto read_copy = decode_state(encode(copy));
    REQUIRE(read_copy);
    REQUIRE(read_copy->targets.size() == 1);
    CHECK(read_copy->targets[0].id == "i-1");
    const auto read_changes = decode_changes(encode(changes));
    REQUIRE(read_changes);
    REQUIRE(read_changes->changes.changes.size() == 1);
    CHECK(std::get<target>(read_changes->changes.changes[0]).id == "i-1");
}

// Guards against header fields or further inputs of a target's own making: the
// handles of results are sent to other targets in one field, between commas.
TEST_CASE("a result whose handle fits in no list of inputs counts as failed",
          "[platform][odd-entry]")
{
    const platform::http_codec codec;
    for (const auto* odd :
         {"", " ", "a\\r\\nX-Odd: 1", "a\\nb", "a\\u0000", "a,b", "a ", ","})
    {
        INFO("handle=" << odd);
        const auto results = codec.decode_stage_results(
            R"({"items":[{"handle":"10.0.0.1:80/1"},{"handle":")" +
                std::string(odd) + R"("},{"handle":"10.0.0.1:80/2"}]})",
            3);
        REQUIRE(results.ok());
        CHECK(results->at(0).handle == "10.0.0.1:80/1");
        CHECK(results->at(1).handle == "");
        CHECK(results->at(1).failure == piece_failure::failed);
        CHECK(results->at(2).handle == "10.0.0.1:80/2");
    }
}

// Guards against such handles that a daemon of the version before, which takes
// them for results, passes on.
TEST_CASE("an order with a handle that fits in no list of inputs has failed",
          "[gateway][odd-entry]")
{
    stage_outcome outcome;
    outcome.state    = order_state::done;
    outcome.handles  = {"10.0.0.1:80/1", "10.0.0.1:80/2"};
    const auto sound = decode_outcome(encode(outcome, {}), {});
    REQUIRE(sound);
    CHECK(sound->state == order_state::done);
    CHECK(sound->handles == outcome.handles);
    for (const std::string odd : {"a\r\nX-Odd: 1", "a,b", ""}) {
        outcome.handles[1] = odd;
        const auto read    = decode_outcome(encode(outcome, {}), {});
        REQUIRE(read);
        CHECK(read->state == order_state::failed);
        CHECK(read->handles.empty());
    }
}

// Guards against header fields of a target's own making: the id of a stream's
// last event is sent to the target that resumes the stream.
TEST_CASE("an event id ends with its line", "[gateway][odd-entry]")
{
    const auto id_of = [](const std::string& lines) {
        event_splitter events;
        events.add(lines + "\n\n");
        const auto it = events.next();
        REQUIRE(it);
        return it->id;
    };
    CHECK(id_of("id: 7\ndata: a") == "7");
    CHECK(id_of("id: 7\r\ndata: a") == "7");
    CHECK(id_of("id: 7\rX-Odd: 1\ndata: a") == "7");
    CHECK(id_of("data: a\rid: 7") == "7");
    CHECK(id_of("id: 7\rid: 8\r\ndata: a") == "8");
    CHECK_FALSE(id_of("data: a"));
}

// Guards against the same with bytes that no header field may hold: such a
// stream is not resumed.
TEST_CASE("a stream is not resumed after an id that fits in no field",
          "[gateway][sockets][odd-entry]")
{
    const auto id = GENERATE(std::string("\x01"), std::string("7\0", 2), "7 ",
                             " 7", "\x7f", "7");
    const bool sound = id == "7";
    std::atomic<int> first{0};
    scripted_target* server = nullptr;
    scripted_target  t([&](target_session& it) {
        for (auto text = it.read(); !text.empty(); text = it.read()) {
            server->note(text);
            if (++first == 1) {
                it.write(stream_head() + chunk("id: " + id + "\ndata: a\n\n"));
                // A reset may overtake the event.
                std::this_thread::sleep_for(milliseconds{50});
                it.reset();
                return;
            }
            it.write(stream_head() + chunk("id: 8\ndata: b\n\n") + "0\r\n\r\n");
        }
    });
    server = &t;
    const gateway_fixture g(
        {make_target("i-0", t.address()), make_target("i-1", t.address())});
    const auto out = g.exchange(gateway_fixture::request("/resume/a"));
    INFO("id=" << id);
    // A stream of which the caller got nothing may begin anew.
    const bool began = out.find("data: a") != std::string::npos;
    for (const auto& it : t.requests())
        CHECK((it.find("Last-Event-Id") == std::string::npos ||
               it.find("\r\nLast-Event-Id: 7\r\n") != std::string::npos));
    if (began)
        CHECK(out.ends_with("0\r\n\r\n") == sound);
}
