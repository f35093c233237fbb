#include "reuse_check.hpp"

#include <catch2/catch.hpp>

#include <array>

using namespace arbutusgate;
using namespace arbutusgate::gateway;

namespace {

const time_point start{seconds{3600}};

std::vector<piece_result> one_result(int n)
{
    return {{"", piece_failure::failed}, {"h/" + std::to_string(n)}};
}

} // namespace

// Guards against a copy that is not recognized, since the target sent more than
// 16 other responses before it: up to eight connections share its responses.
TEST_CASE("a copy of stage results is recognized after many other responses",
          "[gateway]")
{
    reuse_check check;
    CHECK(check.check_results("p-1", one_result(0), start) ==
          stage_answer::named);
    for (int n = 1; n <= 400; ++n) {
        const auto at = start + milliseconds{30 * n};
        CHECK(check.check_results("p-1", one_result(n), at) ==
              stage_answer::named);
    }
    CHECK(check.check_results("p-1", one_result(0), start + seconds{13}) ==
          stage_answer::copy);
    CHECK(check.check_results("p-2", one_result(0), start + seconds{13}) ==
          stage_answer::named);
    check.forget("p-1");
    CHECK(check.check_results("p-1", one_result(0), start + seconds{14}) ==
          stage_answer::named);
}

// Guards against a connection that carries another call after a response whose
// copy could be taken for the response to that call.
TEST_CASE("a connection is reused only after a response that names its call",
          "[gateway]")
{
    reuse_check check;
    CHECK(check.check_results("p-1", {{"", piece_failure::failed}}, start) ==
          stage_answer::unnamed);
    CHECK(reuse_check::after_stage_call(stage_answer::unnamed) ==
          connection_reuse::no);
    CHECK(reuse_check::after_stage_call(stage_answer::copy) ==
          connection_reuse::no);
    CHECK(reuse_check::after_stage_call(stage_answer::named) ==
          connection_reuse::yes);
    response_head head;
    head.status  = 503;
    head.not_run = true;
    CHECK(reuse_check::after_request(head, "9c41") == connection_reuse::no);
    CHECK(reuse_check::after_request(head, "") == connection_reuse::no);
    head.attempt = "0000";
    CHECK(reuse_check::after_request(head, "9c41") == connection_reuse::no);
    head.attempt = "9c41";
    CHECK(reuse_check::after_request(head, "9c41") == connection_reuse::yes);
}

// Guards against a notice that is believed again when the answer to a release
// comes twice, and against a new connection after each release that is shed.
TEST_CASE("a connection is kept for releases after answers without a notice",
          "[gateway]")
{
    for (const unsigned status : {200U, 500U, 503U}) {
        response_head head;
        head.status = status;
        CHECK(reuse_check::after_release(head) == connection_reuse::yes);
    }
    std::array<response_head, 5> heads;
    heads[0].status            = 421;
    heads[1].notice.leaving    = true;
    heads[2].notice.closed_for = milliseconds{100};
    heads[3].notice.call_limit = 2;
    heads[4].notice.cold_for   = milliseconds{100};
    for (const auto& it : heads)
        CHECK(reuse_check::after_release(it) == connection_reuse::no);
}
