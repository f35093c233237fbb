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

/// POSIX: a pipe that poll() calls writable takes this much at once.
constexpr std::size_t chunk = 4096; // bytes

log_level level_of(log4cplus::LogLevel it)
{
    return it >= log4cplus::WARN_LOG_LEVEL ? log_level::warning
                                           : log_level::info;
}

} // namespace

bounded_appender::bounded_appender(int fd, std::uint32_t lines,
                                   std::size_t bytes)
    : fd_(fd), limit_(bytes), budget_(lines)
{
}

bounded_appender::~bounded_appender()
{
    destructorImpl();
}

void bounded_appender::close()
{
    note_dropped();
    flush();
    closed = true;
}

void bounded_appender::append(const log4cplus::spi::InternalLoggingEvent& event)
{
    if (!budget_.admit(level_of(event.getLogLevel()), daemon_now()))
        return;
    flush();
    note_dropped();
    std::ostringstream line;
    layout->formatAndAppend(line, event);
    keep(line.str());
    flush();
}

void bounded_appender::keep(const std::string& line)
{
    if (kept_.size() + line.size() > limit_)
        budget_.count_dropped();
    else
        kept_ += line;
}

void bounded_appender::note_dropped()
{
    const auto n = budget_.take_dropped();
    if (n == 0)
        return;
    const auto line = concat(
        R"({"level":"WARN","message":"log lines dropped","lines":)", n, "}\n");
    if (kept_.size() + line.size() <= limit_) {
        kept_ += line;
        return;
    }
    for (std::uint64_t k = 0; k < n; ++k)
        budget_.count_dropped();
}

void bounded_appender::flush()
{
    std::size_t done = 0;
    while (done < kept_.size()) {
        pollfd it{fd_, POLLOUT, 0};
        if (::poll(&it, 1, 0) != 1 || (it.revents & POLLOUT) == 0)
            break;
        const auto n = ::write(fd_, kept_.data() + done,
                               std::min(chunk, kept_.size() - done));
        if (n <= 0)
            break;
        done += static_cast<std::size_t>(n);
    }
    kept_.erase(0, done);
}

} // namespace arbutusgate
