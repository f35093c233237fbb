/// Heap usage of the process, for the benchmarks.
#pragma once

#include <cstdint>

namespace arbutusgate {

/// \return bytes currently allocated in all malloc arenas and by mmap, C
/// libraries included.
std::int64_t heap_bytes();

} // namespace arbutusgate
