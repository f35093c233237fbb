/// Validation of successive configuration versions.
#pragma once

#include "arbutusgate/configuration.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace arbutusgate {

/// Validates whole versions for a daemon of one site. Another site is not
/// checked again if its base and overlay are the same as in the last valid
/// version. The daemon's own site is always checked, because its result is
/// needed. Not thread-safe.
class version_checker
{
public:
    explicit version_checker(std::string site) : site_(std::move(site)) {}

    /// Takes hundreds of milliseconds for documents near the size limit, so it
    /// must not run on a thread that runs fibers.
    /// \return the result for the daemon's site, without values, with the
    /// issues of all sites.
    checked_config check(const config_documents& documents,
                         std::uint64_t           version);

private:
    using digests = std::map<std::string, std::string>; ///< By document name.

    std::vector<std::string> sites_to_check(const config_documents& documents,
                                            const digests& current) const;

    std::string site_;
    digests     valid_digests_; ///< Of the last valid version.
};

} // namespace arbutusgate
