/// Helpers for the HTTP handlers of the stand-ins.
#pragma once

#include "http_server.hpp"

#include <boost/json/object.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace arbutusgate {

/// Path and query of a request target.
struct request_path
{
    explicit request_path(const http_request& request);

    /// Value of a query parameter; empty when absent.
    std::string query(std::string_view name) const;
    /// Number in a query parameter; `fallback` when absent or malformed.
    std::uint64_t number(std::string_view name, std::uint64_t fallback) const;
    /// The rest of the path after the prefix; empty when it does not match.
    std::string after(std::string_view prefix) const;

    std::string path; ///< Decoded, without the query.
    std::string target;
};

http_response json_response(http::status               status,
                            const boost::json::object& body);

/// Builds a problem document with a status and a reason.
http_response problem_response(http::status status, std::string_view reason);

/// Parses a request's body as a JSON object.
/// \return false when the body is not a JSON object.
bool parse_object(std::string_view body, boost::json::object& object);

/// Member of an object as a string or number. When the member is absent or of
/// another type: an empty string, or `fallback`.
std::string  text_of(const boost::json::object& object, std::string_view name);
std::int64_t number_of(const boost::json::object& object, std::string_view name,
                       std::int64_t fallback);

/// Error response to a request that could not be read.
http_response read_error_response(http_error error);

} // namespace arbutusgate
