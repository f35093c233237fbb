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
    void add(std::string_view text);
    /// The next whole event, if there is one.
    std::optional<raw_event> next();
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
