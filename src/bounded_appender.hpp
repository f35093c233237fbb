/// Log output that never blocks and holds a bounded number of bytes.
#pragma once

#include "log_budget.hpp"

#include <log4cplus/appender.h>

#include <cstddef>
#include <string>

namespace arbutusgate {

/// Writes lines to a descriptor when it takes them at once, and keeps the rest
/// up to a limit. Lines that are dropped are counted in a line of their own.
class bounded_appender final : public log4cplus::Appender
{
public:
    /// \param fd stays open and is not closed here.
    /// \param lines a second.
    /// \param bytes that are kept while the reader does not read.
    bounded_appender(int fd, std::uint32_t lines, std::size_t bytes);
    ~bounded_appender() override;

    void close() override;

protected:
    void append(const log4cplus::spi::InternalLoggingEvent& event) override;

private:
    void keep(const std::string& line);
    void note_dropped();
    void flush();

    int         fd_;
    std::size_t limit_;
    log_budget  budget_;
    std::string kept_;
};

} // namespace arbutusgate
