/// Log appender that never blocks and buffers a bounded number of bytes.
#pragma once

#include "log_budget.hpp"

#include <log4cplus/appender.h>

#include <cstddef>
#include <string>

namespace arbutusgate {

/// Writes log lines to a file descriptor without blocking. Lines that cannot be
/// written immediately are buffered up to a limit; lines beyond the limit or
/// the rate are dropped, and a separate log line reports how many.
class bounded_appender final : public log4cplus::Appender
{
public:
    /// \param fd not owned; the caller keeps it open.
    /// \param lines_per_second rate limit.
    /// \param max_buffered_bytes buffered while the reader does not read.
    bounded_appender(int fd, std::uint32_t lines_per_second,
                     std::size_t max_buffered_bytes);
    ~bounded_appender() override;

    void close() override;

protected:
    void append(const log4cplus::spi::InternalLoggingEvent& event) override;

private:
    void buffer_line(const std::string& line);
    void report_dropped();
    void flush();

    int         fd_;
    std::size_t max_buffered_bytes_;
    log_budget  budget_;
    std::string buffer_;
};

} // namespace arbutusgate
