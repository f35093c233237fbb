/// Splits a server-sent event stream into complete events without changing
/// their bytes.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace arbutusgate::gateway {

/// One event as received.
struct raw_event
{
    std::string                text; ///< With the empty line that ends it.
    std::optional<std::string> id;
};

/// Accepts the stream split at any byte. Events end with an empty line, which
/// ends with LF or CR LF.
class event_splitter
{
public:
    /// Bounds the memory for a target that never ends an event.
    static constexpr std::size_t max_event_bytes = 256 * 1024;

    void add(std::string_view text);
    /// \return the next complete event, if there is one.
    std::optional<raw_event> next();
    /// True when the incomplete event exceeds max_event_bytes. The stream
    /// cannot be read any further.
    bool overflowed() const { return rest().size() > max_event_bytes; }
    /// Bytes after the last event that next() returned.
    std::string_view rest() const
    {
        return std::string_view(buffer_).substr(consumed_);
    }

private:
    std::string buffer_;
    std::size_t consumed_ = 0; ///< Bytes returned by next().
    /// Bytes of rest() that hold no end of an event, so that an event in many
    /// parts takes time in proportion to its size.
    std::size_t searched_ = 0;
};

} // namespace arbutusgate::gateway
