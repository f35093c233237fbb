/// Counts heap bytes in the benchmark program.
#pragma once

#include <cstdint>

namespace arbutusgate {

/// Bytes now allocated by operator new, with the allocator's rounding.
std::int64_t heap_bytes();

} // namespace arbutusgate
