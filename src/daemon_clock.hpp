/// Monotonic clock of the daemon.
#pragma once

#include "arbutusgate/types.hpp"

namespace arbutusgate {

/// Time since the VM booted. It advances while the VM is suspended, so that the
/// daemon sees a suspension as a pause, and does not follow steps of the wall
/// clock.
time_point daemon_now();

} // namespace arbutusgate
