/// Simulated encoder, retriever, reranker or plain service.
#pragma once

#include "standin_replica.hpp"

namespace arbutusgate {

/// Responds to `POST /v1/call` with the service_output of the stage and input.
class standin_service final : public standin_replica
{
public:
    using standin_replica::standin_replica;

protected:
    bool handle(http_exchange& exchange, const request_path& path) override;

private:
    void call(http_exchange& exchange);
    void run(http_exchange& exchange, const call_plan& plan,
             const boost::json::object& body);
};

} // namespace arbutusgate
