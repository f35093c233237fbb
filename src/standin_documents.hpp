/// Versioned documents of the simulated configuration service.
#pragma once

#include "absl/status/status.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace arbutusgate {

/// Published versions of the documents. Serves the newest version unless
/// another one is pinned to simulate a stale service.
class document_store
{
public:
    /// Publishes a new version: the newest one with these documents replaced or
    /// added. An empty text removes the document.
    /// \return InvalidArgument when a document exceeds the size limit.
    absl::Status publish(const std::map<std::string, std::string>& changes);
    /// Serves this version until another is pinned; 0 removes the pin.
    /// \return NotFound for an unknown version.
    absl::Status pin(std::uint64_t version);

    std::uint64_t newest() const { return newest_; }
    /// Version that readers see; 0 before the first publication.
    std::uint64_t served() const { return pinned_ ? pinned_ : newest_; }
    /// {"version", "documents": [{"name", "sha256"}]} of the served version.
    boost::json::object head() const;
    /// \return the text of the document, or null when the document or the
    /// version does not exist or the version is newer than the served one.
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
