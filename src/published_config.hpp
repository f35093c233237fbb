/// Documents of a published version, read from the platform.
#pragma once

#include "arbutusgate/configuration.hpp"

#include "platform_client.hpp"

#include "absl/status/statusor.h"

#include <cstdint>
#include <string>

namespace arbutusgate {

/// One version with the text of its documents.
struct published_config
{
    std::uint64_t    version = 0;
    config_documents documents;
};

/// Reads versions and keeps the documents of the last one, so that only
/// changed ones are fetched. Belongs to one io_thread.
class published_config_reader
{
public:
    explicit published_config_reader(platform_client& client) : client_(client)
    {
    }

    /// Waits for a version above the one given, at most for the time given.
    /// \return the version then published, be it newer or not.
    absl::StatusOr<published_config> read(std::uint64_t after,
                                          milliseconds  wait);
    /// Reads base and the site's overlay of an earlier version.
    absl::StatusOr<published_config> read_old(std::uint64_t      version,
                                              const std::string& site);

private:
    struct known_document
    {
        std::string digest;
        std::string text;
    };

    absl::Status update(const config_head& head);

    platform_client&                      client_;
    std::map<std::string, known_document> known_;
};

} // namespace arbutusgate
