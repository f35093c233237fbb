/// Fibers and connections of one owner, which end before the owner does.
#pragma once

#include "fiber_signal.hpp"
#include "http_client.hpp"
#include "io_thread.hpp"

#include <functional>
#include <set>
#include <utility>

namespace arbutusgate {

/// Belongs to one thread and is destroyed on one of that thread's fibers. It
/// must be the owner's last member: it is then destroyed first, while the
/// members that its fibers use still exist.
class fiber_group
{
public:
    fiber_group() = default;
    /// Asks all fibers to stop and waits until they have ended.
    ~fiber_group()
    {
        stopping_ = true;
        changed_.notify();
        for (auto* it : clients_)
            it->cancel();
        constexpr seconds recheck_interval{1};
        while (!changed_.wait_until(daemon_now() + recheck_interval,
                                    [this] { return running_ == 0; }))
        {
        }
    }

    fiber_group(const fiber_group&)            = delete;
    fiber_group& operator=(const fiber_group&) = delete;

    void spawn(std::function<void()> task)
    {
        ++running_;
        spawn_fiber([this, task = std::move(task)] {
            if (!stopping_)
                task();
            --running_;
            changed_.notify();
        });
    }

    bool stopping() const { return stopping_; }
    /// Suspends the fiber until the deadline, until the group stops, or until
    /// the condition holds. The condition is checked after each wake().
    template <class Condition>
    void sleep_until(time_point deadline, Condition condition)
    {
        changed_.wait_until(deadline, [&] { return stopping_ || condition(); });
    }
    void sleep_until(time_point deadline)
    {
        sleep_until(deadline, [] { return false; });
    }
    void wake() { changed_.notify(); }

    /// Registers a client with the group as long as this object lives. The
    /// group cancels its registered clients when it stops.
    class use
    {
    public:
        use(fiber_group& group, http_client& client)
            : group_(group), client_(client)
        {
            group_.clients_.insert(&client_);
        }
        ~use() { group_.clients_.erase(&client_); }

        use(const use&)            = delete;
        use& operator=(const use&) = delete;

    private:
        fiber_group& group_;
        http_client& client_;
    };

    /// Makes the group wait for a fiber of another owner that runs the owner's
    /// code as long as this object lives.
    class guest
    {
    public:
        explicit guest(fiber_group& group) : group_(group)
        {
            ++group_.running_;
        }
        ~guest()
        {
            --group_.running_;
            group_.changed_.notify();
        }

        guest(const guest&)            = delete;
        guest& operator=(const guest&) = delete;

    private:
        fiber_group& group_;
    };

private:
    std::set<http_client*> clients_;
    fiber_signal           changed_;
    std::uint32_t          running_  = 0;
    bool                   stopping_ = false;
};

} // namespace arbutusgate
