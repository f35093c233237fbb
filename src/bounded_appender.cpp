#include "bounded_appender.hpp"

#include "daemon_clock.hpp"
#include "text.hpp"

#include <log4cplus/spi/loggingevent.h>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <sstream>

namespace arbutusgate {

namespace {

/// By POSIX, a pipe that poll() reports as writable accepts this much without
/// blocking.
constexpr std::size_t write_chunk = 4096; // bytes

/// The budget only distinguishes warnings and errors from all other lines.
log_level budget_level(log4cplus::LogLevel it)
{
    return it >= log4cplus::WARN_LOG_LEVEL ? log_level::warning
                                           : log_level::info;
}

} // namespace

bounded_appender::bounded_appender(int fd, std::uint32_t lines_per_second,
                                   std::size_t max_buffered_bytes)
    : fd_(fd), max_buffered_bytes_(max_buffered_bytes),
      budget_(lines_per_second)
{
}

bounded_appender::~bounded_appender()
{
    destructorImpl();
}

void bounded_appender::close()
{
    report_dropped();
    flush();
    closed = true;
}

void bounded_appender::append(const log4cplus::spi::InternalLoggingEvent& event)
{
    if (!budget_.admit(budget_level(event.getLogLevel()), daemon_now()))
        return;
    flush();
    report_dropped();
    std::ostringstream line;
    layout->formatAndAppend(line, event);
    buffer_line(line.str());
    flush();
}

void bounded_appender::buffer_line(const std::string& line)
{
    if (buffer_.size() + line.size() > max_buffered_bytes_)
        budget_.count_dropped();
    else
        buffer_ += line;
}

void bounded_appender::report_dropped()
{
    const auto n = budget_.take_dropped();
    if (n == 0)
        return;
    const auto line = concat(
        R"({"level":"WARN","message":"log lines dropped","lines":)", n, "}\n");
    if (buffer_.size() + line.size() <= max_buffered_bytes_) {
        buffer_ += line;
        return;
    }
    for (std::uint64_t k = 0; k < n; ++k)
        budget_.count_dropped();
}

void bounded_appender::flush()
{
    std::size_t written = 0;
    while (written < buffer_.size()) {
        pollfd it{fd_, POLLOUT, 0};
        if (::poll(&it, 1, 0) != 1 || (it.revents & POLLOUT) == 0)
            break;
        const auto n = ::write(fd_, buffer_.data() + written,
                               std::min(write_chunk, buffer_.size() - written));
        if (n <= 0)
            break;
        written += static_cast<std::size_t>(n);
    }
    buffer_.erase(0, written);
}

} // namespace arbutusgate
