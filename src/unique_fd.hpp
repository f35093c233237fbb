/// RAII owner of a file descriptor.
#pragma once

#include <unistd.h>

#include <utility>

namespace arbutusgate {

/// Owns a file descriptor and closes it on destruction; movable only.
class unique_fd
{
public:
    unique_fd() = default;
    explicit unique_fd(int fd) : fd_(fd) {}
    unique_fd(unique_fd&& it) noexcept : fd_(std::exchange(it.fd_, -1)) {}
    unique_fd& operator=(unique_fd&& it) noexcept
    {
        std::swap(fd_, it.fd_);
        return *this;
    }
    ~unique_fd()
    {
        if (fd_ >= 0)
            ::close(fd_);
    }

    int  get() const { return fd_; }
    bool valid() const { return fd_ >= 0; }

private:
    int fd_ = -1;
};

} // namespace arbutusgate
