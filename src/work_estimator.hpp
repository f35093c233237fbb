/// Estimates the output of requests from hints of the clients and from earlier
/// answers.
#pragma once

#include "call_work.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace arbutusgate::gateway {

struct engine_limits;
struct request_head;
struct route;

/// Sums over complete answers.
struct estimate_errors
{
    std::uint64_t answers          = 0;
    double        estimated_tokens = 0;
    double        output_tokens    = 0;
    double        error_tokens     = 0; ///< Of absolute differences.
};

/// Learns by route and account. Belongs to one thread.
class work_estimator
{
public:
    /// Bounds the memory: entries that were not updated for longest are
    /// evicted.
    static constexpr std::size_t max_entries = 512;

    call_work       estimate(const request_head& call, const route& route,
                             const std::string&   account,
                             const engine_limits& engine) const;
    output_estimate estimate_output(const std::string& route,
                                    const std::string& account,
                                    std::uint32_t      hint,
                                    std::uint32_t      max_tokens) const;
    /// Records a complete answer.
    void completed(const call_work& it, std::uint32_t events);

    const estimate_errors& errors() const { return errors_; }
    std::size_t            size() const { return learned_.size(); }

private:
    /// Mean and variance; new samples weigh at least a fixed share.
    struct moments
    {
        double        mean     = 0;
        double        variance = 0;
        std::uint32_t samples  = 0;

        void add(double sample);
        /// Counts \p prior as so many samples as \p weight says.
        moments after(const moments& prior, double weight) const;
    };
    struct entry
    {
        moments       output;      ///< Of the logarithm of the output tokens.
        moments       hint;        ///< Of the logarithm of output by hint.
        std::uint64_t updated = 0; ///< Value of updates_.
    };

    const entry* find(const std::string& route,
                      const std::string& account) const;
    entry&       find_or_add(const std::string& key);

    std::unordered_map<std::string, entry> learned_;
    std::uint64_t                          updates_ = 0;
    estimate_errors                        errors_;
};

} // namespace arbutusgate::gateway
