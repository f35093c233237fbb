/// Memory of short-lived JSON values.
#pragma once

#include <boost/json/monotonic_resource.hpp>
#include <boost/json/storage_ptr.hpp>

#include <array>
#include <cstddef>

namespace arbutusgate {

/// Serves the values of one document from the stack, then from the heap, and
/// frees all at once. Outlives the values.
class json_memory
{
public:
    json_memory() : resource_(bytes_.data(), bytes_.size()) {}

    json_memory(const json_memory&)            = delete;
    json_memory& operator=(const json_memory&) = delete;

    boost::json::storage_ptr get() { return &resource_; }

private:
    // A request of a caller or a call without its input takes about 1 KB.
    // Fibers have small stacks.
    std::array<unsigned char, 2048> bytes_;
    boost::json::monotonic_resource resource_;
};

} // namespace arbutusgate
