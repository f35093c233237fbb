/// Interface through which a call to a limited target gets its permit.
#pragma once

#include "call_permit.hpp"

namespace arbutusgate::gateway {

/// Belongs to one thread.
class permit_source
{
public:
    virtual ~permit_source() = default;

    /// Gets a permit for a call to the target; may suspend the fiber. Without a
    /// permit, the target's limit is held until the next one is expected.
    /// \param max_wait longest wait from now until the call.
    virtual call_permit acquire(const target& to, milliseconds max_wait) = 0;
};

} // namespace arbutusgate::gateway
