#include "part_quarantine.hpp"

#include "peer_codec.hpp"

#include <catch2/catch.hpp>

using namespace arbutusgate;
using namespace arbutusgate::gateway;

namespace {

time_point at(int ms)
{
    return time_point{} + std::chrono::hours{1} + milliseconds{ms};
}

target make_target(int n, const std::string& version = "v1",
                   const std::string& service = "s")
{
    return {"i-" + std::to_string(n),
            service,
            "10.1.0.1:80",
            "d1",
            8,
            false,
            1,
            version};
}

/// \param middle part of the prompt before the last one.
prompt_key prompt(const std::string& middle, int request)
{
    return make_prompt_key(
        {{"f0", 10}, {middle, 10}, {"own" + std::to_string(request), 10}});
}

/// A prompt of a single shared part.
prompt_key session(int request)
{
    return make_prompt_key({{"m", 10}, {"own" + std::to_string(request), 10}});
}

bool blocked(const part_quarantine& by, const prompt_key& key, int ms,
             const target& to = make_target(0))
{
    return by.find(key, software_key(to), at(ms)).has_value();
}

/// Sends answers on the first part, which all requests share.
void answer_first_part(part_quarantine& to, int ms,
                       const target& by = make_target(99))
{
    to.answered(prompt("other" + std::to_string(ms), 1000 + ms), by, at(ms));
}

/// Three crashes of different targets by different requests, from a time on.
void crash_thrice(part_quarantine& at_daemon, int from)
{
    for (int n = 0; n < 3; ++n) {
        answer_first_part(at_daemon, from + 300 * n);
        at_daemon.broke_off(prompt("dead", n), make_target(n),
                            at(from + 300 * n));
    }
}

} // namespace

// Guards against a part whose guilt is found too late or not at all.
TEST_CASE("three crashes without an answer quarantine a part",
          "[gateway][parts]")
{
    part_quarantine q;
    crash_thrice(q, 0);
    CHECK_FALSE(blocked(q, prompt("dead", 9), 601));
    CHECK(blocked(q, prompt("dead", 9), 1101));
    CHECK(q.convicted() == 1);
    // Neither the first part nor the last one is guilty, nor another session.
    CHECK_FALSE(blocked(q, prompt("sound", 1), 1101));
    CHECK_FALSE(blocked(q, prompt("sound", 0), 1101));
}

// Guards against a position that is not looked at: all but the last one count.
TEST_CASE("a part crashes targets in any position but the last",
          "[gateway][parts]")
{
    const std::vector<std::string> parts = GENERATE(
        std::vector<std::string>{"dead"}, std::vector<std::string>{"dead", "m"},
        std::vector<std::string>{"f", "m", "dead", "x"});
    const auto make = [&](int n) {
        std::vector<prompt_part> out;
        for (const auto& it : parts)
            out.push_back({it == "dead" ? it : it + std::to_string(n), 1});
        out.push_back({"own" + std::to_string(n), 1});
        return make_prompt_key(out);
    };
    part_quarantine q;
    for (int n = 0; n < 3; ++n)
        q.broke_off(make(n), make_target(n), at(300 * n));
    CHECK(blocked(q, make(7), 2000));
    CHECK_FALSE(blocked(q, make_prompt_key({{"f", 1}, {"dead", 1}}), 2000));
    CHECK(q.convicted() == 1);
}

// Guards against requests that are taken for deadly because their target ended
// for another reason.
TEST_CASE("what does not convict a part", "[gateway][parts]")
{
    part_quarantine q;
    const auto      end = 10'000;
    SECTION("two crashes")
    {
        q.broke_off(prompt("m", 1), make_target(1), at(0));
        q.broke_off(prompt("m", 2), make_target(2), at(500));
    }
    SECTION("one target whose calls break off again and again")
    {
        for (int n = 0; n < 20; ++n)
            q.broke_off(prompt("m", n), make_target(1), at(300 * n));
    }
    SECTION("targets that end at the same time")
    {
        for (int n = 0; n < 12; ++n)
            q.broke_off(prompt("m", n), make_target(n), at(5 * n));
    }
    SECTION("one request that breaks at three targets")
    {
        for (int n = 0; n < 3; ++n)
            q.broke_off(prompt("m", 1), make_target(n), at(300 * n));
    }
    SECTION("an answer in between")
    {
        q.broke_off(prompt("m", 1), make_target(1), at(0));
        q.broke_off(prompt("m", 2), make_target(2), at(300));
        q.answered(prompt("m", 3), make_target(9), at(500));
        q.broke_off(prompt("m", 4), make_target(3), at(2000));
    }
    SECTION("an answer shortly before")
    {
        for (int n = 0; n < 4; ++n) {
            q.answered(prompt("m", 10 + n), make_target(9), at(1000 * n));
            q.broke_off(prompt("m", n), make_target(n), at(1000 * n + 900));
        }
    }
    SECTION("an answer afterwards")
    {
        crash_thrice(q, 0);
        CHECK(blocked(q, prompt("dead", 9), 2000));
        q.answered(prompt("dead", 7), make_target(9), at(2500));
        CHECK_FALSE(blocked(q, prompt("dead", 9), end));
    }
    SECTION("crashes long ago")
    {
        q.broke_off(prompt("m", 1), make_target(1), at(0));
        q.broke_off(prompt("m", 2), make_target(2), at(300));
        q.expire(at(700'000));
        q.broke_off(prompt("m", 3), make_target(3), at(700'000));
        CHECK_FALSE(blocked(q, prompt("m", 9), 800'000));
    }
    CHECK_FALSE(blocked(q, prompt("m", 9), end));
    CHECK(q.convicted() == 0);
}

// Guards against a part that crashes its targets when a part of the answer is
// out: each event would clear it.
TEST_CASE("crashes after the first event quarantine a part", "[gateway][parts]")
{
    const auto      ran      = GENERATE(0, 1900, 4000);
    const auto      progress = broken_progress(milliseconds{ran});
    part_quarantine q;
    for (int n = 0; n < 5; ++n) {
        const auto it = prompt("dead", n);
        CHECK_FALSE(blocked(q, it, 10'000 * n));
        q.answered(it, make_target(n), at(10'000 * n));
        q.broke_off(it, make_target(n), at(10'000 * n + ran), progress);
        q.answered(prompt("sound", 100 + n), make_target(50),
                   at(10'000 * n + ran + 10), answer_progress::whole);
    }
    CHECK(blocked(q, prompt("dead", 9), 50'000));
    CHECK_FALSE(blocked(q, prompt("sound", 9), 50'000));
    // The trial begins to be answered, too.
    q.answered(prompt("dead", 10), make_target(60), at(110'000));
    CHECK(blocked(q, prompt("dead", 11), 110'100));
    q.answered(prompt("dead", 10), make_target(60), at(118'000),
               answer_progress::whole);
    CHECK_FALSE(blocked(q, prompt("dead", 11), 118'100));
}

// Guards against the refusal of sound requests whose answers were cut in the
// crashes of others: some of their answers run on, or are whole.
TEST_CASE("answers that got further clear a part of later crashes",
          "[gateway][parts]")
{
    struct answer_case
    {
        milliseconds    broken_after;
        answer_progress unharmed;
        bool            cleared;
    };
    const auto      it = GENERATE(values<answer_case>(
        {{milliseconds{100}, answer_progress::begun, false},
              {milliseconds{100}, unharmed_progress(milliseconds{4900}), false},
              {milliseconds{100}, unharmed_progress(milliseconds{5000}), true},
              {milliseconds{100}, answer_progress::whole, true},
              {milliseconds{3000}, unharmed_progress(milliseconds{5000}), false},
              {milliseconds{3000}, answer_progress::whole, true}}));
    part_quarantine q;
    for (int n = 0; n < 6; ++n)
        q.broke_off(session(n), make_target(n), at(300 * n),
                    broken_progress(it.broken_after));
    REQUIRE(q.convicted() == 1);
    q.answered(session(10), make_target(50), at(1600), it.unharmed);
    CHECK(q.convicted() == (it.cleared ? 0 : 1));
}

// Guards against a crash that is taken for one before the answer, so that any
// event clears it, as another call with the part was still waiting there.
TEST_CASE("the call that got furthest decides what clears a crash",
          "[gateway][parts]")
{
    const bool      first = GENERATE(false, true);
    part_quarantine q;
    for (int n = 0; n < 5; ++n) {
        const auto call = [&](bool begun) {
            q.broke_off(session(10 * n + (begun ? 1 : 0)), make_target(n),
                        at(300 * n),
                        begun ? answer_progress::begun : answer_progress::none);
        };
        call(first);
        call(!first);
    }
    q.answered(session(100), make_target(50), at(1500));
    CHECK(q.convicted() == 1);
}

// Guards against daemons that judge by less than what others saw: a progress
// that is lost on the way would let any event clear the part, or count too
// much.
TEST_CASE("reports carry the progress of crashes and answers",
          "[gateway][parts]")
{
    part_quarantine q;
    for (int n = 0; n < 5; ++n)
        q.broke_off(session(n), make_target(n), at(300 * n),
                    answer_progress::begun);
    q.answered(session(8), make_target(50), at(1400));
    peer_gossip sent;
    sent.parts          = q.reports(9, at(1500));
    const auto received = decode_gossip(encode(sent, at(1500)), at(1500));
    REQUIRE(received);
    part_quarantine other;
    for (const auto& it : received->parts)
        other.merge(it, at(1500));
    CHECK(other.convicted() == 1);
    REQUIRE(other.report(session(0).shared[0]));
    const auto& report = *other.report(session(0).shared[0]);
    CHECK(report.crashes.size() == 5);
    for (const auto& it : report.crashes)
        CHECK(it.progress == answer_progress::begun);
    REQUIRE(report.answers.size() == 1);
    CHECK(report.answers.front().progress == answer_progress::begun);
}

// Guards against one request that is repeated until it has crashed many
// targets.
TEST_CASE("repeats of one request convict its parts", "[gateway][parts]")
{
    part_quarantine q;
    for (int n = 0; n < 4; ++n)
        q.broke_off(prompt("dead", 1), make_target(n), at(300 * n));
    CHECK(blocked(q, prompt("dead", 2), 2000));
}

// Guards against crashes that are believed of a target that goes on serving:
// it resets single calls, or the link to one daemon is cut.
TEST_CASE("a target that is heard of later did not crash", "[gateway][parts]")
{
    part_quarantine q;
    for (int n = 0; n < 3; ++n)
        q.broke_off(session(n), make_target(n), at(300 * n));
    REQUIRE(blocked(q, session(9), 1500));
    SECTION("bytes on an older connection")
    {
        q.heard(make_target(2), at(-1000), at(1600));
        CHECK(q.convicted() == 1);
        q.heard(make_target(2), at(-1000), at(2000));
        CHECK(q.convicted() == 0);
        // Another daemon learns it.
        part_quarantine other;
        for (int n = 0; n < 3; ++n)
            other.broke_off(session(n), make_target(n), at(300 * n));
        for (const auto& it : q.lifetime_reports(9, at(2100)))
            other.merge(it, at(2100));
        CHECK(other.convicted() == 0);
        // A crash after that counts.
        q.broke_off(session(4), make_target(2), at(4000));
        CHECK(q.convicted() == 1);
    }
    SECTION("bytes on a connection that was opened after the crash")
    {
        q.heard(make_target(2), at(1000), at(1600));
        q.heard(make_target(2), at(1000), at(2600));
        CHECK(q.convicted() == 1);
    }
    SECTION("bytes that waited in the buffer of a slow daemon")
    {
        for (int n = 0; n < 9; ++n)
            q.heard(make_target(2), at(-1000), at(1600 + n));
        CHECK(q.convicted() == 1);
    }
    SECTION("a later process under the same id")
    {
        auto later       = make_target(2);
        later.started_at = 2;
        q.heard(later, at(-1000), at(1600));
        q.heard(later, at(-1000), at(2600));
        CHECK(q.convicted() == 1);
    }
}

// Guards against crashes that close no connection: they show when the entry of
// the target is removed.
TEST_CASE("silent targets that end accuse the parts of their calls",
          "[gateway][parts]")
{
    const bool      ends = GENERATE(false, true);
    part_quarantine q;
    for (int n = 0; n < 3; ++n) {
        const auto it = make_target(n);
        q.fell_silent(prompt("m", n), it, at(400 * n));
        if (ends)
            q.target_changed(it.id, nullptr, at(400 * n + 3000));
        else
            q.target_changed(it.id, &it, at(400 * n + 3000));
    }
    CHECK(blocked(q, prompt("m", 9), 6000) == ends);
}

// Guards against answers of another version, or of another service, that clear
// a part, and against a quarantine where the part is sound.
TEST_CASE("a part is judged by service and version", "[gateway][parts]")
{
    part_quarantine q;
    for (int n = 0; n < 3; ++n) {
        q.answered(prompt("m", 10 + n), make_target(50 + n, "v1"),
                   at(300 * n - 10));
        q.answered(prompt("f", 10 + n), make_target(60 + n, "v2"),
                   at(300 * n - 10));
        q.broke_off(prompt("m", n), make_target(n, "v2"), at(300 * n));
    }
    CHECK(blocked(q, prompt("m", 9), 2000, make_target(0, "v2")));
    CHECK_FALSE(blocked(q, prompt("m", 9), 2000, make_target(0, "v1")));
    // A version that is not known yet may crash, too.
    CHECK(blocked(q, prompt("m", 9), 2000, make_target(0, "v3")));
}

// Guards against crashes that are spread over services, each with too few.
TEST_CASE("crashes of several services convict together", "[gateway][parts]")
{
    part_quarantine q;
    for (int n = 0; n < 3; ++n)
        q.broke_off(prompt("dead", n),
                    make_target(n, "v1", "s" + std::to_string(n)), at(300 * n));
    for (int n = 0; n < 3; ++n)
        CHECK(blocked(q, prompt("dead", 9), 2000,
                      make_target(9, "v1", "s" + std::to_string(n))));
}

// Guards against reports that come back after their part was cleared.
TEST_CASE("old reports do not bring a quarantine back", "[gateway][parts]")
{
    part_quarantine away;
    crash_thrice(away, 0);
    const auto      old = away.reports(9, at(1000));
    part_quarantine q;
    for (const auto& it : old)
        q.merge(it, at(1000));
    REQUIRE(blocked(q, prompt("dead", 9), 2000));
    q.answered(prompt("dead", 8), make_target(9), at(3000));
    for (const int later : {4000, 1'000'000}) {
        q.expire(at(later));
        for (const auto& it : old)
            q.merge(it, at(later));
        CHECK_FALSE(blocked(q, prompt("dead", 9), later + 1000));
    }
    // The daemon that was away learns the answer.
    for (const auto& it : q.reports(9, at(3100)))
        away.merge(it, at(3100));
    CHECK_FALSE(blocked(away, prompt("dead", 9), 5000));
}

// Guards against a quarantine that never ends, and against trials that crash as
// many targets as the requests did.
TEST_CASE("trials are rare and end a quarantine when they are answered",
          "[gateway][parts]")
{
    part_quarantine q;
    crash_thrice(q, 0);
    const auto part = prompt("dead", 0).shared.back();
    CHECK_FALSE(q.take_trial(part, at(30'000)));
    int trials = 0;
    for (int second = 0; second < 3600; ++second) {
        answer_first_part(q, 1000 * second);
        if (q.take_trial(part, at(1000 * second))) {
            ++trials;
            q.broke_off(prompt("dead", 100 + trials), make_target(100 + trials),
                        at(1000 * second + 200));
        }
    }
    CHECK(trials == 3);
    CHECK(blocked(q, prompt("dead", 9), 3'600'000));
    REQUIRE(q.take_trial(part, at(9'000'000)));
    CHECK(blocked(q, prompt("dead", 9), 9'000'100));
    q.answered(prompt("dead", 99), make_target(9), at(9'000'200));
    CHECK_FALSE(blocked(q, prompt("dead", 9), 9'000'300));
    // A quarantine that nobody asks for is forgotten.
    part_quarantine other;
    crash_thrice(other, 0);
    other.expire(at(7'300'000));
    CHECK(other.convicted() == 0);
}

// Guards against a hostile caller that fills the memory of a daemon, or that
// pushes a deadly part out of it.
TEST_CASE("the state of a quarantine is bounded", "[gateway][parts]")
{
    part_quarantine q;
    crash_thrice(q, 0);
    for (int n = 0; n < 3000; ++n) {
        std::vector<prompt_part> many;
        for (int k = 0; k < 1000; ++k)
            many.push_back({"x" + std::to_string(n * 1000 + k), 1});
        const auto key = make_prompt_key(many);
        const auto now = at(2000 + 10 * n);
        q.broke_off(key, make_target(1000 + n), now);
        q.fell_silent(key, make_target(5000 + n), now);
        if (n % 100 == 0)
            q.answered(key, make_target(9000 + n), now);
    }
    CHECK(q.size() <= part_quarantine_params{}.max_parts);
    CHECK(q.stats().forgotten > 0);
    CHECK(blocked(q, prompt("dead", 9), 40'000));
    CHECK(q.reports(12, at(40'000)).size() <= 12);
    part_report report{1, {{1, 1, 1, at(40'000), {}}}, {}, 0, {}};
    report.crashes.front().companions.resize(10'000);
    q.merge(report, at(40'000));
    CHECK(q.report(1)->crashes.front().companions.size() <=
          part_quarantine_params{}.max_companions);
}

// Guards against the refusal of sound requests that share all but the deadly
// part: until one of them is answered, each of the parts may be the cause.
TEST_CASE("parts that always come together are refused together",
          "[gateway][parts]")
{
    const auto key = [](const std::vector<std::string>& parts, int n) {
        std::vector<prompt_part> out;
        for (const auto& it : parts)
            out.push_back({it, 1});
        out.push_back({"own" + std::to_string(n), 1});
        return make_prompt_key(out);
    };
    part_quarantine q;
    for (int n = 0; n < 3; ++n)
        q.broke_off(key({"f", "m", "dead"}, n), make_target(n), at(300 * n));
    CHECK(q.convicted() == 3);
    CHECK(blocked(q, key({"f", "m", "dead"}, 9), 2000));
    CHECK_FALSE(blocked(q, key({"f", "m"}, 9), 2000));
    CHECK_FALSE(blocked(q, key({"f", "x"}, 9), 2000));
    SECTION("a sound request is answered")
    {
        q.answered(key({"f", "m"}, 10), make_target(9), at(2100));
        CHECK(q.convicted() == 1);
        CHECK(blocked(q, key({"dead"}, 9), 2200));
    }
    SECTION("a sound request breaks in a crash, too")
    {
        const bool      first = GENERATE(false, true);
        part_quarantine other;
        for (int n = 0; n < 3; ++n) {
            const auto broken = [&](const prompt_key& it) {
                other.broke_off(it, make_target(n), at(300 * n));
            };
            if (first)
                broken(key({"f", "m"}, 20 + n));
            broken(key({"f", "m", "dead"}, n));
            if (!first)
                broken(key({"f", "m"}, 20 + n));
        }
        CHECK(blocked(other, key({"f", "m", "dead"}, 9), 2000));
        CHECK_FALSE(blocked(other, key({"f", "m"}, 9), 2000));
        CHECK_FALSE(blocked(other, key({"f", "x"}, 9), 2000));
    }
    SECTION("a request without one of the parts crashes a target")
    {
        q.broke_off(key({"g", "dead"}, 11), make_target(9), at(2100));
        CHECK(blocked(q, key({"dead"}, 12), 3000));
        CHECK_FALSE(blocked(q, key({"f", "m"}, 13), 3000));
    }
}

// Guards against a deadly part that hides among many others in a request.
TEST_CASE("a deadly part among many others is found", "[gateway][parts]")
{
    part_quarantine q;
    const auto      make = [](int n) {
        std::vector<prompt_part> out;
        for (int k = 0; k < 200; ++k)
            out.push_back({"x" + std::to_string(1000 * n + k), 1});
        out[100].id = "dead";
        return make_prompt_key(out);
    };
    int n = 0;
    while (!blocked(q, make(n), 300 * n + 1000) && n < 200) {
        q.broke_off(make(n), make_target(n), at(300 * n));
        ++n;
    }
    CHECK(n < 100);
    CHECK(blocked(q, prompt("dead", 9), 300 * n + 2000));
}

// Guards against reports that are older than the clock of a daemon: its VM was
// booted after the crashes.
TEST_CASE("a daemon on a new VM learns of old crashes", "[gateway][parts]")
{
    part_quarantine known;
    crash_thrice(known, 0);
    auto list = known.reports(9, at(1500));
    // The new VM has been up for 2 s, the crashes are a minute old.
    const auto booted = time_point{} + seconds{2};
    for (auto& it : list) {
        for (auto& crash : it.crashes)
            crash.at = booted - seconds{60} + (crash.at - at(0));
        for (auto& answer : it.answers)
            answer.at = booted - seconds{60} + (answer.at - at(0));
    }
    part_quarantine q;
    for (const auto& it : list)
        q.merge(it, booted);
    CHECK(q.find(prompt("dead", 9), software_key(make_target(0)), booted));
    CHECK(q.reports(9, booted).size() >= 1);
    // Nothing was heard of the targets.
    CHECK(q.lifetime_reports(9, booted).empty());
}
