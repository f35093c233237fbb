/// Simulated model engine with continuous batching.
#pragma once

#include "deadly_call_check.hpp"
#include "standin_cache.hpp"
#include "standin_replica.hpp"

#include <deque>
#include <string>
#include <unordered_map>

namespace arbutusgate {

/// Parameters of an engine in addition to those of a replica.
struct engine_init
{
    /// Relative increase of the token time for each further sequence.
    double batch_slope = 0.05;
    /// Median prefill time added when nothing of the prompt is cached.
    double prefill_ms = 150;
    double cached_ms  = 10; ///< Median prefill time of a fully cached prompt.
    std::size_t  cache_blocks = 512;
    milliseconds event_delay{500};
    double       event_loss     = 0.05;
    bool         checks_fencing = true;
    /// Time to change the model, version or adapters.
    milliseconds load_time{500};
    /// An engine that crashed serves nothing for this time.
    milliseconds crash_time{3000};
};

/// Serves OpenAI-compatible completions (SSE or JSON), export and import of KV
/// caches, cache events and orders.
class standin_engine final : public standin_replica
{
public:
    /// \param deadly_calls outlives the engine.
    standin_engine(replica_init init, const engine_init& engine,
                   execution_log& executions, deadly_call_check& deadly_calls);

protected:
    bool handle(http_exchange& exchange, const request_path& path) override;

private:
    struct completion;
    /// Exported and imported progress of one request.
    struct kv_entry
    {
        std::string   prompt;
        std::uint64_t offset = 0; ///< Bytes of text generated.
    };
    /// State set by the last accepted order.
    struct engine_state
    {
        std::int64_t        fence = 0;
        boost::json::object desired;
    };

    void        handle_completion(http_exchange& exchange);
    void        run(http_exchange& exchange, completion& it);
    bool        prefill(http_exchange& exchange, const completion& it);
    bool        generate(http_exchange& exchange, completion& it);
    bool        send_chunk(http_exchange& exchange, const completion& it,
                           std::uint64_t offset, std::string_view text);
    static bool is_deadly(const completion& it);
    double      token_ms(const completion& it) const;
    bool        serves(const std::string& model) const;
    void save_kv(const std::string& request_id, const std::string& prompt,
                 std::uint64_t offset);
    void export_kv(http_exchange& exchange, const std::string& request_id);
    void import_kv(http_exchange& exchange);
    void apply_order(http_exchange& exchange);
    boost::json::object state_json() const;

    engine_init                               engine_;
    deadly_call_check&                        deadly_calls_;
    prefix_cache                              cache_;
    cache_event_log                           events_;
    std::unordered_map<std::string, kv_entry> kv_;
    std::deque<std::string>                   kv_order_;
    engine_state                              state_;
    std::chrono::steady_clock::time_point     ready_at_;
};

} // namespace arbutusgate
