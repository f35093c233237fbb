#include "sse.hpp"

#include "arbutusgate/config.hpp"

#include <utility>

namespace arbutusgate {

std::optional<sse_event> sse_parser::next()
{
    std::string line;
    while (take_line(line)) {
        if (!line.empty()) {
            add_field(line);
            continue;
        }
        auto       event    = std::exchange(event_, {});
        const bool complete = std::exchange(has_data_, false);
        if (complete)
            return event;
    }
    return std::nullopt;
}

bool sse_parser::overflowed() const
{
    return buffer_.size() - consumed_ > limits::request_body ||
           event_.data.size() > limits::request_body;
}

bool sse_parser::take_line(std::string& line)
{
    const auto end = buffer_.find('\n', consumed_);
    if (end == std::string::npos) {
        buffer_.erase(0, consumed_);
        consumed_ = 0;
        return false;
    }
    line.assign(buffer_, consumed_, end - consumed_);
    if (!line.empty() && line.back() == '\r')
        line.pop_back();
    consumed_ = end + 1;
    return true;
}

void sse_parser::add_field(std::string_view line)
{
    const auto colon = line.find(':');
    const auto name  = line.substr(0, colon);
    auto       value = colon == std::string_view::npos ? std::string_view()
                                                       : line.substr(colon + 1);
    if (!value.empty() && value.front() == ' ')
        value.remove_prefix(1);
    if (name == "event")
        event_.name = value;
    if (name != "data")
        return;
    if (has_data_)
        event_.data += '\n';
    event_.data += value;
    has_data_ = true;
}

std::string format_sse_event(std::string_view name, std::string_view data)
{
    std::string text;
    if (!name.empty())
        text.append("event: ").append(name).append("\n");
    return text.append("data: ").append(data).append("\n\n");
}

} // namespace arbutusgate
