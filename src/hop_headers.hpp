/// Hop-by-hop headers: those that apply to one connection (RFC 9110, 7.6.1).
#pragma once

#include "http_types.hpp"

namespace arbutusgate {

/// True for headers that are never forwarded, whether or not the Connection
/// header lists them.
bool is_never_forwarded(http::field name);

/// True when the message's Connection header lists the name.
bool connection_lists(const http::fields& it, std::string_view name);

/// Copies all headers except the hop-by-hop ones and Content-Length.
void copy_end_to_end_headers(const http::fields& from, http::fields& to);

} // namespace arbutusgate
