/// Request targets of outgoing HTTP requests.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace arbutusgate {

/// One parameter of a query. The value may hold any bytes.
struct query_parameter
{
    std::string_view name;
    std::string_view value;
};

/// Encodes a request target in origin form (RFC 9112, 3.2.1) with a query of
/// the type application/x-www-form-urlencoded. A reader that takes "+" for a
/// blank and one that does not decode the same values.
/// \param path absolute path, encoded.
std::string request_target(std::string_view                       path,
                           std::initializer_list<query_parameter> parameters);

/// Encodes any bytes as part of a path, in which slashes stay.
std::string encode_path(std::string_view text);

} // namespace arbutusgate
