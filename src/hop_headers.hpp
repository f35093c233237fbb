/// Headers that concern one connection only (RFC 9110, 7.6.1).
#pragma once

#include "http_types.hpp"

namespace arbutusgate {

/// True for names that end at the next hop whatever the message says.
bool is_hop_header(http::field name);

/// True when the message's Connection header lists the name.
bool connection_lists(const http::fields& it, std::string_view name);

/// Copies all headers but those of the connection and the body's length.
void copy_end_to_end_headers(const http::fields& from, http::fields& to);

} // namespace arbutusgate
