/// Applies the notice in a target's response (it is leaving, it accepts no work
/// for a time, or it limits its calls) to the target directory and logs it.
#pragma once

#include "arbutusgate/types.hpp"

#include <string_view>

namespace arbutusgate::gateway {

class target_directory;
struct response_head;
struct target;

/// The call whose response carried a notice, for the log.
struct notice_source
{
    std::string_view call;    ///< "request", "stage call" or "release".
    std::string_view request; ///< Id of the request; may be empty.
};

/// Must be called with every response head that is read, including responses
/// that no caller waits for any more.
void handle_notice(target_directory& targets, const target& from,
                   const response_head& head, const notice_source& source,
                   time_point now);

/// Leaves a brittle target alone for a time, since it has rejected a call for
/// want of room.
/// \param daemons that send calls to the target.
void handle_rejection(target_directory& targets, const target& from,
                      std::uint32_t daemons, const notice_source& source,
                      time_point now);

/// Applies and logs what the response says about the target's limit on calls,
/// and applies how long the target stays cold.
/// Must be called with every response that certainly comes from the target and
/// answers the call: one without a limit ends the limit that was named before.
/// \param sent_at when the call was sent.
void handle_limit(target_directory& targets, const target& from,
                  const response_head& head, const notice_source& source,
                  time_point sent_at, time_point now);

} // namespace arbutusgate::gateway
