/// Limit for the memory of response bodies.
#pragma once

#include <boost/asio/execution_context.hpp>

#include <cstddef>

namespace arbutusgate {

/// Counts the bytes that the response bodies of targets take on one
/// io_context. Belongs to its thread.
class body_memory final : public boost::asio::execution_context::service
{
public:
    using key_type = body_memory;
    static boost::asio::execution_context::id id;

    explicit body_memory(boost::asio::execution_context& owner)
        : boost::asio::execution_context::service(owner)
    {
    }

    /// \return false, without a change, when the limit would be exceeded.
    bool        take(std::size_t bytes);
    void        give_back(std::size_t bytes) { used_ -= bytes; }
    std::size_t used() const { return used_; }

private:
    void shutdown() override {}

    std::size_t used_ = 0;
};

/// Memory of one body, which is given back at the end of its lifetime.
class body_reservation
{
public:
    explicit body_reservation(boost::asio::execution_context& io);
    ~body_reservation();

    body_reservation(body_reservation&& other) noexcept;
    body_reservation& operator=(body_reservation&& other) noexcept;

    /// Reserves memory for a body that takes this much in total. Small bodies
    /// need no reservation, so that they are read when others use all memory.
    /// \return false when too much memory is in use.
    bool grow_to(std::size_t bytes);

private:
    body_memory* memory_;
    std::size_t  reserved_ = 0;
};

} // namespace arbutusgate
