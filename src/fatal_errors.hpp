/// Writes to standard output why the process ends by itself.
///
/// Failure: a process ends by an exception or a fault and leaves no line, so
/// that nobody can tell which of many causes it was.
#pragma once

#include <memory>

namespace arbutusgate {

/// Writes a line before the process ends by an exception that nothing catches,
/// or by SIGSEGV, SIGBUS, SIGFPE, SIGILL or SIGABRT. The process then ends as
/// it would without. The line has the form of the log, with the addresses of
/// the calls, for addr2line with the program's base subtracted. Those of an
/// exception that passes a noexcept function show where it was stopped, not
/// where it was thrown.
void report_fatal_errors();

/// Stack for the reports of the calling thread while this object lives: a fiber
/// that has overflowed its own stack has no room for one.
class report_stack
{
public:
    report_stack();
    ~report_stack();

    report_stack(const report_stack&)            = delete;
    report_stack& operator=(const report_stack&) = delete;

private:
    std::unique_ptr<char[]> memory_;
};

} // namespace arbutusgate
