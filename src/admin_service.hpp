/// HTTP service of the admin port: metrics, health, drain, status and request
/// explanations.
#pragma once

#include "http_server.hpp"

#include <string>
#include <string_view>

namespace arbutusgate {

/// Interface of the daemon to the admin port. Thread-safe.
class admin_backend
{
public:
    virtual ~admin_backend() = default;

    /// \return why the daemon does not take new requests; empty when ready.
    virtual std::string not_ready_reason() const = 0;
    virtual void        drain()                  = 0;
    virtual std::string metrics_text() const     = 0;
    virtual std::string status_json() const      = 0;
    /// \return empty when the request is unknown or no longer recorded.
    virtual std::string explain_json(std::string_view request_id) const = 0;
};

/// Handles the requests of the admin server.
class admin_service
{
public:
    /// \param backend must outlive the service.
    explicit admin_service(admin_backend& backend) : backend_(backend) {}

    void          handle(http_exchange& exchange);
    http_response on_error(http_error error);

private:
    http_response make_reply(const http_request& request);
    http_response reply_to_get(std::string_view target);

    admin_backend& backend_;
};

} // namespace arbutusgate
