#include "bench_heap.hpp"

#include <malloc.h>

#include <atomic>
#include <cstdlib>
#include <new>

namespace {

std::atomic<std::int64_t> allocated{0};

void* allocate(std::size_t n)
{
    void* it = std::malloc(n);
    if (it == nullptr)
        throw std::bad_alloc();
    allocated += static_cast<std::int64_t>(::malloc_usable_size(it));
    return it;
}

void release(void* it) noexcept
{
    allocated -= static_cast<std::int64_t>(::malloc_usable_size(it));
    std::free(it);
}

} // namespace

namespace arbutusgate {

std::int64_t heap_bytes()
{
    return allocated;
}

} // namespace arbutusgate

void* operator new(std::size_t n)
{
    return allocate(n);
}
void* operator new[](std::size_t n)
{
    return allocate(n);
}
void operator delete(void* it) noexcept
{
    release(it);
}
void operator delete[](void* it) noexcept
{
    release(it);
}
void operator delete(void* it, std::size_t) noexcept
{
    release(it);
}
void operator delete[](void* it, std::size_t) noexcept
{
    release(it);
}
