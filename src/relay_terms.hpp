/// What one daemon tells another one with a caller's request that the other
/// runs on its behalf.
#pragma once

#include "http_types.hpp"

#include "arbutusgate/types.hpp"

#include <cstdint>
#include <optional>

namespace arbutusgate::gateway {

/// Times count from the arrival of the message, since daemons share no clock.
struct relay_terms
{
    milliseconds  time_left{0};       ///< Until the deadline.
    milliseconds  time_until_goal{0}; ///< May be negative.
    std::uint32_t attempts = 0;       ///< Made by the sender.
};

/// Adds the terms as hop-by-hop headers, which are not forwarded.
void set_relay_terms(http_request& request, const relay_terms& it);
/// \return nothing when the headers hold none.
std::optional<relay_terms> relay_terms_of(const http::fields& headers);

/// Marks the response of a daemon that cannot run the request; it has not run.
void mark_relay_refused(http_response& response);
/// Whether a daemon states so. A target may send the same header, which daemons
/// of an earlier version pass on.
/// \param signed_by_target whether the response is one that a target signed.
bool relay_refused(const http::fields& headers, bool signed_by_target);
/// Removes the mark from the response of a target.
void clear_relay_refused(http_response& response);

} // namespace arbutusgate::gateway
