/// Parses and validates a caller's HTTP request.
#pragma once

#include "deployment_catalog.hpp"
#include "http_types.hpp"
#include "request_executor.hpp"

#include <optional>

namespace arbutusgate {

/// Fills `request` from the HTTP request's head and body.
/// \return the reason for refusing the request, or nothing when it is valid.
std::optional<problem> read_caller_request(const http_request&     from,
                                           const deployment_index& index,
                                           caller_request&         request);

} // namespace arbutusgate
