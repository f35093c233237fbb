/// Server-sent events: parsing and writing.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace arbutusgate {

/// One event; comments are skipped.
struct sse_event
{
    std::string name; ///< Empty: "message".
    std::string data;
};

/// Splits a byte stream, cut anywhere, into events.
class sse_parser
{
public:
    void feed(std::string_view bytes) { buffer_.append(bytes); }
    /// \return the next whole event, or nothing when more bytes are needed.
    std::optional<sse_event> next();
    /// True when a line is longer than any that a target may send.
    bool overflowed() const;

private:
    bool take_line(std::string& line);
    void apply(std::string_view line);

    std::string buffer_;
    std::size_t read_ = 0;
    sse_event   event_;
    bool        has_data_ = false;
};

/// Text of an event with the data on one line.
std::string sse_text(std::string_view name, std::string_view data);

} // namespace arbutusgate
