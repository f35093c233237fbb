#include "change_log.hpp"
#include "peer_codec.hpp"
#include "state_follower.hpp"

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
    service s;
    s.name       = "s";
    s.cold       = cold_limits{milliseconds{3000}, 15};
    out.services = {s};
    return out;
}

target make_target(const std::string& id, bool leaving = false,
                   std::int64_t started_at = 1)
{
    return {id, "s", "10.0.0.1:80", "a", 4, leaving, started_at};
}

/// A daemon that follows a store in its first era, unless stated otherwise.
struct daemon_state
{
    target_directory                                       targets{seconds{2}};
    std::vector<std::pair<state_revision, state_revision>> era_changes;
    state_follower follower{follow_times{}, events(), targets, at(0)};

    follow_events events()
    {
        follow_events out;
        out.era_changed = [this](const auto& known, const auto& published) {
            era_changes.emplace_back(known, published);
        };
        return out;
    }
    void list(int ms, state_revision revision,
              std::vector<state_change> entries, std::uint64_t version = 5)
    {
        follower.on_configuration(
            configuration_read{make_config(version), revision}, at(ms));
        follower.on_page(state_page{std::move(entries), revision, ""}, at(ms));
    }
    void change(int ms, state_revision revision,
                std::vector<state_change> changes)
    {
        follower.on_changes(state_changes{std::move(changes), revision},
                            at(ms));
    }
    bool usable(const std::string& id) const
    {
        const auto& all = targets.usable("s");
        return std::any_of(all.begin(), all.end(),
                           [&](const auto* it) { return it->id == id; });
    }
};

} // namespace

// Guards against comparing revisions of different eras by number, and against
// taking an unknown era, as that of an older daemon, for an earlier one of the
// store. Three states of which each replaces the next one would be adopted by
// daemons in turn.
TEST_CASE("states are ordered by era, then by revision", "[gateway][era]")
{
    const state_revision low{10, 2};
    const state_revision high{99, 1};
    const state_revision unknown{50};
    CHECK(newer(low, high));
    CHECK_FALSE(newer(high, low));
    CHECK(newer({11, 2}, low));
    CHECK_FALSE(newer(low, low));
    CHECK_FALSE(newer(unknown, low));
    CHECK(newer(low, unknown));
    CHECK(newer(high, unknown));
    CHECK(newer({51}, unknown));
    CHECK_FALSE(same_history(unknown, low));
    CHECK_FALSE(earlier_era(unknown, low));
    CHECK(earlier_era(high, low));
}

// Guards against changes that are missed because a restored store has given out
// the known revision again, for another change: the watch succeeds.
TEST_CASE("a follower reads a restored store anew", "[gateway][era]")
{
    daemon_state d;
    d.list(0, {100, 1}, {make_target("a"), make_target("b")});
    // Revision 100 was given out again; the entry of "b" was removed at 98.
    d.change(1000, {101, 2}, {make_target("c")});
    CHECK(d.follower.next(at(1000)).kind == step_kind::read_configuration);
    d.list(1010, {101, 2}, {make_target("a"), make_target("c")});
    CHECK(d.usable("c"));
    const auto step = d.follower.next(at(3100));
    CHECK(step.kind == step_kind::watch);
    CHECK(step.after == state_revision(101, 2));
    CHECK_FALSE(d.usable("b"));
    REQUIRE(d.era_changes.size() == 1);
    CHECK(d.era_changes[0].first == state_revision(100, 1));
}

// Guards against a revision that stays that of the earlier era, since it is the
// larger one: all changes up to it would be missed.
TEST_CASE("a follower continues from the smaller revision of a later era",
          "[gateway][era]")
{
    daemon_state d;
    d.list(0, {100, 1}, {make_target("a")});
    d.follower.on_changes(absl::OutOfRangeError("no such revision"), at(1000));
    d.list(1010, {60, 2}, {make_target("a")});
    CHECK(d.follower.next(at(2000)).after == state_revision(60, 2));
    d.change(2000, {61, 2}, {target_removed{"a"}});
    CHECK(d.follower.next(at(3100)).after == state_revision(61, 2));
    CHECK_FALSE(d.usable("a"));
}

// Guards against a list that is put together from pages before and after the
// store was restored.
TEST_CASE("a list whose pages are of two eras is read again", "[gateway][era]")
{
    daemon_state d;
    d.follower.on_configuration(configuration_read{make_config(5), {100, 1}},
                                at(0));
    d.follower.on_page(state_page{{make_target("a")}, {100, 1}, "next"}, at(5));
    d.follower.on_page(state_page{{make_target("b")}, {90, 2}, ""}, at(10));
    CHECK_FALSE(d.follower.targets_known());
    CHECK(d.follower.next(at(10)).kind == step_kind::read_configuration);
    d.list(20, {90, 2}, {make_target("b")});
    CHECK(d.usable("b"));
    CHECK_FALSE(d.usable("a"));
}

// Guards against a daemon that is turned back by a response of a store, or a
// copy of a daemon, of an earlier era.
TEST_CASE("state of an earlier era is not applied", "[gateway][era]")
{
    daemon_state d;
    d.list(0, {60, 2}, {make_target("a")});
    d.change(1000, {200, 1}, {target_removed{"a"}});
    CHECK(d.usable("a"));
    CHECK(d.follower.next(at(2000)).after == state_revision(60, 2));
    CHECK_FALSE(d.follower.adopt({{200, 1}, "", {}}, make_config(9), at(2000)));
    CHECK(d.usable("a"));
    REQUIRE(d.follower.adopt({{50, 3}, "", {make_target("b")}}, make_config(6),
                             at(2000)));
    CHECK(d.usable("b"));
    CHECK(d.follower.next(at(3000)).after == state_revision(50, 3));
}

// Guards against a daemon that, after it has adopted state of unknown era,
// takes the store's changes for those after that state.
TEST_CASE("state of unknown era is replaced by a list of the store",
          "[gateway][era]")
{
    daemon_state d;
    REQUIRE(
        d.follower.adopt({100, "", {make_target("a")}}, make_config(5), at(0)));
    CHECK(d.follower.next(at(600)).kind == step_kind::watch);
    d.change(700, {101, 4}, {});
    CHECK(d.follower.next(at(700)).kind == step_kind::read_configuration);
    d.list(710, {101, 4}, {make_target("b")});
    CHECK(d.usable("b"));
    d.follower.next(at(2711));
    CHECK_FALSE(d.usable("a"));
}

// Guards against work for targets that are known to be leaving or gone, which
// the older copy shows as ready, and against targets that are then never used.
TEST_CASE("a restored store does not undo what is known of targets",
          "[gateway][era]")
{
    daemon_state d;
    d.list(0, {100, 1}, {make_target("a"), make_target("b"), make_target("c")});
    d.change(500, {102, 1}, {make_target("a", true), target_removed{"b"}});
    d.change(1000, {95, 2}, {});
    d.list(1010, {95, 2},
           {make_target("a"), make_target("b"), make_target("c")});
    CHECK_FALSE(d.usable("a"));
    CHECK_FALSE(d.usable("b"));
    CHECK(d.usable("c"));
    SECTION("until they write their entries again")
    {
        d.change(2000, {97, 2}, {make_target("a"), make_target("b")});
        CHECK(d.usable("a"));
        CHECK(d.usable("b"));
    }
    SECTION("or start again")
    {
        d.change(2000, {97, 2}, {});
        d.change(3000, {50, 3}, {});
        d.list(3010, {50, 3},
               {make_target("a", false, 2), make_target("b", false, 2)});
        CHECK(d.usable("a"));
        CHECK(d.usable("b"));
    }
}

// Guards against a live target that stays unused: it was removed while it did
// not reach the store, and wrote its entry again before the list was read.
TEST_CASE("what is known of targets holds for a time after a restoration",
          "[gateway][era]")
{
    daemon_state d;
    d.list(0, {100, 1}, {make_target("a"), make_target("b")});
    d.change(500, {101, 1}, {target_removed{"b"}});
    const bool adopted = GENERATE(false, true);
    if (adopted) {
        REQUIRE(d.follower.adopt(
            {{97, 2}, "", {make_target("a"), make_target("b")}}, make_config(5),
            at(1010)));
    }
    else {
        d.change(1000, {97, 2}, {});
        d.list(1010, {97, 2}, {make_target("a"), make_target("b")});
    }
    CHECK_FALSE(d.usable("b"));
    CHECK(d.follower.next(at(11'010)).kind == step_kind::read_configuration);
    d.list(11'010, {97, 2}, {make_target("a"), make_target("b")});
    CHECK(d.usable("b"));
    CHECK(d.follower.next(at(60'000)).kind == step_kind::watch);
}

// Guards against a live target whose damaged entry was rejected, and which the
// restored store shows as sound.
TEST_CASE("a rejected entry may come back with a restored store",
          "[gateway][era]")
{
    daemon_state d;
    d.list(0, {100, 1}, {make_target("a")});
    d.change(500, {101, 1}, {target_removed{"a", true}});
    CHECK_FALSE(d.usable("a"));
    d.change(1000, {97, 2}, {});
    d.list(1010, {97, 2}, {make_target("a")});
    CHECK(d.usable("a"));
}

// Guards against work for a target that says in the first response of the new
// era that it leaves, if the store then refuses the list.
TEST_CASE("the response that shows a new era is heeded", "[gateway][era]")
{
    daemon_state d;
    d.list(0, {100, 1}, {make_target("a"), make_target("b")});
    d.change(1000, {97, 2},
             {make_target("a", true), target_removed{"b"}, make_config(6)});
    CHECK_FALSE(d.usable("a"));
    CHECK(d.usable("b"));
    CHECK(d.follower.table()->version() == 6);
    CHECK(d.follower.next(at(1000)).kind == step_kind::read_configuration);
}

// Guards against targets that are cold again because the copy is older than the
// end of their cold time.
TEST_CASE("a restored store does not make targets cold again", "[gateway][era]")
{
    daemon_state d;
    auto         cold = make_target("a");
    cold.cold_for     = milliseconds{800};
    d.list(0, {100, 1}, {cold});
    const auto limited = [&](int ms) {
        return d.targets.limits().find(*d.targets.find("a"), at(ms)) != nullptr;
    };
    CHECK(limited(799));
    d.change(1000, {95, 2}, {});
    d.list(1010, {95, 2}, {cold});
    CHECK_FALSE(limited(1010));
}

// Guards against targets that are lost since they joined after the copy, until
// they write their entries again.
TEST_CASE("targets that a restored store lacks stay usable for the grace",
          "[gateway][era]")
{
    daemon_state d;
    d.list(0, {100, 1}, {make_target("a"), make_target("b")});
    d.change(1000, {95, 2}, {});
    d.list(1010, {95, 2}, {make_target("a")});
    CHECK(d.usable("b"));
    const bool back = GENERATE(false, true);
    if (back)
        d.change(2000, {97, 2}, {make_target("b")});
    d.follower.next(at(3100));
    CHECK(d.usable("b") == back);
}

// Guards against work for a failure domain whose evacuation the store has lost,
// and against one that stays unused because the evacuation had ended.
TEST_CASE("an evacuation that a restored store lacks is held for a time",
          "[gateway][era]")
{
    daemon_state d;
    d.list(0, {100, 1}, {make_target("a"), domain_evacuation{"a"}});
    d.change(1000, {95, 2}, {});
    d.list(1010, {95, 2}, {make_target("a")});
    CHECK_FALSE(d.usable("a"));
    // The end of the evacuation is not published, so that another daemon would
    // not learn of it.
    CHECK(d.follower.copy(at(1010))->evacuated.empty());
    SECTION("until everything is read again")
    {
        CHECK(d.follower.next(at(11'000)).kind == step_kind::watch);
        d.change(11'000, {96, 2}, {});
        CHECK(d.follower.next(at(11'600)).kind ==
              step_kind::read_configuration);
        CHECK_FALSE(d.usable("a"));
        d.list(11'610, {96, 2}, {make_target("a")});
        CHECK(d.usable("a"));
    }
    SECTION("until the operators repeat it")
    {
        d.change(3000, {97, 2}, {domain_evacuation{"a"}});
        d.follower.next(at(60'000));
        CHECK_FALSE(d.usable("a"));
    }
    SECTION("until the operators end it")
    {
        d.change(3000, {97, 2}, {domain_evacuation{"a", false}});
        CHECK(d.usable("a"));
    }
}

// Guards against a configuration that comes back older with the store: keys
// that were revoked would be accepted again.
TEST_CASE("a restored store does not bring back an older configuration",
          "[gateway][era]")
{
    daemon_state d;
    d.list(0, {100, 1}, {}, 7);
    d.change(1000, {95, 2}, {});
    d.list(1010, {95, 2}, {}, 6);
    CHECK(d.follower.table()->version() == 7);
    d.change(2000, {97, 2}, {make_config(6), make_config(8)});
    CHECK(d.follower.table()->version() == 8);
}

// Guards against a daemon that asks its reader with a revision of another era:
// it would get no changes, as if nothing had changed.
TEST_CASE("a change log serves only revisions of its own era", "[gateway][era]")
{
    change_log changes;
    changes.append({100, 1}, {{make_target("a")}, {102, 1}}, at(0));
    CHECK(changes.since({101, 1}, at(0)));
    CHECK_FALSE(changes.since({101, 2}, at(0)));
    CHECK_FALSE(changes.since({101}, at(0)));
    // The store was restored: the response is not contiguous with the log.
    changes.append({102, 1}, {{make_target("b")}, {104, 2}}, at(600));
    CHECK_FALSE(changes.since({102, 1}, at(600)));
    CHECK_FALSE(changes.since({103, 2}, at(600)));
    changes.append({90, 2}, {{make_target("b")}, {91, 2}}, at(700));
    CHECK_FALSE(changes.since({102, 1}, at(700)));
    CHECK_FALSE(changes.since({89, 2}, at(700)));
    REQUIRE(changes.since({90, 2}, at(700)));
    CHECK(changes.since({90, 2}, at(700))->changes.revision ==
          state_revision(91, 2));
}

// Guards against an era that is lost between daemons, and against a message of
// a daemon without eras that is read as one of an early era.
TEST_CASE("messages between daemons carry the era", "[gateway][era]")
{
    CHECK(*decode_state_query(encode_state_query({5, 3})) ==
          state_revision(5, 3));
    CHECK(decode_state(encode(state_copy{{5, 3}, "", {}}))->revision ==
          state_revision(5, 3));
    relayed_changes relayed;
    relayed.changes.revision = {5, 3};
    CHECK(decode_changes(encode(std::optional(relayed)))->changes.revision ==
          state_revision(5, 3));
    const auto without = decode_state(encode(state_copy{{5}, "", {}}));
    CHECK(without->revision.era == 0);
    CHECK(newer(without->revision, {4}));
    CHECK_FALSE(newer(without->revision, {4, 3}));
}
