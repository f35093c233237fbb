/// Values of HTTP header fields.
#pragma once

#include <string_view>

namespace arbutusgate {

/// Whether the text can be the value of a header field (RFC 9110, 5.5): not
/// empty, without control characters other than tabs, and without a blank or
/// tab at either end. The HTTP library writes any other text as it is, so that
/// one with line breaks would become further fields.
bool is_field_value(std::string_view text);

/// Whether the text can be an item of a field's value that lists items between
/// commas, without quotes.
bool is_list_item(std::string_view text);

/// Whether all of the text is printable ASCII without blanks, as in an address.
bool is_visible_ascii(std::string_view text);

} // namespace arbutusgate
