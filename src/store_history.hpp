/// Learns from the history of the store which software served lately.
#pragma once

#include "arbutusgate/types.hpp"

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <utility>

namespace arbutusgate::gateway {

class state_reader;
struct state_revision;

struct store_history
{
    /// The store answered, so that the software below includes all that it
    /// published up to this read.
    bool complete = false;
    /// Time before the end of the history of which all entries were read.
    milliseconds covered{0};
    /// Services and software_key of the targets that wrote entries.
    std::set<std::pair<std::string, std::uint64_t>> software;
};

/// Reads the entries that targets wrote before a revision, further back each
/// time, until they cover the wanted time or the store has no older ones. May
/// suspend the fiber.
/// \param targets that write entries.
/// \param heartbeat interval at which each target writes its entry; it tells
/// how much time the entries cover.
store_history read_store_history(state_reader&         reader,
                                 const state_revision& revision,
                                 std::size_t targets, milliseconds heartbeat,
                                 milliseconds wanted);

} // namespace arbutusgate::gateway
