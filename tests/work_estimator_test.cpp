#include "work_estimator.hpp"

#include <catch2/catch.hpp>

#include <cmath>
#include <random>

using namespace arbutusgate;
using namespace arbutusgate::gateway;

namespace {

void complete(work_estimator& it, const std::string& account,
              std::uint32_t hint, double tokens)
{
    call_work work;
    work.route            = "r";
    work.account          = account;
    work.hint             = hint;
    work.output           = it.estimate_output("r", account, hint, 4096);
    work.tokens_per_event = 4;
    it.completed(work, static_cast<std::uint32_t>(tokens / 4));
}

} // namespace

// Failure: a stream that is longer than its hint counts as no work while it
// runs, and hints that are always wrong are believed for ever.
TEST_CASE("a hint that is wrong by four times is corrected", "[gateway]")
{
    work_estimator it;
    const auto     first = it.estimate_output("r", "a", 100, 4096);
    CHECK(first.expected() == Approx(130).epsilon(0.3));
    // The answer has 400 tokens.
    CHECK(200 + first.remaining(200) > 270);
    CHECK(300 + first.remaining(300) > 380);
    CHECK(first.remaining(4000) <= 96);
    CHECK(first.remaining(5000) == 0);
    for (int n = 0; n < 30; ++n)
        complete(it, "a", 100, 400);
    CHECK(it.estimate_output("r", "a", 100, 4096).expected() ==
          Approx(400).epsilon(0.15));
    CHECK(it.errors().answers == 30);
    CHECK(it.errors().error_tokens < 0.3 * it.errors().output_tokens);
}

// Failure: the work left in long streams of a heavy tail is taken to be little,
// as by the mean less what was sent.
TEST_CASE("the rest of a heavy-tailed answer grows as it runs", "[gateway]")
{
    std::mt19937_64               random{7};
    std::lognormal_distribution<> length{std::log(80.0), 1.0};
    work_estimator                it;
    std::vector<double>           all;
    for (int n = 0; n < 2000; ++n) {
        all.push_back(std::max(4.0, length(random)));
        complete(it, "a", 0, all.back());
    }
    const auto out = it.estimate_output("r", "a", 0, 0);
    CHECK(out.upper() > 2 * out.expected() / std::exp(0.5));
    for (const double sent : {40.0, 160.0, 400.0}) {
        double sum = 0;
        int    n   = 0;
        for (const auto tokens : all) {
            sum += tokens > sent ? tokens - sent : 0;
            n += tokens > sent ? 1 : 0;
        }
        CHECK(out.remaining(sent) == Approx(sum / n).epsilon(0.4));
    }
    CHECK(out.remaining(400) > out.remaining(40));
    CHECK(out.remaining(1e6) > 0);
}

// Failures: accounts that nobody uses any more fill the memory, or a route
// whose answers have changed keeps its old estimate.
TEST_CASE("learned output is bounded and follows changes", "[gateway]")
{
    work_estimator it;
    for (int n = 0; n < 2000; ++n)
        complete(it, "a" + std::to_string(n), 0, 40);
    CHECK(it.size() <= work_estimator::max_entries);
    for (int n = 0; n < 200; ++n)
        complete(it, "b", 0, 400);
    CHECK(it.estimate_output("r", "b", 0, 0).expected() > 300);
    CHECK(it.estimate_output("r", "new", 0, 0).expected() > 250);
}
