/// Reads a caller's HTTP request.
#pragma once

#include "deployment_catalog.hpp"
#include "http_types.hpp"
#include "request_executor.hpp"

#include <optional>

namespace arbutusgate {

/// Fills the request from its head and body.
/// \return why the request is refused, or nothing.
std::optional<problem> read_caller_request(const http_request&     from,
                                           const deployment_index& names,
                                           caller_request&         request);

} // namespace arbutusgate
