#include "stream_reader.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/value_to.hpp>

namespace arbutusgate {

namespace json = boost::json;

namespace {

bool starts_code_point(char c)
{
    return (static_cast<unsigned char>(c) & 0xc0U) != 0x80U;
}

const json::string* chunk_text(const json::object& chunk)
{
    const auto* choices = chunk.if_contains("choices");
    const auto* list    = choices ? choices->if_array() : nullptr;
    if (!list || list->empty() || !list->front().is_object())
        return nullptr;
    const auto* text = list->front().get_object().if_contains("text");
    return text ? text->if_string() : nullptr;
}

bool has_number(const json::object& chunk, std::string_view name,
                std::uint64_t expected)
{
    boost::system::error_code ec;
    const auto*               it = chunk.if_contains(name);
    return it && it->is_number() &&
           it->to_number<std::uint64_t>(ec) == expected && !ec;
}

bool has_text(const json::object& chunk, std::string_view name,
              std::string_view expected)
{
    const auto* it = chunk.if_contains(name);
    return it && it->is_string() && it->get_string() == expected;
}

} // namespace

std::uint64_t count_code_points(std::string_view text)
{
    std::uint64_t n = 0;
    for (const char c : text)
        n += starts_code_point(c) ? 1 : 0;
    return n;
}

std::size_t code_point_prefix_bytes(std::string_view text, std::uint64_t n)
{
    std::size_t at = 0;
    for (; at < text.size(); ++at) {
        if (starts_code_point(text[at]) && n-- == 0)
            break;
    }
    return at;
}

stream_reader::stream_reader(std::string request_id, std::uint32_t attempt,
                             std::uint64_t offset)
    : request_id_(std::move(request_id)), attempt_(attempt), offset_(offset)
{
}

stream_step stream_reader::on_data(std::string_view data, std::string& text)
{
    if (data == "[DONE]")
        return stream_step::done;
    boost::system::error_code ec;
    const auto                parsed = json::parse(data, ec);
    if (ec || !parsed.is_object())
        return stream_step::malformed;
    const auto& chunk = parsed.get_object();
    if (!has_text(chunk, "request_id", request_id_) ||
        !has_number(chunk, "attempt", attempt_))
        return stream_step::wrong;
    const auto* part  = chunk_text(chunk);
    const auto* start = chunk.if_contains("offset");
    if (!part || !start || !start->is_number())
        return stream_step::malformed;
    const auto chunk_offset = start->to_number<std::uint64_t>(ec);
    if (ec)
        return stream_step::malformed;
    if (chunk_offset > offset_)
        return stream_step::gap;
    const std::string_view all(part->data(), part->size());
    const auto             new_text =
        all.substr(code_point_prefix_bytes(all, offset_ - chunk_offset));
    text.append(new_text);
    offset_ += count_code_points(new_text);
    tokens_ += new_text.empty() ? 0 : 1;
    return stream_step::text;
}

} // namespace arbutusgate
