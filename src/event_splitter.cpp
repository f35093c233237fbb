#include "event_splitter.hpp"

#include <algorithm>

namespace arbutusgate::gateway {

namespace {

constexpr std::string_view id_field = "id:";

/// \return the end of the first event of the text; npos if it is incomplete.
/// \param from the text before this position holds no end.
std::size_t event_end(std::string_view text, std::size_t from)
{
    for (auto at = text.find('\n', from); at != std::string_view::npos;
         at      = text.find('\n', at + 1))
    {
        const auto next = text.substr(at + 1);
        if (next.starts_with('\n'))
            return at + 2;
        if (next.starts_with("\r\n"))
            return at + 3;
    }
    return std::string_view::npos;
}

/// A single CR ends a line, too, so that no id holds one.
std::optional<std::string> event_id(std::string_view event)
{
    std::optional<std::string> out;
    while (!event.empty()) {
        const auto end  = event.find_first_of("\r\n");
        auto       line = event.substr(0, end);
        if (line.starts_with(id_field)) {
            line.remove_prefix(id_field.size());
            if (line.starts_with(' '))
                line.remove_prefix(1);
            out = std::string(line);
        }
        event.remove_prefix(end == std::string_view::npos ? event.size()
                                                          : end + 1);
    }
    return out;
}

} // namespace

void event_splitter::add(std::string_view text)
{
    if (consumed_ == buffer_.size()) {
        buffer_.clear();
        consumed_ = 0;
        searched_ = 0;
    }
    buffer_ += text;
}

std::optional<raw_event> event_splitter::next()
{
    const auto remaining = rest();
    const auto end       = event_end(remaining, searched_);
    if (end == std::string_view::npos) {
        // The last two bytes may begin the end of the event.
        constexpr std::size_t end_begin = 2;
        searched_ = std::max(remaining.size(), end_begin) - end_begin;
        return std::nullopt;
    }
    searched_ = 0;
    raw_event out{std::string(remaining.substr(0, end)), {}};
    out.id = event_id(out.text);
    consumed_ += end;
    return out;
}

} // namespace arbutusgate::gateway
