/// Heap in use, for the benchmarks.
#pragma once

#include <cstdint>

namespace arbutusgate {

/// Bytes now allocated in all arenas, also by the libraries in C.
std::int64_t heap_bytes();

} // namespace arbutusgate
