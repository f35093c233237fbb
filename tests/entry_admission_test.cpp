#include "entry_admission.hpp"

#include <catch2/catch.hpp>

using namespace arbutusgate;
using namespace arbutusgate::gateway;

namespace {

time_point at(int ms)
{
    return time_point{} + milliseconds{ms};
}

/// Three stages in a row and one beside them.
request_outlook make_outlook(int on_time, int all)
{
    request_outlook     out;
    const stage_outlook plain{{}, false, {}, milliseconds{200}};
    out.stages.assign(4, plain);
    out.stages[1].after = {0};
    out.stages[2].after = {1};
    out.stages[1].queue = {milliseconds{on_time}, milliseconds{all}};
    out.answer          = milliseconds{100};
    out.goal            = at(1000);
    out.limit           = at(4000);
    return out;
}

} // namespace

// Guards against refusals while the queue is short.
TEST_CASE("a request that can meet its goal is admitted", "[gateway]")
{
    const auto out = decide_entry(make_outlook(300, 60'000), at(0));
    CHECK(out.admitted);
    CHECK(out.expected == milliseconds{1000});
}

// Guards against requests that are held although their callers will leave
// before a late stage has time for them.
TEST_CASE("a late request is admitted only if its limit allows", "[gateway]")
{
    CHECK(decide_entry(make_outlook(500, 3300), at(0)).admitted);
    const auto out = decide_entry(make_outlook(500, 3900), at(0));
    CHECK_FALSE(out.admitted);
    CHECK(out.retry_after == milliseconds{600});
    // A caller is not told to come back at once.
    CHECK(decide_entry(make_outlook(500, 3310), at(0)).retry_after ==
          milliseconds{250});
}

// Guards against waits that are counted for stages that a request leaves out.
TEST_CASE("skipped stages take no time", "[gateway]")
{
    auto it              = make_outlook(9000, 9000);
    it.stages[1].skipped = true;
    CHECK(decide_entry(it, at(0)).expected == milliseconds{500});
}

// Guards against requests that are let in while their large results find no
// room in time, and against others that are refused for it.
TEST_CASE("the wait for room counts for large results only", "[gateway]")
{
    request_outlook it;
    it.goal  = at(1000);
    it.limit = at(3000);
    stage_outlook stage;
    stage.queue = {milliseconds{100}, milliseconds{200}, seconds{4}};
    stage.call  = milliseconds{200};
    it.stages   = {stage};
    CHECK(decide_entry(it, at(0)).admitted);
    it.stages[0].large  = true;
    const auto decision = decide_entry(it, at(0));
    CHECK_FALSE(decision.admitted);
    CHECK(decision.retry_after == milliseconds{1200});
}
