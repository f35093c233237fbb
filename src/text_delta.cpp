#include "text_delta.hpp"

#include <algorithm>

namespace arbutusgate {

text_delta make_delta(std::string_view from, std::string_view to)
{
    text_delta out;
    const auto limit = std::min(from.size(), to.size());
    while (out.keep_head < limit && from[out.keep_head] == to[out.keep_head])
        ++out.keep_head;
    while (out.keep_tail < limit - out.keep_head &&
           from[from.size() - 1 - out.keep_tail] ==
               to[to.size() - 1 - out.keep_tail])
        ++out.keep_tail;
    out.text =
        to.substr(out.keep_head, to.size() - out.keep_head - out.keep_tail);
    return out;
}

std::optional<std::string> apply_delta(std::string_view  from,
                                       const text_delta& delta)
{
    if (delta.keep_head > from.size() ||
        delta.keep_tail > from.size() - delta.keep_head)
        return std::nullopt;
    std::string out(from.substr(0, delta.keep_head));
    out += delta.text;
    out += from.substr(from.size() - delta.keep_tail);
    return out;
}

} // namespace arbutusgate
