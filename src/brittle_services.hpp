/// Services whose targets end when they have to reject too many requests.
#pragma once

#include "arbutusgate/types.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace arbutusgate::gateway {

/// Belongs to one thread; does no I/O and reads no clock.
class brittle_services
{
public:
    /// Applies what a response of a target says.
    /// \param rejections a second, for want of room, that the target bears from
    /// all daemons together; nothing: any number.
    /// \return true when the service became brittle, or no longer is.
    bool apply(const std::string&                  service,
               const std::optional<std::uint32_t>& rejections, time_point now);
    /// \return the rejections a second that a target of the service bears;
    /// nothing if its targets are not brittle.
    std::optional<std::uint32_t> rejections(const std::string& service,
                                            time_point         now) const;
    /// How long a daemon leaves a target alone that has rejected a request, so
    /// that all daemons together stay within what the target bears.
    static milliseconds pause(std::uint32_t rejections, std::uint32_t daemons);

private:
    struct entry
    {
        std::uint32_t rejections = 0;
        time_point    named_at{};
    };

    std::map<std::string, entry, std::less<>> entries_; ///< By service.
};

} // namespace arbutusgate::gateway
