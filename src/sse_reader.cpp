#include "sse_reader.hpp"

namespace arbutusgate {

namespace {

std::string_view field_value(std::string_view line, std::string_view field)
{
    auto value = line.substr(field.size());
    if (value.starts_with(' '))
        value.remove_prefix(1);
    return value;
}

void add_field(std::string_view line, sse_event& event)
{
    if (line.starts_with("event:"))
        event.name = field_value(line, "event:");
    else if (line.starts_with("data:")) {
        if (!event.data.empty())
            event.data += '\n';
        event.data += field_value(line, "data:");
    }
}

} // namespace

std::optional<sse_event> sse_reader::next()
{
    sse_event event{"message", {}};
    auto      line_start = consumed_;
    for (;;) {
        const auto end = buffer_.find('\n', line_start);
        if (end == std::string::npos) {
            buffer_.erase(0, consumed_);
            consumed_ = 0;
            return std::nullopt;
        }
        auto line =
            std::string_view(buffer_).substr(line_start, end - line_start);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        line_start = end + 1;
        if (!line.empty()) {
            add_field(line, event);
            continue;
        }
        consumed_ = line_start;
        if (!event.data.empty())
            return event;
        event = {"message", {}};
    }
}

} // namespace arbutusgate
