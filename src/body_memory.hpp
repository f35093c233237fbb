/// Limit for the memory of request and response bodies.
#pragma once

#include "arbutusgate/config.hpp"

#include <boost/asio/execution_context.hpp>

#include <cstddef>
#include <cstdint>
#include <list>

namespace arbutusgate {

/// A request body that is not complete: nothing has run, so that its request
/// can be refused to make room for others.
class incomplete_body
{
public:
    /// Bytes that eviction would give back.
    virtual std::size_t held() const = 0;
    /// Gives the bytes back at once and refuses the request.
    virtual void evict() = 0;

protected:
    ~incomplete_body() = default;
};

/// Counts the bytes that the bodies of requests, and those of the responses of
/// targets, take on one io_context. Belongs to its thread.
class body_memory final : public boost::asio::execution_context::service
{
public:
    using key_type = body_memory;
    static boost::asio::execution_context::id id;

    explicit body_memory(boost::asio::execution_context& owner)
        : boost::asio::execution_context::service(owner)
    {
    }

    /// \param bytes what all bodies may take together.
    void set_limit(std::size_t bytes) { limit_ = bytes; }

    /// Takes bytes, and evicts incomplete bodies as far as needed: those that
    /// hold most first, and of equal ones the oldest.
    /// \param asker is not evicted; may be null.
    /// \return false when the limit would be exceeded all the same.
    bool        take(std::size_t bytes, const incomplete_body* asker = nullptr);
    void        give_back(std::size_t bytes) { used_ -= bytes; }
    std::size_t used() const { return used_; }
    std::size_t limit() const { return limit_; }
    /// Bodies evicted since the start.
    std::uint64_t evicted() const { return evicted_; }

private:
    friend class body_reservation;
    using body_list = std::list<incomplete_body*>;

    void shutdown() override {}
    bool evict_one(const incomplete_body* asker);
    bool fits(std::size_t bytes) const
    {
        return used_ <= limit_ && bytes <= limit_ - used_;
    }

    std::size_t   limit_   = limits::body_memory;
    std::size_t   used_    = 0;
    std::uint64_t evicted_ = 0;
    body_list     incomplete_; ///< The oldest one first.
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
    /// Bytes reserved.
    std::size_t bytes() const { return reserved_; }
    /// Gives the memory back.
    void release();
    /// Lets the body be evicted until end_incomplete() or the end of the
    /// lifetime. Must not be moved meanwhile.
    void begin_incomplete(incomplete_body& body);
    void end_incomplete();

private:
    body_memory*                     memory_;
    std::size_t                      reserved_ = 0;
    incomplete_body*                 body_     = nullptr;
    body_memory::body_list::iterator entry_; ///< Valid if body_ is set.
};

} // namespace arbutusgate
