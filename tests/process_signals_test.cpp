#include "process_signals.hpp"

#include <catch2/catch.hpp>

#include <unistd.h>

#include <sys/wait.h>

using namespace arbutusgate;

namespace {

/// \return the wait status of a child that sends itself the signal.
int status_after(int signal)
{
    const pid_t child = ::fork();
    if (child == 0) {
        std::signal(signal, SIG_DFL);
        ignore_unused_signals();
        ::raise(signal);
        ::_exit(0);
    }
    int status = -1;
    ::waitpid(child, &status, 0);
    return status;
}

} // namespace

// Guards against a daemon that a signal of a log rotation or of a profiler ends
// together with its open requests.
TEST_CASE("signals without a meaning do not end a daemon", "[signals]")
{
    for (const int it : {SIGUSR1, SIGUSR2, SIGALRM, SIGVTALRM, SIGPROF, SIGIO,
                         SIGPWR, SIGPIPE, SIGSTKFLT, SIGXCPU, SIGXFSZ})
    {
        CAPTURE(it);
        CHECK(status_after(it) == 0);
    }
    CHECK(WTERMSIG(status_after(SIGTERM)) == SIGTERM);
}
