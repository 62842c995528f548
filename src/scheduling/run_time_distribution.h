#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "common/clock.h"

namespace chervilslip::scheduling {

/// Streaming estimate of a distribution of run times: a histogram with logarithmic buckets, in
/// which a sample loses weight with each later one. Quantiles are interpolated within a bucket, so
/// they are exact to a fifth. Not thread safe.
class run_time_distribution {
public:
    /// Adds the run time of a completed run. Precondition: `run_time` is not negative.
    void add(common::milliseconds run_time);

    /// Returns how many runs were added.
    [[nodiscard]] std::int64_t samples() const;

    /// Returns the share of the runs that take longer than `time`; 0 without samples.
    [[nodiscard]] double share_longer(common::milliseconds time) const;

    /// Returns the time within which a share of the runs end. Preconditions: there are samples, and
    /// `share` is between 0 and 1.
    [[nodiscard]] common::milliseconds quantile(double share) const;

    /// As above, with a declared time as a prior that loses weight with each sample. Precondition:
    /// `share` is between 0 and 1.
    [[nodiscard]] common::milliseconds quantile(double share, common::milliseconds declared) const;

private:
    static constexpr std::size_t buckets_per_octave = 4;
    static constexpr std::size_t octaves = 24; ///< up to 4.6 hours
    static constexpr std::size_t bucket_count = buckets_per_octave * octaves + 1;

    static std::size_t bucket_of(double time_ms);
    static double lower_edge(std::size_t bucket);

    [[nodiscard]] double mixed_quantile(double share, double declared_ms,
                                        double prior_weight) const;

    std::array<float, bucket_count> weights{};
    double total = 0;
    std::int64_t count = 0;
};

} // namespace chervilslip::scheduling
