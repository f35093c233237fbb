/// Interface through which a request that takes a stream up finds the software
/// at which the stream began.
#pragma once

#include "arbutusgate/types.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace arbutusgate::gateway {

/// A stream that a client takes up.
struct origin_query
{
    std::uint64_t attempt = 0; ///< attempt_key of the attempt that began it.
    /// Services that its route leads to.
    std::vector<std::string> services;
    milliseconds             max_age{0}; ///< Since the stream began.
};

/// Belongs to one thread.
class origin_source
{
public:
    virtual ~origin_source() = default;

    /// Tells the fleet that a stream has begun at the software of a target.
    /// \param attempt attempt_key of the client's attempt.
    /// \param services that the route leads to: without a record, each of them
    /// may have begun the stream.
    /// \param software software_key of the target.
    virtual void begun(std::uint64_t                   attempt,
                       const std::vector<std::string>& services,
                       std::uint64_t                   software) = 0;
    /// May suspend the fiber.
    /// \return software_key of the targets that may continue the stream;
    /// nothing when it is not known for certain.
    virtual std::optional<std::uint64_t> find(const origin_query& it) = 0;
};

} // namespace arbutusgate::gateway
