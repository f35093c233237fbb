/// Network topology of the daemons.
#pragma once

#include "arbutusgate/config.hpp"
#include "arbutusgate/types.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace arbutusgate {

/// Arranges the slots of a large fleet in a square grid. A daemon has links to
/// the slots of its row and column. A message to any other slot is relayed
/// once, by a slot in the row of one and the column of the other, so that the
/// number of links per daemon grows with the square root of the fleet size. In
/// a small fleet, all slots are linked directly.
class relay_grid
{
public:
    /// Creates a grid without slots, in which all links are direct.
    relay_grid() = default;
    /// \param direct Largest number of slots for which all links are direct.
    explicit relay_grid(std::size_t slots,
                        std::size_t direct = limits::direct_links);

    std::int64_t slots() const { return static_cast<std::int64_t>(slots_); }
    /// True when the two slots are linked directly.
    bool adjacent(slot_id a, slot_id b) const;
    /// Returns the slots that can relay a message: first the one in the row of
    /// \p from, then the one in the row of \p to. At most one of them is
    /// invalid, where the last row has no slot in that column.
    std::array<slot_id, 2> relays(slot_id from, slot_id to) const;
    /// Returns all slots with a direct link to the given one.
    std::vector<slot_id> neighbours(slot_id of) const;

private:
    slot_id slot_at(std::size_t row, std::size_t column) const;

    std::size_t slots_ = 0;
    std::size_t width_ = 0; ///< Slots per row; 0 if all links are direct.
};

} // namespace arbutusgate
