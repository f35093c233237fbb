/// Documents of a published configuration version, read from the platform.
#pragma once

#include "arbutusgate/configuration.hpp"

#include "platform_client.hpp"

#include "absl/status/statusor.h"

#include <cstdint>
#include <string>

namespace arbutusgate {

/// Number and documents of a configuration version.
struct published_config
{
    std::uint64_t    version = 0;
    config_documents documents;
};

/// Reads published versions. It caches the documents of the last one, so that
/// only changed documents are fetched. Use it on one io_thread only.
class published_config_reader
{
public:
    explicit published_config_reader(platform_client& client) : client_(client)
    {
    }

    /// Waits up to \p wait for a version above \p after.
    /// \return the version then published, whether it is newer or not.
    absl::StatusOr<published_config> read(std::uint64_t after,
                                          milliseconds  wait);
    /// Reads the base document and the site's overlay of an earlier version.
    absl::StatusOr<published_config> read_old(std::uint64_t      version,
                                              const std::string& site);

private:
    struct cached_document
    {
        std::string digest;
        std::string text;
    };

    absl::Status update(const config_head& head);

    platform_client&                       client_;
    std::map<std::string, cached_document> cached_;
};

} // namespace arbutusgate
