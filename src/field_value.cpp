#include "field_value.hpp"

#include "absl/strings/ascii.h"

#include <algorithm>

namespace arbutusgate {

namespace {

bool is_blank(char it)
{
    return it == ' ' || it == '\t';
}

} // namespace

bool is_field_value(std::string_view text)
{
    return !text.empty() && !is_blank(text.front()) && !is_blank(text.back()) &&
           std::none_of(text.begin(), text.end(), [](unsigned char it) {
               return it != '\t' && absl::ascii_iscntrl(it);
           });
}

bool is_list_item(std::string_view text)
{
    return is_field_value(text) && text.find(',') == text.npos;
}

bool is_visible_ascii(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](unsigned char it) {
        return absl::ascii_isgraph(it);
    });
}

} // namespace arbutusgate
