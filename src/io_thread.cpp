#include "io_thread.hpp"

#include "fatal_errors.hpp"
#include "fiber_scheduler.hpp"
#include "fiber_token.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/mutex.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/fiber/protected_fixedsize_stack.hpp>

#include <mutex>

#if defined(__SANITIZE_ADDRESS__)
#include <sanitizer/asan_interface.h>
#endif

namespace arbutusgate {

namespace {

// Beast's parsers and Boost.JSON keep their buffers on the heap. 48 KB hold the
// deepest call chain and keep the memory of a stream below 64 KB.
#if defined(__SANITIZE_ADDRESS__)
constexpr std::size_t fiber_stack_bytes = 256 * 1024;
#else
constexpr std::size_t fiber_stack_bytes = 48 * 1024;
#endif

/// Allocates stacks with a guard page. A fiber ends by a context switch, not by
/// returning, so AddressSanitizer's poisoned regions of its last frames remain.
/// They are cleared here, else the next fiber on that memory would report an
/// overflow.
class fiber_stack_allocator
{
public:
    boost::context::stack_context allocate()
    {
        auto out = base_.allocate();
#if defined(__SANITIZE_ADDRESS__)
        __asan_unpoison_memory_region(static_cast<char*>(out.sp) - out.size,
                                      out.size);
#endif
        return out;
    }

    void deallocate(boost::context::stack_context& it) noexcept
    {
        base_.deallocate(it);
    }

private:
    boost::fibers::protected_fixedsize_stack base_{fiber_stack_bytes};
};

} // namespace

void spawn_fiber(std::function<void()> task)
{
    boost::fibers::fiber(boost::fibers::launch::post, std::allocator_arg,
                         fiber_stack_allocator(), std::move(task))
        .detach();
}

bool fiber_sleep(boost::asio::io_context& io, std::chrono::microseconds time)
{
    boost::system::error_code ec;
    boost::asio::steady_timer timer(io, time);
    timer.async_wait(fiber_token{ec});
    return !ec;
}

io_thread::io_thread() : thread_([this] { run(); }) {}

io_thread::~io_thread()
{
    boost::asio::post(io_, [this] {
        stopping_ = true;
        if (notify_stop_)
            notify_stop_();
    });
    thread_.join();
}

void io_thread::spawn(std::function<void()> task)
{
    boost::asio::post(io_, [task = std::move(task)]() mutable {
        spawn_fiber(std::move(task));
    });
}

void io_thread::run()
{
    const report_stack reports;
    boost::fibers::use_scheduling_algorithm<fiber_scheduler>(io_);
    auto                              guard = boost::asio::make_work_guard(io_);
    boost::fibers::mutex              mutex;
    boost::fibers::condition_variable stopped;
    notify_stop_ = [&stopped] {
        stopped.notify_all();
    };
    std::unique_lock lock(mutex);
    stopped.wait(lock, [this] { return stopping_; });
    notify_stop_ = nullptr;
}

} // namespace arbutusgate
