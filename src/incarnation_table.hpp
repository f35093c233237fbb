/// Newest known incarnation of each slot.
#pragma once

#include "arbutusgate/types.hpp"

#include <cstdint>
#include <vector>

namespace arbutusgate {

/// Entries only increase. The table is empty at the start of a process.
class incarnation_table
{
public:
    explicit incarnation_table(std::size_t slots) : newest_(slots) {}

    void raise(slot_id slot, std::uint64_t incarnation)
    {
        if (slot.idx < newest_.size() && incarnation > newest_[slot.idx])
            newest_[slot.idx] = incarnation;
    }

    /// \return the newest known incarnation of the slot, or 0.
    std::uint64_t newest(slot_id slot) const { return newest_[slot.idx]; }

private:
    std::vector<std::uint64_t> newest_;
};

} // namespace arbutusgate
