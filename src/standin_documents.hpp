/// Versioned documents of the simulated configuration service.
#pragma once

#include "absl/status/status.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace arbutusgate {

/// All published versions, the newest of which is served unless an older one
/// is pinned to simulate a stale service.
class document_store
{
public:
    /// Publishes a new version in which these documents differ from the newest
    /// one. An empty text removes a document.
    /// \return InvalidArgument when a document is over the size limit.
    absl::Status publish(const std::map<std::string, std::string>& changes);
    /// Serves the version until the pin is taken away with 0.
    /// \return NotFound for an unknown version.
    absl::Status pin(std::uint64_t version);

    std::uint64_t newest() const { return newest_; }
    /// Version that readers see; 0 before the first.
    std::uint64_t served() const { return pinned_ ? pinned_ : newest_; }
    /// {"version", "documents": [{"name", "sha256"}]} of the served version.
    boost::json::object head() const;
    /// Text of a document, or null. Versions above the served one are unknown.
    const std::string* find(const std::string& name,
                            std::uint64_t      version) const;

private:
    struct document
    {
        std::string text;
        std::string sha256; ///< Lower-case hex.
    };
    using document_set = std::map<std::string, document>;

    std::map<std::uint64_t, document_set> versions_;
    std::uint64_t                         newest_ = 0;
    std::uint64_t                         pinned_ = 0;
};

} // namespace arbutusgate
