/// Clock of the daemon.
#pragma once

#include "arbutusgate/types.hpp"

namespace arbutusgate {

/// Time since the VM started. It goes on while the VM is suspended, so that a
/// suspension is seen as a pause, and does not jump with the wall clock.
time_point daemon_now();

} // namespace arbutusgate
