#include "state_follower.hpp"

#include "peer_codec.hpp"

#include <catch2/catch.hpp>

using namespace arbutusgate;
using namespace arbutusgate::gateway;

namespace {

using step_kind = state_follower::step_kind;

time_point at(int ms)
{
    return time_point{} + milliseconds{ms};
}

configuration make_config(std::uint64_t version)
{
    configuration out;
    out.version = version;
    return out;
}

configuration_read read_at(std::uint64_t version, std::uint64_t revision)
{
    return {make_config(version), revision};
}

target make_target(std::string id)
{
    target out;
    out.id      = std::move(id);
    out.service = "s";
    out.address = "10.0.0.1:80";
    return out;
}

/// A follower whose callbacks are recorded.
struct fixture
{
    target_directory         targets{milliseconds{2000}};
    std::vector<std::string> log;
    state_follower           follower;

    fixture()
        : follower(follow_times{},
                   {[this](const route_table& table) {
                        log.push_back("config " +
                                      std::to_string(table.version()));
                    },
                    [this](const std::string& id, target_change change) {
                        log.push_back(id + (change == target_change::gone
                                                ? " gone"
                                                : " changed"));
                    },
                    [this](const std::string&) { log.push_back("lost"); },
                    [this](milliseconds) { log.push_back("back"); },
                    [this](const std::string&) {
                        log.push_back("rejected");
                    }},
                   targets, at(0))
    {
    }

    /// Passes in a configuration and one page, after which the follower
    /// watches.
    void synchronize(int ms, std::vector<state_change> entries)
    {
        follower.on_configuration(read_at(5, 90), at(ms));
        follower.on_page(state_page{std::move(entries), 100, ""}, at(ms));
    }
};

} // namespace

// Guards against a daemon that serves before it knows routes and targets.
TEST_CASE("a follower reads the configuration, all pages, then watches",
          "[gateway]")
{
    fixture f;
    CHECK(f.follower.next(at(0)).kind == step_kind::read_configuration);
    CHECK(f.follower.table() == nullptr);
    f.follower.on_configuration(read_at(5, 90), at(4));
    CHECK(f.follower.table()->version() == 5);
    CHECK(f.follower.next(at(4)).kind == step_kind::read_targets);
    f.follower.on_page(state_page{{make_target("a")}, 100, "servers/a"}, at(8));
    CHECK_FALSE(f.follower.targets_known());
    const auto step = f.follower.next(at(8));
    CHECK(step.kind == step_kind::read_targets);
    CHECK(step.page == "servers/a");
    f.follower.on_page(state_page{{make_target("b")}, 130, ""}, at(12));
    CHECK(f.follower.targets_known());
    CHECK(f.targets.size() == 2);
    const auto watch = f.follower.next(at(12));
    CHECK(watch.kind == step_kind::watch);
    // The pages are no snapshot: the watch starts at the revision of the first
    // read.
    CHECK(watch.after == 90);
}

// Guards against a list that begins anew, or without a pause, for each page
// that fails, and against such a list that no log line reports.
TEST_CASE("a list goes on at the page that failed", "[gateway]")
{
    fixture f;
    f.follower.on_configuration(read_at(5, 90), at(0));
    f.follower.on_page(state_page{{make_target("a")}, 100, "servers/a"}, at(4));
    int reads = 0;
    int ms    = 4;
    for (; ms < 10'000; ++ms) {
        const auto step = f.follower.next(at(ms));
        if (step.kind == step_kind::sleep)
            continue;
        ++reads;
        REQUIRE(step.kind == step_kind::read_targets);
        CHECK(step.page == "servers/a");
        f.follower.on_page(absl::InvalidArgumentError("no later key"), at(ms));
    }
    // At 150 ms, 300 ms and then 600 ms after the failure before.
    CHECK(reads <= 20);
    CHECK(f.log.back() == "lost");
    f.follower.on_page(state_page{{make_target("b")}, 130, ""}, at(ms));
    CHECK(f.targets.size() == 2);
}

// Guards against a configuration that is published between the reads of the
// configuration and of the first page, and is never seen.
TEST_CASE("a change during the first reads is not missed", "[gateway]")
{
    fixture f;
    f.follower.on_configuration(read_at(29, 90), at(0));
    f.follower.on_page(state_page{{make_target("a")}, 95, ""}, at(4));
    REQUIRE(f.follower.next(at(4)).after == 90);
    f.follower.on_changes(
        state_changes{{make_config(32), make_target("a")}, 95}, at(8));
    CHECK(f.follower.table()->version() == 32);
}

// Guards against a configuration that is replaced by an older one, also after
// the store has dropped its history.
TEST_CASE("an older configuration is never applied", "[gateway]")
{
    fixture f;
    f.synchronize(0, {});
    f.follower.on_changes(state_changes{{make_config(9), make_config(7)}, 110},
                          at(10));
    CHECK(f.follower.table()->version() == 9);
    f.follower.on_changes(absl::OutOfRangeError("gone"), at(20));
    CHECK(f.follower.next(at(1000)).kind == step_kind::read_configuration);
    f.follower.on_configuration(read_at(8, 90), at(1010));
    CHECK(f.follower.table()->version() == 9);
}

// Guards against a leaving target that is used again: a daemon that relays
// changes may be behind the list that was read from the store.
TEST_CASE("changes that are older than the list are not applied", "[gateway]")
{
    fixture f;
    auto    leaving = make_target("a");
    leaving.leaving = true;
    f.synchronize(0, {leaving});
    f.follower.on_changes(state_changes{{make_target("a")}, 95}, at(10));
    CHECK(f.targets.usable("s").empty());
    CHECK(f.follower.next(at(600)).after == 90);
    f.follower.on_changes(state_changes{{make_target("a"), leaving}, 100},
                          at(610));
    CHECK(f.targets.usable("s").empty());
    CHECK(f.follower.next(at(1300)).after == 100);
}

// Guards against a busy loop on a store that responds at once, and against
// watches that are too far apart to put a change in force in time.
TEST_CASE("watches are spaced and follow the last revision", "[gateway]")
{
    fixture f;
    f.synchronize(0, {});
    CHECK(f.follower.next(at(0)).kind == step_kind::watch);
    f.follower.on_changes(state_changes{{}, 140}, at(5));
    const auto step = f.follower.next(at(5));
    CHECK(step.kind == step_kind::sleep);
    CHECK(step.wake_at == at(600));
    CHECK(f.follower.next(at(600)).after == 140);
}

// Guards against removed targets that stay in use because the store has dropped
// the history with their removal.
TEST_CASE("all targets are read again when the store dropped its history",
          "[gateway]")
{
    fixture f;
    f.synchronize(0, {make_target("a"), make_target("b")});
    f.follower.on_changes(absl::OutOfRangeError("gone"), at(1000));
    f.follower.on_configuration(read_at(5, 90), at(1004));
    f.follower.on_page(state_page{{make_target("b")}, 300, ""}, at(1008));
    CHECK(f.targets.find("a") == nullptr);
    CHECK(f.log.back() == "a gone");
    CHECK(f.follower.next(at(2000)).after == 90);
}

// Guards against a daemon that overloads a store that refuses its calls.
TEST_CASE("failed calls are retried with exponential backoff", "[gateway]")
{
    fixture f;
    f.synchronize(0, {});
    f.follower.on_changes(absl::ResourceExhaustedError("busy"), at(100));
    CHECK(f.follower.next(at(100)).wake_at == at(250));
    f.follower.on_changes(absl::ResourceExhaustedError("busy"), at(260));
    CHECK(f.follower.next(at(260)).wake_at == at(560));
    f.follower.on_changes(absl::ResourceExhaustedError("busy"), at(570));
    f.follower.on_changes(absl::ResourceExhaustedError("busy"), at(1200));
    CHECK(f.follower.next(at(1200)).wake_at == at(1800));
}

// Guards against a daemon without targets after an outage of the store in which
// their entries expired.
TEST_CASE("entries that expired in an outage stay usable for the grace",
          "[gateway]")
{
    fixture f;
    f.synchronize(0, {make_target("a")});
    f.follower.on_changes(absl::UnavailableError("no answer"), at(1400));
    CHECK_FALSE(f.follower.source_lost());
    f.follower.on_changes(absl::UnavailableError("no answer"), at(1600));
    CHECK(f.follower.source_lost());
    f.follower.on_changes(state_changes{{target_removed{"a"}}, 150}, at(5000));
    CHECK_FALSE(f.follower.source_lost());
    CHECK(f.targets.usable("s").size() == 1);
    f.follower.next(at(7001));
    CHECK(f.targets.usable("s").empty());
    CHECK(std::count(f.log.begin(), f.log.end(), "lost") == 1);
    CHECK(std::count(f.log.begin(), f.log.end(), "back") == 1);
}

// Guards against one damaged entry that prevents the use of all others.
TEST_CASE("entries that cannot be parsed are reported and skipped", "[gateway]")
{
    fixture f;
    f.synchronize(0, {make_target("a"), make_target("b")});
    f.follower.on_changes(
        state_changes{{configuration_unreadable{"bad"},
                       target_removed{"a", true}, make_config(6)},
                      120},
        at(10));
    CHECK(f.follower.table()->version() == 6);
    CHECK(f.targets.usable("s").size() == 1);
    CHECK(std::count(f.log.begin(), f.log.end(), "rejected") == 1);
}

// Guards against a daemon that starts while the store is down and refuses all
// callers although other daemons know the configuration, and against older
// state that replaces newer state.
TEST_CASE("a daemon adopts newer state of another one", "[gateway]")
{
    fixture f;
    CHECK_FALSE(f.follower.copy(at(0)));
    f.follower.on_configuration(absl::UnavailableError("down"), at(10));
    CHECK_FALSE(f.follower.source_failing(at(700)));
    CHECK(f.follower.source_failing(at(900)));
    state_copy copy{50, "text", {make_target("a"), make_target("b")}};
    REQUIRE(f.follower.adopt(copy, make_config(7), at(20)));
    CHECK(f.follower.table()->version() == 7);
    CHECK(f.follower.targets_known());
    CHECK(f.targets.usable("s").size() == 2);
    CHECK(f.follower.copy(at(0))->revision == 50);
    CHECK_FALSE(f.follower.adopt(copy, make_config(8), at(30)));
    CHECK(f.follower.table()->version() == 7);
    // The store is asked for the changes after the adopted state.
    const auto step = f.follower.next(at(1000));
    CHECK(step.kind == step_kind::watch);
    CHECK(step.after == 50);
}

// Guards against a large fleet that, while the store limits the calls after a
// restart, asks its first ready daemons for copies and so keeps them from
// serving.
TEST_CASE("peers are not asked while the store refuses calls", "[gateway]")
{
    fixture f;
    f.follower.on_configuration(absl::UnavailableError("down"), at(10));
    f.follower.on_configuration(absl::ResourceExhaustedError("busy"), at(1200));
    CHECK_FALSE(f.follower.source_failing(at(1300)));
}

// Guards against applying a store response to a call that began before newer
// state was adopted from another daemon.
TEST_CASE("a response that is older than adopted state is dropped", "[gateway]")
{
    fixture f;
    f.synchronize(0, {make_target("a")});
    CHECK(f.follower.next(at(1000)).kind == step_kind::watch);
    auto leaving    = make_target("a");
    leaving.leaving = true;
    REQUIRE(f.follower.adopt({200, "", {leaving}}, make_config(6), at(1010)));
    f.follower.on_changes(state_changes{{make_target("a")}, 120}, at(1020));
    CHECK(f.targets.find("a")->leaving);
    CHECK(f.follower.next(at(2000)).after == 200);
}

// Guards against changes that come into force late where operators state a
// shorter bound, and against needless calls where they state a longer one.
TEST_CASE("the watch interval follows the stated bound", "[gateway]")
{
    for (const int bound : {1000, 2000, 3000, 17'000}) {
        const auto times = follow_times_for(milliseconds{bound});
        // A change is published just after a call, and the next call is lost.
        CHECK(times.watch_interval + times.timeout + times.min_retry_delay +
                  times.wait <
              milliseconds{bound});
        CHECK(times.watch_interval >= milliseconds{bound / 4});
    }
}

namespace {

target in_domain(std::string id, std::string failure_domain)
{
    auto out           = make_target(std::move(id));
    out.failure_domain = std::move(failure_domain);
    return out;
}

} // namespace

// Guards against work for the targets of a failure domain that the operators
// have evacuated, and against a domain that stays unused after its evacuation.
TEST_CASE("an evacuation is in force from the first page to its removal",
          "[gateway]")
{
    fixture f;
    f.synchronize(
        0, {domain_evacuation{"a"}, in_domain("1", "a"), in_domain("2", "b")});
    const auto usable = [&] {
        return f.targets.usable("s").size();
    };
    CHECK(usable() == 1);
    CHECK(f.targets.evacuated(*f.targets.find("1")));
    // Targets that join later belong to the domain, too.
    f.follower.on_changes(state_changes{{in_domain("3", "a")}, 101}, at(10));
    CHECK(usable() == 1);
    f.follower.on_changes(
        state_changes{{domain_evacuation{"a", false}, domain_evacuation{"b"}},
                      102},
        at(20));
    CHECK(usable() == 2);
    CHECK_FALSE(f.targets.evacuated(*f.targets.find("1")));
}

// Guards against an evacuation that stays in force because it was ended while
// the store did not answer, or had dropped its history.
TEST_CASE("a new listing replaces the known evacuations", "[gateway]")
{
    fixture f;
    f.synchronize(0, {domain_evacuation{"a"}, in_domain("1", "a")});
    f.follower.on_changes(absl::OutOfRangeError("history"), at(10));
    f.synchronize(20, {domain_evacuation{"c"}, in_domain("1", "a")});
    CHECK(f.targets.usable("s").size() == 1);
    CHECK(f.targets.evacuated() == std::set<std::string>{"c"});
}

// Guards against a daemon that starts while the store is down and sends work to
// an evacuated domain, and against an older copy that revives an evacuation.
TEST_CASE("copies of the state carry evacuations by revision", "[gateway]")
{
    fixture a;
    a.synchronize(0, {domain_evacuation{"a"}, in_domain("1", "a")});
    const auto sent = decode_state(encode(*a.follower.copy(at(0))));
    REQUIRE(sent);
    fixture b;
    REQUIRE(b.follower.adopt(*sent, make_config(5), at(0)));
    CHECK(b.targets.usable("s").empty());
    b.follower.next(at(5));
    b.follower.on_changes(state_changes{{domain_evacuation{"a", false}},
                                        sent->revision.number + 1},
                          at(10));
    CHECK_FALSE(b.follower.adopt(*sent, make_config(5), at(20)));
    CHECK(b.targets.usable("s").size() == 1);
}

// Guards against daemons that follow the state through another one and miss an
// evacuation or its end.
TEST_CASE("relayed changes carry evacuations", "[gateway]")
{
    relayed_changes changes;
    changes.changes = {{domain_evacuation{"a"}, domain_evacuation{"b", false}},
                       7};
    const auto read = decode_changes(encode(std::optional(changes)));
    REQUIRE(read);
    REQUIRE(read->changes.changes.size() == 2);
    const auto* began =
        std::get_if<domain_evacuation>(&read->changes.changes[0]);
    const auto* ended =
        std::get_if<domain_evacuation>(&read->changes.changes[1]);
    REQUIRE(began);
    REQUIRE(ended);
    CHECK(began->failure_domain == "a");
    CHECK(began->active);
    CHECK_FALSE(ended->active);
}

namespace {

/// A configuration whose service limits the calls to cold targets.
configuration_read cold_config()
{
    auto    out = read_at(5, 90);
    service s;
    s.name              = "s";
    s.cold              = cold_limits{milliseconds{3000}, 15};
    out.config.services = {s};
    return out;
}

target in_cold_domain(const std::string& id, milliseconds cold_for,
                      std::int64_t started_at = 1)
{
    auto out           = make_target(id);
    out.failure_domain = "a";
    out.started_at     = started_at;
    out.cold_for       = cold_for;
    return out;
}

} // namespace

// Guards against cold targets that get an unlimited number of calls: entries
// and changes say that they are cold, also after a restart.
TEST_CASE("targets are cold by their entries", "[gateway][cold]")
{
    fixture f;
    f.follower.on_configuration(cold_config(), at(0));
    f.follower.on_page(state_page{{in_cold_domain("1", milliseconds{2000}),
                                   in_cold_domain("2", milliseconds{0})},
                                  100,
                                  ""},
                       at(0));
    const auto cold = [&](const std::string& id, int ms) {
        return f.targets.limits().find(*f.targets.find(id), at(ms)) != nullptr;
    };
    CHECK(cold("1", 1999));
    CHECK_FALSE(cold("1", 2000));
    CHECK_FALSE(cold("2", 0));
    // An unchanged entry but for its coldness.
    f.follower.on_changes(
        state_changes{{in_cold_domain("2", milliseconds{1500})}, 101}, at(100));
    CHECK(cold("2", 1599));
    f.follower.on_changes(
        state_changes{{in_cold_domain("1", milliseconds{3000}, 2)}, 102},
        at(500));
    CHECK(cold("1", 3499));
    CHECK_FALSE(cold("1", 3500));
    // A copy carries what remains, not what was published.
    const auto copied = decode_state(encode(*f.follower.copy(at(1500))));
    REQUIRE(copied);
    for (const auto& it : copied->targets)
        CHECK(it.cold_for == milliseconds{it.id == "1" ? 2000 : 100});
}

// Guards against targets that became cold during an evacuation, and against
// limits of services that state none.
TEST_CASE("targets count as cold after an evacuation", "[gateway][cold]")
{
    const bool relisted = GENERATE(false, true);
    const bool limited  = GENERATE(false, true);
    fixture    f;
    f.follower.on_configuration(limited ? cold_config() : read_at(5, 90),
                                at(0));
    f.follower.on_page(state_page{{in_cold_domain("1", milliseconds{0}),
                                   domain_evacuation{"a"}},
                                  100,
                                  ""},
                       at(0));
    const auto cold = [&](int ms) {
        return f.targets.limits().find(*f.targets.find("1"), at(ms)) != nullptr;
    };
    CHECK_FALSE(cold(0));
    if (relisted) {
        f.follower.on_changes(absl::OutOfRangeError("history"), at(9000));
        f.synchronize(10'000, {in_cold_domain("1", milliseconds{0})});
    }
    else {
        f.follower.on_changes(
            state_changes{{domain_evacuation{"a", false}}, 101}, at(10'000));
    }
    CHECK(f.targets.usable("s").size() == 1);
    CHECK(cold(10'000) == limited);
    CHECK(cold(12'999) == limited);
    CHECK_FALSE(cold(13'000));
}
