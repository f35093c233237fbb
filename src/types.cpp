#include "arbutusgate/types.hpp"

namespace arbutusgate {

std::string_view to_string(execution it)
{
    switch (it) {
    case execution::not_run:
        return "not_run";
    case execution::unknown:
        return "unknown";
    case execution::failed:
        return "failed";
    case execution::done:
        return "done";
    }
    return "unknown";
}

std::string_view to_string(refusal_reason it)
{
    switch (it) {
    case refusal_reason::none:
        return "none";
    case refusal_reason::bad_request:
        return "bad_request";
    case refusal_reason::unauthorized:
        return "unauthorized";
    case refusal_reason::no_such_pipeline:
        return "no_such_pipeline";
    case refusal_reason::too_large:
        return "too_large";
    case refusal_reason::header_too_large:
        return "header_too_large";
    case refusal_reason::too_slow:
        return "too_slow";
    case refusal_reason::missing_key:
        return "missing_key";
    case refusal_reason::key_in_progress:
        return "key_in_progress";
    case refusal_reason::key_reused:
        return "key_reused";
    case refusal_reason::claim_unavailable:
        return "claim_unavailable";
    case refusal_reason::account_over_share:
        return "account_over_share";
    case refusal_reason::overloaded:
        return "overloaded";
    case refusal_reason::deadline_unreachable:
        return "deadline_unreachable";
    case refusal_reason::deadline_exceeded:
        return "deadline_exceeded";
    case refusal_reason::no_target:
        return "no_target";
    case refusal_reason::retry_exhausted:
        return "retry_exhausted";
    case refusal_reason::stage_failed:
        return "stage_failed";
    case refusal_reason::draining:
        return "draining";
    case refusal_reason::not_ready:
        return "not_ready";
    case refusal_reason::quarantined:
        return "quarantined";
    case refusal_reason::stream_not_resumable:
        return "stream_not_resumable";
    case refusal_reason::client_gone:
        return "client_gone";
    case refusal_reason::internal:
    case refusal_reason::count:
        return "internal";
    }
    return "internal";
}

std::string_view to_string(retry_reason it)
{
    switch (it) {
    case retry_reason::connect_failed:
        return "connect_failed";
    case retry_reason::target_not_run:
        return "target_not_run";
    case retry_reason::target_failed:
        return "target_failed";
    case retry_reason::timeout:
        return "timeout";
    case retry_reason::silent:
        return "silent";
    case retry_reason::stream_resume:
        return "stream_resume";
    case retry_reason::wrong_result:
        return "wrong_result";
    case retry_reason::count:
        break;
    }
    return "unknown";
}

std::string_view to_string(response_loss it)
{
    switch (it) {
    case response_loss::client_left:
        return "client_left";
    case response_loss::write_failed:
        return "write_failed";
    case response_loss::write_timed_out:
        return "write_timed_out";
    case response_loss::cut:
        return "cut";
    case response_loss::handler_failed:
        return "handler_failed";
    case response_loss::stopped:
        return "stopped";
    case response_loss::count:
        break;
    }
    return "unknown";
}

} // namespace arbutusgate
