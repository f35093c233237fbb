/// Check of configuration versions, one after the other.
#pragma once

#include "arbutusgate/configuration.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace arbutusgate {

/// Checks whole versions for a daemon of one site. A site whose base and
/// overlay stand as they were in a version that was valid is not checked
/// again, except the own one, whose result is needed. Not thread-safe.
class version_checker
{
public:
    explicit version_checker(std::string site) : site_(std::move(site)) {}

    /// \return the own site's result without values, with the issues of all
    /// sites. Takes hundreds of milliseconds with documents near the size
    /// limit, so it must not run on a fiber's thread.
    checked_config check(const config_documents& documents,
                         std::uint64_t           version);

private:
    using digests = std::map<std::string, std::string>; ///< By document.

    std::vector<std::string> other_sites(const config_documents& documents,
                                         const digests&          now) const;

    std::string site_;
    digests     valid_; ///< Documents of the last valid version.
};

} // namespace arbutusgate
