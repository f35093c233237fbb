/// Which daemons have links to each other.
#pragma once

#include "arbutusgate/config.hpp"
#include "arbutusgate/types.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace arbutusgate {

/// The slots of a large fleet in a square. A daemon has links to the slots of
/// its row and column; a message to any other slot is relayed once, by the
/// slot in which a row and a column of the two meet. The number of links then
/// grows with the square root of the fleet. In a small fleet all slots have
/// direct links.
class relay_grid
{
public:
    /// Without slots: all links are direct.
    relay_grid() = default;
    /// \param direct size up to which all links are direct.
    explicit relay_grid(std::size_t slots,
                        std::size_t direct = limits::direct_links);

    std::int64_t slots() const { return static_cast<std::int64_t>(slots_); }
    bool         adjacent(slot_id a, slot_id b) const;
    /// Slots that can pass a message on: first the one in the row of \p from,
    /// then the one in the row of \p to. One of them is invalid when it falls
    /// into the gap at the end of the last row, never both.
    std::array<slot_id, 2> relays(slot_id from, slot_id to) const;
    /// All slots with a direct link to the given one.
    std::vector<slot_id> neighbours(slot_id of) const;

private:
    slot_id at(std::size_t row, std::size_t column) const;

    std::size_t slots_ = 0;
    std::size_t width_ = 0; ///< 0: all links are direct.
};

} // namespace arbutusgate
