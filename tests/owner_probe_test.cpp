#include "owner_probe.hpp"

#include <catch2/catch.hpp>

using namespace arbutusgate;
using namespace arbutusgate::gateway;

namespace {

time_point at(int ms)
{
    return time_point{} + milliseconds{ms};
}

} // namespace

// Guards against a second connection for each question.
TEST_CASE("an owner that answers soon is asked once", "[gateway]")
{
    owner_probe it(at(0));
    CHECK_FALSE(it.needs_second(at(0)));
    CHECK(it.next_at(at(0)) == at(250));
    CHECK_FALSE(it.verdict(at(249)));
    it.first_ended(true);
    CHECK(it.verdict(at(249)) == probe_verdict::alive);
    CHECK_FALSE(it.needs_second(at(300)));
}

// Guards against a slow owner whose orders are started again elsewhere.
TEST_CASE("an owner that accepts connections is slow and not gone", "[gateway]")
{
    owner_probe it(at(0));
    CHECK(it.needs_second(at(250)));
    it.connected(true);
    CHECK_FALSE(it.verdict(at(800)));
    CHECK(it.next_at(at(300)) == at(1000));
    it.first_ended(true);
    CHECK(it.verdict(at(800)) == probe_verdict::alive);
}

// Guards against orders that wait for an owner that does not run any more.
TEST_CASE("an owner that refuses connections is gone at once", "[gateway]")
{
    owner_probe it(at(0));
    it.first_ended(false); // Its connection was reset.
    CHECK(it.needs_second(at(1)));
    it.connected(false);
    CHECK(it.verdict(at(2)) == probe_verdict::gone);
}

// Guards against orders that wait for an owner that hangs.
TEST_CASE("an owner that accepts and never answers is gone", "[gateway]")
{
    owner_probe it(at(0));
    CHECK(it.needs_second(at(250)));
    it.connected(true);
    CHECK_FALSE(it.verdict(at(999)));
    CHECK(it.verdict(at(1000)) == probe_verdict::gone);
    owner_probe reset(at(0));
    reset.connected(true);
    reset.second_ended(false, at(400));
    CHECK(reset.verdict(at(400)) == probe_verdict::gone);
}

// Guards against an owner that is left since an open connection to it went
// silent, and against orders that wait on that connection for good.
TEST_CASE("a silent connection does not make its owner dead", "[gateway]")
{
    owner_probe it(at(0));
    CHECK(it.needs_second(at(250)));
    it.connected(true);
    it.second_ended(true, at(260));
    CHECK_FALSE(it.verdict(at(260)));
    CHECK(it.next_at(at(260)) == at(310));
    CHECK(it.verdict(at(310)) == probe_verdict::lost_connection);
    // The first answer was only late.
    it.first_ended(true);
    CHECK(it.verdict(at(310)) == probe_verdict::alive);
}
