#include "command_sender.hpp"

#include "command_codec.hpp"
#include "http_client.hpp"
#include "io_thread.hpp"
#include "log.hpp"

#include <boost/fiber/future/promise.hpp>

#include <algorithm>

namespace arbutusgate {

namespace {

constexpr auto connect_timeout = milliseconds{500};
constexpr auto read_timeout    = milliseconds{1000};
constexpr auto command_timeout = milliseconds{3000};
// With 32 reads in parallel, a round over 600 engines that all fail to connect
// takes 10 s.
constexpr std::size_t max_parallel_reads    = 32;
constexpr std::size_t max_parallel_commands = 8;

/// Runs the task for each number below n on up to `width` fibers of this thread
/// and waits until all are done.
template <class Task>
void run_parallel(std::size_t n, std::size_t width, Task task)
{
    if (n == 0)
        return;
    // Not atomic: all fibers run on this thread.
    std::size_t                  next = 0;
    std::size_t                  left = std::min(n, width);
    boost::fibers::promise<void> promise;
    auto                         ended = promise.get_future();
    for (auto fibers = left; fibers > 0; --fibers)
        spawn_fiber([&] {
            while (next < n)
                task(next++);
            if (--left == 0)
                promise.set_value();
        });
    ended.get();
}

/// HTTP client that is registered in the set during its lifetime, so that
/// stop() can cancel it.
class active_client
{
public:
    active_client(boost::asio::io_context& io, std::set<http_client*>& all)
        : client_(io), all_(all)
    {
        all_.insert(&client_);
    }
    ~active_client() { all_.erase(&client_); }

    active_client(const active_client&)            = delete;
    active_client& operator=(const active_client&) = delete;

    http_client* operator->() { return &client_; }

private:
    http_client             client_;
    std::set<http_client*>& all_;
};

std::string_view to_string(command_result it)
{
    switch (it) {
    case command_result::not_sent:
        return "not_sent";
    case command_result::accepted:
        return "accepted";
    case command_result::refused:
        return "refused";
    case command_result::unknown:
        break;
    }
    return "unknown";
}

} // namespace

void command_sender::poll(boost::asio::io_context& io)
{
    if (stopped_)
        return;
    const auto config = init_.config();
    const auto reads = planner_.begin_reads(*config, init_.view(), init_.now());
    run_parallel(reads.size(), max_parallel_reads, [&](std::size_t n) {
        read_engine(io, reads[n], config->targets[reads[n].target.idx].name);
    });
    if (!reads.empty()) {
        // There are no commands if another version came into force meanwhile.
        const auto commands =
            planner_.take_commands(*init_.config(), init_.view(), init_.now());
        run_parallel(commands.size(), max_parallel_commands,
                     [&](std::size_t n) { execute_command(io, commands[n]); });
    }
    // Also removes the pools that this daemon no longer controls.
    auto            report = planner_.report(*config);
    std::lock_guard lock(mutex_);
    report_ = std::move(report);
}

void command_sender::stop()
{
    stopped_ = true;
    for (auto* it : active_clients_)
        it->cancel();
}

void command_sender::read_engine(boost::asio::io_context& io,
                                 const engine_read&       it,
                                 const std::string&       target)
{
    if (stopped_)
        return;
    active_client client(io, active_clients_);
    http_request  request(http::verb::get, "/v1/orders", 11);
    request.set(http::field::host, it.address);
    request.keep_alive(false);
    std::optional<engine_state> state;
    if (!client->connect(it.address, connect_timeout) &&
        !client->send(request, read_timeout) &&
        client->head().result() == http::status::ok)
    {
        boost::system::error_code ec;
        const auto                body = client->read_all(read_timeout, ec);
        if (!ec)
            state = decode_engine_state(body);
    }
    if (stopped_)
        return;
    update_readability(target, state.has_value());
    const bool reverted = state && planner_.on_state(it, *state, init_.now());
    update_stats([&](command_stats& all) {
        ++all.reads;
        all.reads_failed += !state;
        all.reverted += reverted;
    });
    if (reverted)
        log(log_level::warning, "engine is no longer in its commanded state",
            {{"reason", "command_reverted"},
             {"target", target},
             {"fence", state->fence},
             {"model", state->desired.model},
             {"model_version", state->desired.version}});
}

void command_sender::update_readability(const std::string& target,
                                        bool               readable)
{
    if (!readable && unreadable_targets_.insert(target).second)
        log(log_level::warning, "cannot read engine state",
            {{"target", target}});
    else if (readable && unreadable_targets_.erase(target) > 0)
        log(log_level::info, "engine state can be read again",
            {{"target", target}});
}

void command_sender::execute_command(boost::asio::io_context& io,
                                     const engine_command&    it)
{
    const auto result = send(io, it);
    planner_.on_result(it, result, init_.now());
    log_result(it, result);
}

// Opens a new connection, so that the command does not wait in the buffers of
// an old one, and checks the conditions once more after connecting, directly
// before the send.
command_result command_sender::send(boost::asio::io_context& io,
                                    const engine_command&    it)
{
    if (stopped_)
        return command_result::not_sent;
    active_client client(io, active_clients_);
    http_request  request(http::verb::post, "/v1/orders", 11);
    request.set(http::field::host, it.address);
    request.set(http::field::content_type, "application/json");
    request.keep_alive(false);
    request.body() = encode_command(it);
    request.prepare_payload();
    if (client->connect(it.address, connect_timeout)) {
        update_stats([](command_stats& all) { ++all.failed; });
        return command_result::not_sent;
    }
    const auto config = init_.config();
    if (stopped_ || !planner_.may_send(it, *config, init_.view())) {
        update_stats([](command_stats& all) { ++all.withheld; });
        return command_result::not_sent;
    }
    const auto ec     = client->send(request, command_timeout);
    auto       result = command_result::unknown;
    if (!ec && client->head().result() == http::status::ok)
        result = command_result::accepted;
    else if (!ec && client->head().result() == http::status::conflict)
        result = command_result::refused;
    update_stats([&](command_stats& all) {
        ++all.sent;
        all.refused += result == command_result::refused;
        all.failed += result == command_result::unknown;
    });
    return result;
}

void command_sender::log_result(const engine_command& it, command_result result)
{
    const bool expected_result =
        result == command_result::accepted || result == command_result::refused;
    log(expected_result ? log_level::info : log_level::warning,
        "engine command finished",
        {{"target", it.target},
         {"pool", it.pool},
         {"fence", it.fence},
         {"model", it.desired.model},
         {"model_version", it.desired.version},
         {"result", to_string(result)}});
}

command_stats command_sender::stats() const
{
    std::lock_guard lock(mutex_);
    return stats_;
}

std::vector<engine_report> command_sender::report() const
{
    std::lock_guard lock(mutex_);
    return report_;
}

} // namespace arbutusgate
