/// Aliases of Beast's HTTP types.
#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace arbutusgate {

namespace http      = boost::beast::http;
using http_request  = http::request<http::string_body>;
using http_response = http::response<http::string_body>;

} // namespace arbutusgate
