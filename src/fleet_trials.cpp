#include "fleet_trials.hpp"

#include "daemon_clock.hpp"
#include "peer_codec.hpp"
#include "peer_table.hpp"

namespace arbutusgate::gateway {

namespace {

constexpr milliseconds trial_timeout{200};

} // namespace

std::string fleet_trials::owner(const peer_table& peers, std::uint64_t part,
                                time_point now)
{
    return peers.steady_owner_of("trial of " + std::to_string(part), now);
}

bool fleet_trials::acquire(std::uint64_t part)
{
    const auto now = daemon_now();
    const auto to  = owner(peers_, part, now);
    // Another owner may have given out a trial that this daemon does not know.
    if (to == peers_.self().address)
        return peers_.agreed(now) && quarantine_.take_trial(part, now);
    const auto* known = quarantine_.report(part);
    if (!known)
        return false;
    const auto body =
        send_(to, encode_trial_request(*known, now), trial_timeout);
    const auto response =
        body ? decode_trial_response(*body, daemon_now()) : std::nullopt;
    if (!response)
        return false;
    quarantine_.merge(response->part, daemon_now());
    return response->granted;
}

std::optional<std::string> fleet_trials::serve(const std::string& body)
{
    const auto now   = daemon_now();
    const auto asked = decode_trial_request(body, now);
    if (!asked)
        return std::nullopt;
    quarantine_.merge(*asked, now);
    trial_response out;
    out.granted = owner(peers_, asked->part, now) == peers_.self().address &&
                  peers_.agreed(now) &&
                  quarantine_.take_trial(asked->part, now);
    const auto* known = quarantine_.report(asked->part);
    out.part          = known ? *known : *asked;
    return encode(out, now);
}

} // namespace arbutusgate::gateway
