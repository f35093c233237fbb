/// Counts running requests and admits none once the daemon drains.
#pragma once

#include <atomic>
#include <cstdint>

namespace arbutusgate {

/// Thread-safe.
class request_gate
{
public:
    /// Counts one request as running for its own lifetime; converts to false
    /// when the gate is closed and the request may not run.
    class pass
    {
    public:
        explicit pass(request_gate& gate) : gate_(gate)
        {
            // Counted before the check: otherwise a drain could see no running
            // request while one is just being admitted.
            ++gate_.running_;
            admitted_ = !gate_.closed_;
            if (!admitted_)
                --gate_.running_;
        }
        ~pass()
        {
            if (admitted_)
                --gate_.running_;
        }

        pass(const pass&)            = delete;
        pass& operator=(const pass&) = delete;

        explicit operator bool() const { return admitted_; }

    private:
        request_gate& gate_;
        bool          admitted_ = false;
    };

    void          close() { closed_ = true; }
    bool          closed() const { return closed_; }
    std::uint32_t running() const { return running_; }

private:
    std::atomic<bool>          closed_{false};
    std::atomic<std::uint32_t> running_{0};
};

} // namespace arbutusgate
