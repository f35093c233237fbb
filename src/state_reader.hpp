/// Interface for reading the published state: the configuration of the
/// operators and the entries of the targets.
#pragma once

#include "gateway_types.hpp"
#include "state_revision.hpp"

#include "absl/status/statusor.h"

#include <set>
#include <string>
#include <variant>
#include <vector>

namespace arbutusgate::gateway {

/// The entry of a target was removed or cannot be parsed.
struct target_removed
{
    std::string id;
    bool        unreadable = false;
};

/// The published configuration cannot be parsed.
struct configuration_unreadable
{
    std::string reason;
};

/// The operators evacuated a failure domain, or ended its evacuation. The
/// targets of an evacuated domain get no new work.
struct domain_evacuation
{
    std::string failure_domain;
    bool        active = true;
};

using state_change = std::variant<configuration, target, target_removed,
                                  configuration_unreadable, domain_evacuation>;

/// Changes in the order of their publication.
struct state_changes
{
    std::vector<state_change> changes;
    state_revision            revision{}; ///< Continue after this one.
};

/// Part of the published state. The pages of one listing may stem from
/// different revisions and do not form a snapshot.
struct state_page
{
    std::vector<state_change> entries;
    state_revision revision{}; ///< Revision of the store at its response.
    std::string    next_page;  ///< Token of the next page; empty: none.
};

/// The configuration and the revision at which it was read.
struct configuration_read
{
    configuration  config;
    state_revision revision{}; ///< Revision of the store at its response.
};

/// The published state as a daemon knows it at a revision.
struct state_copy
{
    state_revision        revision{};
    std::string           document; ///< Configuration, as published.
    std::vector<target>   targets;
    std::set<std::string> evacuated{}; ///< Failure domains.
};

/// Errors of all calls: OutOfRange when the store no longer has the requested
/// history, ResourceExhausted when it refuses the call, Unavailable when it
/// does not respond in time.
class state_reader
{
public:
    virtual ~state_reader() = default;

    /// \return NotFound when no configuration has been published yet.
    virtual absl::StatusOr<configuration_read>
    read_configuration(milliseconds timeout) = 0;
    /// Reads one page of the targets.
    /// \param page token of the page; empty for the first one.
    virtual absl::StatusOr<state_page> read_targets(const std::string& page,
                                                    milliseconds timeout) = 0;
    /// Returns the changes of the configuration and of targets after a
    /// revision. The revision of the response may be of a later era; then
    /// changes are missing.
    /// \param wait time after which the store responds even without a change.
    virtual absl::StatusOr<state_changes>
    watch(std::uint64_t after, milliseconds wait, milliseconds timeout) = 0;
    /// Parses a configuration that another daemon has relayed.
    /// \return InvalidArgument that names the first invalid field.
    virtual absl::StatusOr<configuration>
    parse_configuration(const std::string& document) const = 0;
};

} // namespace arbutusgate::gateway
