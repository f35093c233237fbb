#include "relay_grid.hpp"

namespace arbutusgate {

relay_grid::relay_grid(std::size_t slots, std::size_t direct) : slots_(slots)
{
    if (slots <= direct)
        return;
    while (width_ * width_ < slots)
        ++width_;
}

bool relay_grid::adjacent(slot_id a, slot_id b) const
{
    return width_ == 0 || a.idx / width_ == b.idx / width_ ||
           a.idx % width_ == b.idx % width_;
}

std::array<slot_id, 2> relay_grid::relays(slot_id from, slot_id to) const
{
    return {slot_at(from.idx / width_, to.idx % width_),
            slot_at(to.idx / width_, from.idx % width_)};
}

std::vector<slot_id> relay_grid::neighbours(slot_id of) const
{
    std::vector<slot_id> out;
    for (std::uint32_t n = 0; n < slots_; ++n) {
        if (n != of.idx && adjacent(of, slot_id{n}))
            out.push_back(slot_id{n});
    }
    return out;
}

slot_id relay_grid::slot_at(std::size_t row, std::size_t column) const
{
    const auto n = row * width_ + column;
    return n < slots_ ? slot_id{static_cast<std::uint32_t>(n)} : slot_id{};
}

} // namespace arbutusgate
