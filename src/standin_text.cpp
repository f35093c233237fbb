#include "standin_text.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <random>

namespace arbutusgate {

namespace {

constexpr std::array<std::string_view, 16> words = {
    "beam", "post",  "roof", "span",  "coat", "chest", "back",  "neck",
    "oak",  "sheet", "size", "girth", "load", "rail",  "width", "delivery"};
constexpr std::string_view end_mark  = " end-of-";
constexpr std::string_view tag_start = "[request ";

std::uint64_t hash(std::string_view text, std::uint64_t seed = 0)
{
    return XXH64(text.data(), text.size(), seed);
}

std::string hex(std::uint64_t value)
{
    std::array<char, 16> digits;
    digits.fill('0');
    std::array<char, 16> buf;
    const auto           end =
        std::to_chars(buf.data(), buf.data() + buf.size(), value, 16).ptr;
    std::copy_backward(buf.data(), end, digits.end());
    return {digits.data(), digits.size()};
}

} // namespace

std::uint32_t engine_tokens(std::string_view prompt, std::uint32_t max_tokens)
{
    const auto spread = max_tokens / 4;
    return std::max<std::uint32_t>(
        1, max_tokens -
               static_cast<std::uint32_t>(hash(prompt, 1) % (spread + 1)));
}

std::vector<std::string> engine_text_tokens(std::string_view prompt,
                                            std::uint32_t    tokens)
{
    std::mt19937_64          random(hash(prompt));
    std::vector<std::string> all;
    all.reserve(tokens);
    for (std::uint32_t n = 0; n + 1 < tokens; ++n) {
        const auto value = random();
        all.push_back(" " + std::string(words[value % words.size()]) +
                      std::to_string(value / words.size() % 1000));
    }
    all.push_back(std::string(end_mark) + std::to_string(tokens));
    return all;
}

std::string engine_text(std::string_view prompt, std::uint32_t tokens)
{
    std::string text;
    for (const auto& it : engine_text_tokens(prompt, tokens))
        text += it;
    return text;
}

bool is_engine_text(std::string_view prompt, std::string_view text)
{
    const auto mark = text.rfind(end_mark);
    if (mark == std::string_view::npos)
        return false;
    const auto    digits = text.substr(mark + end_mark.size());
    std::uint32_t tokens = 0;
    const auto [end, ec] =
        std::from_chars(digits.data(), digits.data() + digits.size(), tokens);
    // A text of n tokens has at least n bytes: this limits the text generated
    // for the comparison.
    return ec == std::errc{} && end == digits.data() + digits.size() &&
           tokens > 0 && tokens <= text.size() &&
           engine_text(prompt, tokens) == text;
}

std::string service_output(std::string_view stage, std::string_view input)
{
    std::string text(input);
    text += '\n';
    text += stage;
    text += ':';
    text += hex(hash(input, hash(stage)));
    return text;
}

std::string_view request_tag(std::string_view input)
{
    const auto start = input.find(tag_start);
    if (start == std::string_view::npos)
        return {};
    const auto text = input.substr(start + tag_start.size());
    const auto end  = text.find(']');
    return end == std::string_view::npos ? std::string_view{}
                                         : text.substr(0, end);
}

} // namespace arbutusgate
