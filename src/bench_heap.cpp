#include "bench_heap.hpp"

#include <malloc.h>

namespace arbutusgate {

std::int64_t heap_bytes()
{
    const auto info = ::mallinfo2();
    return static_cast<std::int64_t>(info.uordblks + info.hblkhd);
}

} // namespace arbutusgate
