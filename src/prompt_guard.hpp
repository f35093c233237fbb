/// Interface to the quarantine of prompts that crash targets.
#pragma once

#include "arbutusgate/node_core.hpp"

#include <optional>

namespace arbutusgate {

/// Thread-safe.
class prompt_guard
{
public:
    virtual ~prompt_guard() = default;

    /// \return time until a request with the prefix may be tried; nothing when
    /// it may be sent now.
    virtual std::optional<milliseconds> refused(const prompt_call& it) = 0;
    /// The target began to answer.
    virtual void answered(const prompt_call& it) = 0;
    /// The connection ended before that.
    virtual void broke_off(const prompt_call& it) = 0;
};

} // namespace arbutusgate
