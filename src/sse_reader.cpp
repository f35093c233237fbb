#include "sse_reader.hpp"

namespace arbutusgate {

namespace {

std::string_view value_of(std::string_view line, std::string_view field)
{
    auto value = line.substr(field.size());
    if (value.starts_with(' '))
        value.remove_prefix(1);
    return value;
}

void add_line(std::string_view line, sse_event& event)
{
    if (line.starts_with("event:"))
        event.name = value_of(line, "event:");
    else if (line.starts_with("data:")) {
        if (!event.data.empty())
            event.data += '\n';
        event.data += value_of(line, "data:");
    }
}

} // namespace

std::optional<sse_event> sse_reader::next()
{
    sse_event event{"message", {}};
    auto      at = read_;
    for (;;) {
        const auto end = buffer_.find('\n', at);
        if (end == std::string::npos) {
            buffer_.erase(0, read_);
            read_ = 0;
            return std::nullopt;
        }
        auto line = std::string_view(buffer_).substr(at, end - at);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        at = end + 1;
        if (!line.empty()) {
            add_line(line, event);
            continue;
        }
        read_ = at;
        if (!event.data.empty())
            return event;
        event = {"message", {}};
    }
}

} // namespace arbutusgate
