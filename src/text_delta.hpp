/// Difference between two texts that differ in one contiguous range.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace arbutusgate {

/// Replaces the bytes between an unchanged prefix and suffix.
struct text_delta
{
    std::size_t keep_head = 0; ///< Length of the prefix in bytes.
    std::size_t keep_tail = 0; ///< Length of the suffix in bytes.
    std::string text;
};

/// Returns the smallest delta that turns \p from into \p to.
text_delta make_delta(std::string_view from, std::string_view to);

/// \return nothing when \p from is shorter than the prefix and the suffix.
std::optional<std::string> apply_delta(std::string_view  from,
                                       const text_delta& delta);

} // namespace arbutusgate
