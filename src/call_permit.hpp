/// Permit to send one call to a target that limits its calls.
#pragma once

#include "target_limits.hpp"

namespace arbutusgate::gateway {

struct call_permit
{
    /// A later call might fall together with the calls of other permits.
    static constexpr milliseconds validity{250};

    bool granted = false;
    /// No permit, since no owner of the limit decided; one may follow soon.
    bool       undecided = false;
    time_point call_at{}; ///< When the call may be sent.
    double     rate = 0;  ///< The target's limit when it was granted.

    /// \param limit in force; null: none.
    /// \return whether the call may be sent now.
    bool covers(const target_limit* limit, time_point now) const
    {
        if (!limit)
            return true;
        return granted && now >= call_at && now < call_at + validity &&
               rate <= *limit->rate;
    }
};

} // namespace arbutusgate::gateway
