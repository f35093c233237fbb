/// Reading of what operators and targets publish.
#pragma once

#include "gateway_types.hpp"

#include "absl/status/statusor.h"

#include <string>
#include <variant>
#include <vector>

namespace arbutusgate::gateway {

/// An entry was removed, or cannot be read as a target.
struct target_removed
{
    std::string id;
    bool        unreadable = false;
};

/// The published configuration cannot be read.
struct configuration_unreadable
{
    std::string reason;
};

using state_change = std::variant<configuration, target, target_removed,
                                  configuration_unreadable>;

/// Changes in the order in which they were published.
struct state_changes
{
    std::vector<state_change> changes;
    std::uint64_t             revision = 0; ///< Continue from here.
};

/// Part of the published state. Several pages are no snapshot.
struct state_page
{
    std::vector<state_change> entries;
    std::uint64_t             revision = 0; ///< Of the store at the answer.
    std::string               next_page;    ///< Empty: the last page.
};

/// The configuration and when it was so.
struct configuration_read
{
    configuration config;
    std::uint64_t revision = 0; ///< Of the store at the answer.
};

/// All that is known of the published state as of a revision.
struct state_copy
{
    std::uint64_t       revision = 0;
    std::string         document; ///< Of the configuration, as published.
    std::vector<target> targets;
};

/// Errors: OutOfRange when the history asked for is gone, ResourceExhausted
/// when the store refuses, Unavailable when it does not answer in time.
class state_reader
{
public:
    virtual ~state_reader() = default;

    /// \return NotFound when nothing was published yet.
    virtual absl::StatusOr<configuration_read>
    read_configuration(milliseconds timeout) = 0;
    /// Targets in pages; the first one for an empty text.
    virtual absl::StatusOr<state_page> read_targets(const std::string& page,
                                                    milliseconds timeout) = 0;
    /// Changes of the configuration and of targets after a revision.
    /// \param wait without a change the answer comes after this time.
    virtual absl::StatusOr<state_changes>
    watch(std::uint64_t after, milliseconds wait, milliseconds timeout) = 0;
    /// Reads a configuration that another daemon has passed on.
    /// \return InvalidArgument with the first wrong field.
    virtual absl::StatusOr<configuration>
    parse_configuration(const std::string& document) const = 0;
};

} // namespace arbutusgate::gateway
