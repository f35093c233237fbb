/// Interface through which a request with a part in quarantine may become its
/// trial.
#pragma once

#include <cstdint>

namespace arbutusgate::gateway {

/// Belongs to one thread.
class trial_source
{
public:
    virtual ~trial_source() = default;

    /// Asks for the trial of a part; may suspend the fiber.
    /// \return true when one request with the part may be sent now.
    virtual bool acquire(std::uint64_t part) = 0;
};

} // namespace arbutusgate::gateway
