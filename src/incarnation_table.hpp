/// Newest incarnation known of each slot.
#pragma once

#include "arbutusgate/types.hpp"

#include <cstdint>
#include <vector>

namespace arbutusgate {

/// Only grows, except that it starts empty with each process.
class incarnation_table
{
public:
    explicit incarnation_table(std::size_t slots) : newest_(slots) {}

    void note(slot_id slot, std::uint64_t incarnation)
    {
        if (slot.idx < newest_.size() && incarnation > newest_[slot.idx])
            newest_[slot.idx] = incarnation;
    }

    /// 0: none known.
    std::uint64_t newest(slot_id slot) const { return newest_[slot.idx]; }

private:
    std::vector<std::uint64_t> newest_;
};

} // namespace arbutusgate
