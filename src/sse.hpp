/// Parses and writes server-sent events.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace arbutusgate {

/// One event, without comments.
struct sse_event
{
    std::string name; ///< Empty for the default type, "message".
    std::string data;
};

/// Splits a byte stream into events. The stream may be split at any byte.
class sse_parser
{
public:
    void feed(std::string_view bytes) { buffer_.append(bytes); }
    /// \return the next complete event, or nothing when more bytes are needed.
    std::optional<sse_event> next();
    /// True when the buffered line or the event's data exceeds
    /// limits::request_body, which no target may send.
    bool overflowed() const;

private:
    bool take_line(std::string& line);
    void add_field(std::string_view line);

    std::string buffer_;
    std::size_t consumed_ = 0; ///< Bytes of the buffer already parsed.
    sse_event   event_;
    bool        has_data_ = false;
};

/// Formats an event whose data is a single line.
std::string format_sse_event(std::string_view name, std::string_view data);

} // namespace arbutusgate
