#include "fatal_errors.hpp"

#include <cxxabi.h>
#include <execinfo.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <exception>
#include <string_view>
#include <typeinfo>

/// Start of the program in memory; set by the linker.
extern "C" const char __executable_start; // NOLINT

namespace arbutusgate {

namespace {

constexpr std::size_t stack_bytes   = 64 * 1024;
constexpr int         max_frames    = 24;
constexpr std::size_t max_text_size = 200;
constexpr int fatal_signals[] = {SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT};

/// A line of fixed size. A handler of a signal must not allocate memory.
class report_line
{
public:
    void add(std::string_view text)
    {
        const auto n = std::min(text.size(), sizeof text_ - size_);
        std::copy_n(text.data(), n, text_ + size_);
        size_ += n;
    }
    /// Adds text as the content of a JSON string.
    void add_escaped(std::string_view text)
    {
        for (const char c : text.substr(0, max_text_size)) {
            if (c == '"' || c == '\\')
                add("\\");
            add({static_cast<unsigned char>(c) < ' ' ? " " : &c, 1});
        }
    }
    void add_address(std::uintptr_t value)
    {
        constexpr std::string_view digits = "0123456789abcdef";
        char                       text[2 * sizeof value];
        auto                       n = sizeof text;
        do {
            text[--n] = digits[value % digits.size()];
            value /= digits.size();
        } while (value > 0);
        add("\"0x");
        add({text + n, sizeof text - n});
        add("\"");
    }
    void add_number(int value)
    {
        char text[12];
        auto n = sizeof text;
        do {
            text[--n] = static_cast<char>('0' + value % 10);
            value /= 10;
        } while (value > 0);
        add({text + n, sizeof text - n});
    }
    void add_calls()
    {
        void*      frames[max_frames];
        const auto count = ::backtrace(frames, max_frames);
        add(",\"base\":");
        add_address(reinterpret_cast<std::uintptr_t>(&__executable_start));
        add(",\"calls\":[");
        for (int n = 0; n < count; ++n) {
            if (n > 0)
                add(",");
            add_address(reinterpret_cast<std::uintptr_t>(frames[n]));
        }
        add("]}\n");
    }
    /// Writes what was added and empties the line. Writes nothing if the output
    /// is a pipe that nobody reads: the process must end all the same.
    void flush()
    {
        pollfd out{STDOUT_FILENO, POLLOUT, 0};
        if (::poll(&out, 1, 0) == 1 && (out.revents & POLLOUT) != 0) {
            [[maybe_unused]] const auto n =
                ::write(STDOUT_FILENO, text_, size_);
        }
        size_ = 0;
    }

private:
    char        text_[2048];
    std::size_t size_ = 0;
};

void on_fatal_signal(int signal, siginfo_t* info, void*)
{
    report_line line;
    // The log may have written a part of a line.
    line.add("\n{\"level\":\"ERROR\",\"message\":"
             "\"the process ends by a signal\",\"signal\":");
    line.add_number(signal);
    // A signal that was sent has the sender in place of an address.
    if (info->si_code <= 0) {
        line.add(",\"sender\":");
        line.add_number(info->si_pid);
    }
    else {
        line.add(",\"address\":");
        line.add_address(reinterpret_cast<std::uintptr_t>(info->si_addr));
    }
    // On a damaged stack, the search for the calls may fail.
    line.flush();
    line.add_calls();
    line.flush();
    // SA_RESETHAND has restored the default action.
    ::raise(signal);
}

[[noreturn]] void on_terminate()
{
    report_line line;
    line.add("\n{\"level\":\"ERROR\",\"message\":"
             "\"the process ends by an exception\",\"type\":\"");
    if (const auto* type = abi::__cxa_current_exception_type())
        line.add_escaped(type->name());
    line.add("\",\"error\":\"");
    if (const auto current = std::current_exception()) {
        try {
            std::rethrow_exception(current);
        }
        catch (const std::exception& it) {
            line.add_escaped(it.what());
        }
        catch (...) {
            line.add("not a std::exception");
        }
    }
    line.add("\"");
    // On a damaged stack, the search for the calls may fail.
    line.flush();
    line.add_calls();
    line.flush();
    // The line says all that the handler of SIGABRT would.
    std::signal(SIGABRT, SIG_DFL);
    std::abort();
}

} // namespace

void report_fatal_errors()
{
    // The first call loads a library, which allocates memory.
    void* frame = nullptr;
    ::backtrace(&frame, 1);
    std::set_terminate(on_terminate);
    struct sigaction action
    {
    };
    action.sa_sigaction = on_fatal_signal;
    action.sa_flags     = SA_SIGINFO | SA_ONSTACK | SA_RESETHAND;
    for (const int it : fatal_signals)
        ::sigaction(it, &action, nullptr);
}

report_stack::report_stack() : memory_(std::make_unique<char[]>(stack_bytes))
{
    stack_t stack{};
    stack.ss_sp   = memory_.get();
    stack.ss_size = stack_bytes;
    ::sigaltstack(&stack, nullptr);
}

report_stack::~report_stack()
{
    stack_t stack{};
    stack.ss_flags = SS_DISABLE;
    ::sigaltstack(&stack, nullptr);
}

} // namespace arbutusgate
