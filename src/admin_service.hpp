/// Admin port: metrics, health, drain, status, explanations.
#pragma once

#include "http_server.hpp"

#include <string>
#include <string_view>

namespace arbutusgate {

/// What the admin port shows of the daemon. Thread-safe.
class admin_backend
{
public:
    virtual ~admin_backend() = default;

    /// \return why new requests should go elsewhere; empty: ready.
    virtual std::string not_ready_reason() const = 0;
    virtual void        drain()                  = 0;
    virtual std::string metrics_text() const     = 0;
    virtual std::string status_json() const      = 0;
    /// \return empty when the request is not known (any more).
    virtual std::string explain_json(std::string_view request_id) const = 0;
};

/// Handler of the admin server.
class admin_service
{
public:
    /// \param backend outlives the service.
    explicit admin_service(admin_backend& backend) : backend_(backend) {}

    void          handle(http_exchange& exchange);
    http_response on_error(http_error error);

private:
    http_response answer(const http_request& request);
    http_response answer_get(std::string_view target);

    admin_backend& backend_;
};

} // namespace arbutusgate
