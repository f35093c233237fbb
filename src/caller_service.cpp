#include "caller_service.hpp"

#include "caller_request_reader.hpp"
#include "caller_response_writer.hpp"
#include "connection_pool.hpp"
#include "daemon_clock.hpp"
#include "io_thread.hpp"
#include "log.hpp"

#include <sys/random.h>

#include <array>
#include <cerrno>
#include <cstdlib>
#include <exception>

namespace arbutusgate {

namespace {

constexpr auto unavailable_retry_after = seconds{1};

refusal_reason reason_of(http_error error)
{
    switch (error) {
    case http_error::header_too_large:
    case http_error::trailer_too_large:
    case http_error::chunk_extension_too_large:
        return refusal_reason::header_too_large;
    case http_error::no_memory:
        return refusal_reason::overloaded;
    case http_error::body_too_large:
        return refusal_reason::too_large;
    case http_error::too_slow:
        return refusal_reason::too_slow;
    case http_error::handler_failed:
        return refusal_reason::internal;
    case http_error::malformed:
    case http_error::count:
        break;
    }
    return refusal_reason::bad_request;
}

void fill_random(unsigned char* to, std::size_t size)
{
    while (size > 0) {
        const auto n = getrandom(to, size, 0);
        if (n < 0 && errno != EINTR)
            std::abort(); // the kernel provides no random bytes
        if (n > 0) {
            to += n;
            size -= static_cast<std::size_t>(n);
        }
    }
}

} // namespace

std::string make_request_id()
{
    // Earlier ids do not allow the output of the kernel's generator to be
    // predicted. One call of getrandom() serves 64 ids: a single word read from
    // std::random_device took 0.8 us.
    constexpr std::string_view digits  = "0123456789abcdef";
    constexpr std::size_t      id_size = 16; // bytes
    thread_local std::array<unsigned char, 64 * id_size> bytes;
    thread_local std::size_t consumed = bytes.size();
    if (consumed == bytes.size()) {
        fill_random(bytes.data(), bytes.size());
        consumed = 0;
    }
    std::string id;
    id.reserve(2 * id_size);
    for (const auto end = consumed + id_size; consumed < end; ++consumed) {
        id += digits[bytes[consumed] >> 4U];
        id += digits[bytes[consumed] & 15U];
    }
    return id;
}

caller_service::caller_service(caller_service_init init)
    : init_(std::move(init))
{
    for (auto* it : init_.threads)
        pools_.emplace(it, std::make_unique<connection_pool>(it->io()));
}

caller_service::~caller_service() = default;

void caller_service::handle(http_exchange& exchange)
{
    const auto             request_id = make_request_id();
    caller_response_writer writer(exchange, *init_.services.counts, request_id);
    const request_gate::pass pass(*init_.gate);
    if (!pass)
        return refuse(
            writer, refusal(refusal_reason::draining, unavailable_retry_after));
    if (!init_.ready())
        return refuse(writer, refusal(refusal_reason::not_ready,
                                      unavailable_retry_after));
    try {
        serve(exchange, writer, request_id);
    }
    catch (const std::exception& it) {
        log(log_level::error, "request failed with an internal error",
            {{"request_id", request_id}, {"what", it.what()}});
        // The server answers if no response has begun.
        throw;
    }
}

void caller_service::serve(http_exchange&          exchange,
                           caller_response_writer& writer,
                           const std::string&      request_id)
{
    auto admitted = admit(exchange, writer, request_id);
    if (const auto* it = std::get_if<problem>(&admitted))
        return refuse(writer, *it);
    auto& executor = *std::get<std::unique_ptr<request_executor>>(admitted);
    exchange.on_client_gone([&executor] { executor.client_gone(); });
    if (exchange.client_gone())
        executor.client_gone();
    const auto outcome = executor.execute();
    exchange.on_client_gone({});
    writer.finish(outcome);
}

caller_service::admission caller_service::admit(http_exchange& exchange,
                                                caller_response_writer& writer,
                                                const std::string& request_id)
{
    caller_request request;
    request.request_id = request_id;
    request.arrival    = daemon_now();
    request.info.run   = next_run_++;
    const auto index   = init_.catalog->open();
    if (auto refused = read_caller_request(exchange.request(),
                                           *index.operator->(), request))
        return *refused;
    auto&      thread  = exchange.thread();
    const auto arrival = request.arrival;
    auto       name = index->config->pipelines[request.info.pipeline.idx].name;
    auto       executor = std::make_unique<request_executor>(
        init_.services, std::move(request), thread.io(), *pools_.at(&thread),
        writer);
    writer.start(std::move(name), arrival,
                 [it = executor.get()] { it->client_gone(); });
    return executor;
}

void caller_service::refuse(caller_response_writer& writer, const problem& it)
{
    init_.services.counts->reasons().add(it.reason);
    writer.refuse(it);
}

http_response caller_service::on_error(http_error error)
{
    const auto reason = reason_of(error);
    init_.services.counts->reasons().add(reason);
    auto out   = refusal(reason);
    out.detail = limit_of(error);
    if (error == http_error::handler_failed)
        out.result = execution::unknown;
    if (error == http_error::no_memory)
        out.retry_after = unavailable_retry_after;
    return problem_response(out, make_request_id());
}

} // namespace arbutusgate
