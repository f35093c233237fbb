/// Response to a caller: one JSON document or server-sent events.
#pragma once

#include "metrics.hpp"
#include "request_executor.hpp"

#include <functional>
#include <string>
#include <string_view>

namespace arbutusgate {

class http_exchange;

/// Belongs to the fiber of the request.
class caller_answer final : public text_sink
{
public:
    caller_answer(http_exchange& exchange, metrics& counts,
                  std::string request_id);

    /// True when the caller accepts server-sent events.
    bool streamed() const { return streamed_; }
    /// \param gone runs when the caller no longer takes text.
    void start(std::string pipeline, time_point arrival,
               std::function<void()> gone);
    void on_text(std::uint64_t offset, std::string_view text) override;
    void refuse(const problem& it);
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
    std::function<void()> gone_;
    bool                  streamed_ = false;
    bool                  begun_    = false;
};

} // namespace arbutusgate
