/// What daemons tell each other of parts of prompts whose requests crash
/// targets.
#pragma once

#include "gateway_types.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace arbutusgate::gateway {

/// Hashes of the parts of a request's prompt.
struct prompt_key
{
    std::vector<std::uint64_t> shared;  ///< All parts but the last, in order.
    std::uint64_t              own = 0; ///< The last part: the request's own.
};

prompt_key make_prompt_key(const std::vector<prompt_part>& prompt);
/// \return ids of the parts that other requests may share, for the log: the
/// last few, separated by commas.
std::string shared_part_ids(const std::vector<prompt_part>& prompt);
/// \return the prompt with few of its shared parts, which differ from request
/// to request: a bound on what one request leaves behind.
prompt_key sample_parts(const prompt_key& prompt);

/// Identifies the software of a target: its service and version.
std::uint64_t software_key(const target& of);
/// Identifies one lifetime of a target.
std::uint64_t target_lifetime(const target& of);

/// How much of an answer arrived.
enum class answer_progress : std::uint8_t
{
    none,    ///< No event, or no byte of a body.
    begun,   ///< A part of it.
    lasting, ///< Events over a long time.
    whole,
};

/// \param ran from the first to the last event of an answer.
/// \return progress of an answer that was broken off.
answer_progress broken_progress(milliseconds ran);
/// \return progress that an answer without harm shows.
answer_progress unharmed_progress(milliseconds ran);

/// A target ended while it ran a request with the part.
struct part_crash
{
    std::uint64_t lifetime = 0;
    std::uint64_t request  = 0; ///< prompt_key::own.
    std::uint64_t scope    = 0;
    time_point    at{};
    /// Parts that some request of this crash had besides this one, by number.
    std::vector<std::uint64_t> companions{};
    /// Of the call with the part that had got furthest.
    answer_progress progress = answer_progress::none;
};

/// A target answered a request with the part.
struct part_answer
{
    std::uint64_t   scope = 0;
    time_point      at{}; ///< The latest one of this progress.
    answer_progress progress = answer_progress::begun;
};

struct part_report
{
    std::uint64_t            part = 0;
    std::vector<part_crash>  crashes; ///< One of each lifetime, by time.
    std::vector<part_answer> answers; ///< One of each scope and progress.
    std::uint32_t            trials = 0;
    time_point               last_trial_at{};
};

/// A target of which calls broke off went on sending on other connections.
struct lifetime_report
{
    std::uint64_t lifetime = 0;
    time_point    alive_at{};
};

} // namespace arbutusgate::gateway
