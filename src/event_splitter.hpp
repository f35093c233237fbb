/// Splits a server-sent event stream into whole events, bytes unchanged.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace arbutusgate::gateway {

/// Bytes of one event with its final empty line.
struct raw_event
{
    std::string                text;
    std::optional<std::string> id;
};

/// Takes the stream in any pieces; lines end with LF or CR LF.
class event_splitter
{
public:
    /// Bytes; a target may send some without end.
    static constexpr std::size_t longest_event = 256 * 1024;

    void add(std::string_view text);
    /// The next whole event, if there is one.
    std::optional<raw_event> next();
    /// An event has become too long to be one. The stream is of no more use.
    bool overflowed() const { return rest().size() > longest_event; }
    /// Bytes after the last whole event.
    std::string_view rest() const
    {
        return std::string_view(buffer_).substr(read_);
    }

private:
    std::string buffer_;
    std::size_t read_ = 0; ///< Bytes already handed out.
};

} // namespace arbutusgate::gateway
