/// Divides a target's limit on calls among the daemons of a fixed list.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace arbutusgate {

/// A number of daemons that grows with the limit, and not with the list, share
/// the limit; the others may send nothing. All daemons know the same list, so
/// that the parts add up to the limit without any message. Each daemon may send
/// one call at once, which bounds how many may share a limit. The part of a
/// daemon that is down is not used.
/// \param limit calls a second of all daemons together, at least 0.
/// \return calls a second that \p self may send the target.
double limit_part(std::string_view target, double limit,
                  const std::vector<std::string>& daemons,
                  std::string_view                self);

} // namespace arbutusgate
