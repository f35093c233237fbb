/// Fibers and connections of one owner, which end before it does.
#pragma once

#include "fiber_signal.hpp"
#include "http_client.hpp"
#include "io_thread.hpp"

#include <functional>
#include <set>
#include <utility>

namespace arbutusgate {

/// Belongs to one thread and is destroyed on one of its fibers. Declared as the
/// owner's last member, so that its fibers find the other ones.
class fiber_group
{
public:
    fiber_group() = default;
    /// Asks all fibers to stop and waits for their end.
    ~fiber_group()
    {
        stopping_ = true;
        changed_.notify();
        for (auto* it : clients_)
            it->cancel();
        constexpr seconds check{1};
        while (!changed_.wait_until(daemon_now() + check,
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
    /// Waits until the time has come, the group stops, or the condition holds
    /// after a wake().
    template <class Condition>
    void sleep_until(time_point until, Condition condition)
    {
        changed_.wait_until(until, [&] { return stopping_ || condition(); });
    }
    void sleep_until(time_point until)
    {
        sleep_until(until, [] { return false; });
    }
    void wake() { changed_.notify(); }

    /// The client is cancelled when the group stops, while this object lives.
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

private:
    std::set<http_client*> clients_;
    fiber_signal           changed_;
    std::uint32_t          running_  = 0;
    bool                   stopping_ = false;
};

} // namespace arbutusgate
