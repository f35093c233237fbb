#include "change_log.hpp"
#include "peer_codec.hpp"

#include <catch2/catch.hpp>

using namespace arbutusgate;
using namespace arbutusgate::gateway;

namespace {

time_point at(int ms)
{
    return time_point{} + milliseconds{ms};
}

target make_target(const std::string& id, bool leaving = false)
{
    return {id, "s", "10.0.0.1:80", "d1", 4, leaving, 7};
}

configuration make_config(std::uint64_t version)
{
    configuration out;
    out.version  = version;
    out.document = "v" + std::to_string(version);
    return out;
}

} // namespace

// Guards against control traffic that grows with the heartbeats of all targets.
TEST_CASE("heartbeats of targets are not logged as changes", "[gateway]")
{
    change_log changes;
    changes.append(10, {{make_target("a"), make_target("b")}, 12}, at(0));
    changes.append(12, {{make_target("a"), make_target("b", true)}, 14},
                   at(600));
    changes.append(14, {{make_target("a"), make_target("b", true)}, 16},
                   at(1200));
    const auto all = changes.since(10, at(1300));
    REQUIRE(all);
    CHECK(all->changes.changes.size() == 3);
    CHECK(all->changes.revision == 16);
    CHECK(all->age == milliseconds{100});
    const auto late = changes.since(12, at(1300));
    REQUIRE(late->changes.changes.size() == 1);
    CHECK(std::get<target>(late->changes.changes[0]).leaving);
    CHECK(changes.since(16, at(1300))->changes.changes.empty());
}

// Guards against a daemon that misses changes from before the start of the
// daemon that relays them, or while that one read the whole state
// again.
TEST_CASE("the log returns nothing for revisions it does not reach back to",
          "[gateway]")
{
    change_log changes;
    CHECK_FALSE(changes.since(0, at(0)));
    changes.append(10, {{make_target("a")}, 12}, at(0));
    CHECK_FALSE(changes.since(9, at(0)));
    CHECK(changes.since(10, at(0)));
    // The store no longer had the history, so the whole state was read
    // again.
    changes.append(40, {{make_target("a")}, 41}, at(100));
    CHECK_FALSE(changes.since(12, at(100)));
    CHECK(changes.since(40, at(100))->changes.changes.size() == 1);
    for (int n = 0; n < 3000; ++n)
        changes.append(41 + n, {{target_removed{"x", false}}, 42U + n},
                       at(200));
    CHECK_FALSE(changes.since(41, at(200)));
    CHECK(changes.since(3000, at(200)));
}

// Guards against a target that is published again and relayed as removed.
TEST_CASE("a target that is published again is logged again", "[gateway]")
{
    change_log changes;
    changes.append(1, {{make_target("a")}, 2}, at(0));
    changes.append(2, {{target_removed{"a", false}}, 3}, at(0));
    changes.append(3, {{make_target("a")}, 4}, at(0));
    const auto all = changes.since(2, at(0));
    REQUIRE(all->changes.changes.size() == 2);
    CHECK(std::get<target_removed>(all->changes.changes[0]).id == "a");
    CHECK(std::get<target>(all->changes.changes[1]).id == "a");
}

// Guards against fields that are lost between the relaying daemon and the
// others.
TEST_CASE("relayed changes survive encoding", "[gateway]")
{
    relayed_changes relayed;
    relayed.changes.revision = 77;
    relayed.age              = milliseconds{250};
    relayed.changes.changes  = {make_target("a", true),
                                target_removed{"b", true}, make_config(9)};
    const auto decoded       = decode_changes(encode(std::optional(relayed)));
    REQUIRE(decoded);
    CHECK(decoded->changes.revision == 77);
    CHECK(decoded->age == milliseconds{250});
    REQUIRE(decoded->changes.changes.size() == 3);
    CHECK(std::get<target>(decoded->changes.changes[0]).started_at == 7);
    CHECK(std::get<target>(decoded->changes.changes[0]).leaving);
    CHECK(std::get<target_removed>(decoded->changes.changes[1]).unreadable);
    CHECK(std::get<configuration>(decoded->changes.changes[2]).document ==
          "v9");
    CHECK_FALSE(decode_changes(encode(std::optional<relayed_changes>{})));
    CHECK_FALSE(decode_changes("\xff\xff"));
}

// Guards against followers of another daemon that do not hear that a target
// became cold, against a change for each heartbeat of a cold target, and
// against a cold time that starts anew with each relay.
TEST_CASE("a target that becomes cold is relayed with the remaining time",
          "[gateway][cold]")
{
    const auto cold = [](int ms) {
        auto out     = make_target("a");
        out.cold_for = milliseconds{ms};
        return out;
    };
    change_log changes;
    changes.append(10, {{cold(0)}, 11}, at(0));
    changes.append(11, {{cold(3000)}, 12}, at(1000));
    changes.append(12, {{cold(2000)}, 13}, at(2000));
    const auto relayed = changes.since(11, at(2100));
    REQUIRE(relayed->changes.changes.size() == 1);
    // As of the last response; the age comes on top.
    CHECK(std::get<target>(relayed->changes.changes[0]).cold_for ==
          milliseconds{2000});
    CHECK(changes.since(12, at(2100))->changes.changes.empty());
    changes.append(13, {{cold(0)}, 14}, at(4500));
    CHECK(changes.since(13, at(4500))->changes.changes.empty());
    changes.append(14, {{cold(2500)}, 15}, at(9000));
    CHECK(changes.since(14, at(9000))->changes.changes.size() == 1);
    const auto late = changes.since(10, at(9000));
    CHECK(std::get<target>(late->changes.changes.at(1)).cold_for ==
          milliseconds{0});
}
