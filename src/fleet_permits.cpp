#include "fleet_permits.hpp"

#include "daemon_clock.hpp"
#include "log.hpp"
#include "peer_codec.hpp"

#include <limits>

namespace arbutusgate::gateway {

namespace {

/// Rate of a permit that was granted while the target named no limit.
constexpr auto         no_limit = std::numeric_limits<double>::infinity();
constexpr milliseconds permit_timeout{200};
/// The target gets no call for this time after its owner gave no answer.
constexpr milliseconds unanswered_hold{500};

} // namespace

call_permit fleet_permits::acquire(const target& to, milliseconds max_wait)
{
    const auto request = request_permit(limits_, to, max_wait, daemon_now());
    if (!request)
        return {.granted = true, .call_at = daemon_now(), .rate = no_limit};
    const auto owner    = issuer_.owner(to.id, daemon_now());
    const auto response = owner == peers_.self().address
                              ? issuer_.issue(*request, daemon_now())
                              : ask(owner, *request);
    const auto now      = daemon_now();
    if (!response) {
        log(log_level::info, "no permit: the owner of the limit did not answer",
            {{"target", to.id}, {"owner", owner}});
        limits_.hold(to.id, now + unanswered_hold);
        return {.undecided = true, .call_at = now + unanswered_hold};
    }
    if (response->limit && !peers_.resuming(now))
        limits_.merge(*response->limit, now);
    if (!response->granted)
        limits_.hold(to.id, now + response->wait);
    const auto* current = limits_.find(to, now);
    return {.granted   = response->granted,
            .undecided = response->undecided,
            .call_at   = now + response->wait,
            .rate      = current ? *current->rate : no_limit};
}

std::optional<permit_response> fleet_permits::ask(const std::string&    owner,
                                                  const permit_request& request)
{
    ++stats_.requested;
    const auto body =
        send_(owner, encode(request, daemon_now()), permit_timeout);
    auto out =
        body ? decode_permit_response(*body, daemon_now()) : std::nullopt;
    stats_.unanswered += out ? 0 : 1;
    return out;
}

std::optional<std::string> fleet_permits::serve(const std::string& body)
{
    const auto now     = daemon_now();
    const auto request = decode_permit_request(body, now);
    if (!request)
        return std::nullopt;
    return encode(issuer_.issue(*request, now), now);
}

} // namespace arbutusgate::gateway
