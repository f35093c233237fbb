/// Allocator for short-lived JSON values.
#pragma once

#include <boost/json/monotonic_resource.hpp>
#include <boost/json/storage_ptr.hpp>

#include <array>
#include <cstddef>

namespace arbutusgate {

/// Allocates the values of one document from a buffer on the stack and, once
/// that is full, from the heap. The destructor frees everything at once, so it
/// must outlive the values.
class json_memory
{
public:
    json_memory() : resource_(bytes_.data(), bytes_.size()) {}

    json_memory(const json_memory&)            = delete;
    json_memory& operator=(const json_memory&) = delete;

    boost::json::storage_ptr get() { return &resource_; }

private:
    // A caller's request, or a call to a target, takes about 1 KB without its
    // input. The buffer is not larger because fibers have small stacks.
    std::array<unsigned char, 2048> bytes_;
    boost::json::monotonic_resource resource_;
};

} // namespace arbutusgate
