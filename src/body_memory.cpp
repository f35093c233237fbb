#include "body_memory.hpp"

#include "arbutusgate/config.hpp"

#include <utility>

namespace arbutusgate {

boost::asio::execution_context::id body_memory::id;

bool body_memory::take(std::size_t bytes)
{
    if (bytes > limits::body_memory - used_)
        return false;
    used_ += bytes;
    return true;
}

body_reservation::body_reservation(boost::asio::execution_context& io)
    : memory_(&boost::asio::use_service<body_memory>(io))
{
}

body_reservation::~body_reservation()
{
    memory_->give_back(reserved_);
}

body_reservation::body_reservation(body_reservation&& other) noexcept
    : memory_(other.memory_), reserved_(std::exchange(other.reserved_, 0))
{
}

body_reservation& body_reservation::operator=(body_reservation&& other) noexcept
{
    std::swap(memory_, other.memory_);
    std::swap(reserved_, other.reserved_);
    return *this;
}

bool body_reservation::grow_to(std::size_t bytes)
{
    if (bytes <= limits::unreserved_body || bytes <= reserved_)
        return true;
    if (!memory_->take(bytes - reserved_))
        return false;
    reserved_ = bytes;
    return true;
}

} // namespace arbutusgate
