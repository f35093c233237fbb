/// Difference of two texts that changed in one place.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace arbutusgate {

/// Replaces the bytes between a kept head and a kept tail.
struct text_delta
{
    std::size_t keep_head = 0; ///< bytes
    std::size_t keep_tail = 0; ///< bytes
    std::string text;
};

/// Smallest delta of this form.
text_delta make_delta(std::string_view from, std::string_view to);

/// \return nothing when the kept parts do not fit into the text.
std::optional<std::string> apply_delta(std::string_view  from,
                                       const text_delta& delta);

} // namespace arbutusgate
