/// Writes the response to a caller: one JSON document or server-sent events.
#pragma once

#include "metrics.hpp"
#include "request_executor.hpp"

#include <functional>
#include <string>
#include <string_view>

namespace arbutusgate {

class http_exchange;

/// Used only by the fiber of its request.
class caller_response_writer final : public text_sink
{
public:
    caller_response_writer(http_exchange& exchange, metrics& counts,
                           std::string request_id);

    /// True when the caller accepts server-sent events.
    bool accepts_events() const { return accepts_events_; }
    /// Must be called before the first text.
    /// \param on_client_gone runs when text can no longer be written to the
    /// caller.
    void start(std::string pipeline, time_point arrival,
               std::function<void()> on_client_gone);
    void on_text(std::uint64_t offset, std::string_view text) override;
    /// Responds with a problem document.
    void refuse(const problem& it);
    /// Sends the outcome of the request, as the last event of a stream or as
    /// one document.
    void finish(const request_outcome& outcome);

private:
    void begin_stream();
    void finish_stream(const request_outcome& outcome);
    void respond(const request_outcome& outcome);
    void write_text(std::uint64_t offset, std::string_view text);

    http_exchange&        exchange_;
    metrics&              counts_;
    std::string           request_id_;
    std::string           pipeline_;
    time_point            arrival_;
    std::function<void()> on_client_gone_;
    bool                  accepts_events_ = false;
    bool                  stream_begun_   = false;
};

} // namespace arbutusgate
