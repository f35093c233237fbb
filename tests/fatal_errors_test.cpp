#include "fatal_errors.hpp"
#include "io_thread.hpp"

#include <catch2/catch.hpp>

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <functional>
#include <stdexcept>
#include <string>
#include <thread>

using namespace arbutusgate;

namespace {

struct process_end
{
    int         signal = 0;
    std::string output;
};

/// Runs the action in a child that reports its fatal errors.
/// \param full its output is a full pipe at first.
process_end run_in_child(const std::function<void()>& action, bool full = false)
{
    int ends[2];
    REQUIRE(::pipe(ends) == 0);
    if (full) {
        ::fcntl(ends[1], F_SETFL, O_NONBLOCK);
        const std::string part(4096, ' ');
        while (::write(ends[1], part.data(), part.size()) > 0)
            continue;
        ::fcntl(ends[1], F_SETFL, 0);
    }
    const pid_t child = ::fork();
    if (child == 0) {
        ::dup2(ends[1], STDOUT_FILENO);
        // The test program's own handlers would write to the pipe, too.
        for (const int it : {SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT})
            std::signal(it, SIG_DFL);
        report_fatal_errors();
        action();
        ::_exit(0);
    }
    ::close(ends[1]);
    process_end out;
    // A child that waits for its output ends by SIGALRM.
    int status = 0;
    if (full)
        ::waitpid(child, &status, 0);
    char buf[1024];
    for (auto n = ::read(ends[0], buf, sizeof buf); n > 0;
         n      = ::read(ends[0], buf, sizeof buf))
        out.output.append(buf, static_cast<std::size_t>(n));
    ::close(ends[0]);
    if (!full)
        ::waitpid(child, &status, 0);
    out.signal = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
    return out;
}

bool has(const std::string& text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

/// Uses about 4 KiB of the stack for each level.
int use_stack(int levels)
{
    volatile char part[4096];
    part[0] = static_cast<char>(levels);
    return levels == 0 ? 0 : use_stack(levels - 1) + part[0];
}

} // namespace

// Guards against a process that ends by an exception without a line in its log.
TEST_CASE("an exception that ends the process is reported", "[fatal]")
{
    const auto end = run_in_child([] {
        std::thread([] { throw std::length_error("a \"field\""); }).join();
    });
    CHECK(end.signal == SIGABRT);
    CHECK(has(end.output, "the process ends by an exception"));
    CHECK(has(end.output, "length_error"));
    CHECK(has(end.output, "a \\\"field\\\""));
    CHECK(has(end.output, "\"calls\":[\"0x"));
    CHECK(end.output.ends_with("]}\n"));
}

// Guards against the same for a fault, on a thread of fibers: a fiber that has
// overflowed its stack has no room for the report.
TEST_CASE("a fault of a fiber is reported", "[fatal]")
{
    const auto end = run_in_child([] {
        io_thread thread;
        thread.spawn([] { use_stack(100'000); });
        ::pause();
    });
    CHECK(end.signal == SIGSEGV);
    CHECK(has(end.output, "the process ends by a signal"));
    CHECK(has(end.output, "\"signal\":11"));
}

// Guards against handlers that keep a process alive that asks for its end.
TEST_CASE("a signal that a process is sent ends it with a report", "[fatal]")
{
    const auto end = run_in_child([] { ::raise(SIGABRT); });
    CHECK(end.signal == SIGABRT);
    CHECK(has(end.output, "\"signal\":6,\"sender\":"));
}

// Guards against a report that keeps the process from ending, with its ports
// open: nobody reads its output.
TEST_CASE("a report that nobody reads does not delay the end", "[fatal]")
{
    const auto end = run_in_child(
        [] {
            std::signal(SIGALRM, SIG_DFL);
            ::alarm(5);
            ::raise(SIGABRT);
        },
        true);
    CHECK(end.signal == SIGABRT);
}
