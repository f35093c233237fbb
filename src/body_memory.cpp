#include "body_memory.hpp"

#include <utility>

namespace arbutusgate {

boost::asio::execution_context::id body_memory::id;

bool body_memory::take(std::size_t bytes, const incomplete_body* asker)
{
    if (bytes > limit_)
        return false;
    while (!fits(bytes)) {
        if (!evict_one(asker))
            return false;
    }
    used_ += bytes;
    return true;
}

bool body_memory::evict_one(const incomplete_body* asker)
{
    incomplete_body* chosen = nullptr;
    std::size_t      most   = 0;
    for (auto* it : incomplete_) {
        if (it != asker && it->held() > most) {
            chosen = it;
            most   = it->held();
        }
    }
    if (!chosen)
        return false;
    ++evicted_;
    chosen->evict();
    return true;
}

body_reservation::body_reservation(boost::asio::execution_context& io)
    : memory_(&boost::asio::use_service<body_memory>(io))
{
}

body_reservation::~body_reservation()
{
    end_incomplete();
    release();
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
    if (!memory_->take(bytes - reserved_, body_))
        return false;
    reserved_ = bytes;
    return true;
}

void body_reservation::release()
{
    memory_->give_back(std::exchange(reserved_, 0));
}

void body_reservation::begin_incomplete(incomplete_body& body)
{
    end_incomplete();
    body_  = &body;
    entry_ = memory_->incomplete_.insert(memory_->incomplete_.end(), &body);
}

void body_reservation::end_incomplete()
{
    if (std::exchange(body_, nullptr))
        memory_->incomplete_.erase(entry_);
}

} // namespace arbutusgate
