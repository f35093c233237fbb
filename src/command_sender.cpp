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
// A round over 600 engines of which none can be connected to then takes 10 s.
constexpr std::size_t reads_at_once    = 32;
constexpr std::size_t commands_at_once = 8;

/// Runs the task for each number below n on up to `width` fibers and waits.
template <class Task>
void run_parallel(std::size_t n, std::size_t width, Task task)
{
    if (n == 0)
        return;
    // All fibers run on this thread.
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

/// Keeps the client in the set while it lives.
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
    run_parallel(reads.size(), reads_at_once, [&](std::size_t n) {
        read(io, reads[n], config->targets[reads[n].target.idx].name);
    });
    if (!reads.empty()) {
        // A version that came into force meanwhile ends the round.
        const auto commands =
            planner_.take_commands(*init_.config(), init_.view(), init_.now());
        run_parallel(commands.size(), commands_at_once,
                     [&](std::size_t n) { execute(io, commands[n]); });
    }
    // Pools that this daemon no longer controls leave the report.
    auto            report = planner_.report(*config);
    std::lock_guard lock(mutex_);
    report_ = std::move(report);
}

void command_sender::stop()
{
    stopped_ = true;
    for (auto* it : active_)
        it->cancel();
}

void command_sender::read(boost::asio::io_context& io, const engine_read& it,
                          const std::string& target)
{
    if (stopped_)
        return;
    active_client client(io, active_);
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
            state = read_order_state(body);
    }
    if (stopped_)
        return;
    note_readable(target, state.has_value());
    const bool reverted = state && planner_.on_state(it, *state, init_.now());
    count([&](command_stats& all) {
        ++all.reads;
        all.reads_failed += !state;
        all.reverted += reverted;
    });
    if (reverted)
        log(log_level::warning, "engine left its commanded state",
            {{"reason", "command_reverted"},
             {"target", target},
             {"fence", state->fence},
             {"model", state->wanted.model},
             {"model_version", state->wanted.version}});
}

void command_sender::note_readable(const std::string& target, bool readable)
{
    if (!readable && unreadable_.insert(target).second)
        log(log_level::warning, "cannot read the state of an engine",
            {{"target", target}});
    else if (readable && unreadable_.erase(target) > 0)
        log(log_level::info, "the state of an engine can be read again",
            {{"target", target}});
}

void command_sender::execute(boost::asio::io_context& io,
                             const engine_command&    it)
{
    const auto result = send(io, it);
    planner_.on_result(it, result, init_.now());
    log_result(it, result);
}

// A fresh connection, so that nothing waits in buffers of an old one, and the
// conditions are checked when only the send is left.
command_result command_sender::send(boost::asio::io_context& io,
                                    const engine_command&    it)
{
    if (stopped_)
        return command_result::not_sent;
    active_client client(io, active_);
    http_request  request(http::verb::post, "/v1/orders", 11);
    request.set(http::field::host, it.address);
    request.set(http::field::content_type, "application/json");
    request.keep_alive(false);
    request.body() = write_order(it);
    request.prepare_payload();
    if (client->connect(it.address, connect_timeout)) {
        count([](command_stats& all) { ++all.failed; });
        return command_result::not_sent;
    }
    const auto config = init_.config();
    if (stopped_ || !planner_.may_send(it, *config, init_.view())) {
        count([](command_stats& all) { ++all.withheld; });
        return command_result::not_sent;
    }
    const auto ec     = client->send(request, command_timeout);
    auto       result = command_result::unknown;
    if (!ec && client->head().result() == http::status::ok)
        result = command_result::accepted;
    else if (!ec && client->head().result() == http::status::conflict)
        result = command_result::refused;
    count([&](command_stats& all) {
        ++all.sent;
        all.refused += result == command_result::refused;
        all.failed += result == command_result::unknown;
    });
    return result;
}

void command_sender::log_result(const engine_command& it, command_result result)
{
    const bool usual =
        result == command_result::accepted || result == command_result::refused;
    log(usual ? log_level::info : log_level::warning, "command to an engine",
        {{"target", it.target},
         {"pool", it.pool},
         {"fence", it.fence},
         {"model", it.wanted.model},
         {"model_version", it.wanted.version},
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
