/// Splits a server-sent event stream into events.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace arbutusgate {

/// One event of a stream.
struct sse_event
{
    std::string name; ///< "message" unless the stream sets it.
    std::string data;
};

/// Accepts the stream split at any byte. Lines end with LF or CR LF.
class sse_reader
{
public:
    void add(std::string_view text) { buffer_ += text; }
    /// \return the next complete event, if there is one.
    std::optional<sse_event> next();

private:
    std::string buffer_;
    std::size_t consumed_ = 0; ///< Bytes of the buffer already parsed.
};

} // namespace arbutusgate
