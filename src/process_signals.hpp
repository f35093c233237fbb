/// Signals of the daemon processes.
#pragma once

#include <csignal>

namespace arbutusgate {

/// Signals that end a process by default and for which the daemons have no use.
inline constexpr int unused_signals[] = {SIGPIPE,   SIGUSR1, SIGUSR2, SIGALRM,
                                         SIGVTALRM, SIGPROF, SIGIO,   SIGPWR,
                                         SIGSTKFLT, SIGXCPU, SIGXFSZ};

/// Ignores the unused signals. Called before anything that takes time: a signal
/// during the start would end the process, too.
inline void ignore_unused_signals()
{
    for (const int it : unused_signals)
        std::signal(it, SIG_IGN);
}

} // namespace arbutusgate
