#pragma once

#include "common/clock.h"

namespace chervilslip::routing {

/// Estimates the run time of a queue's tasks from those that ended; the declared time is the
/// estimate until the first one has ended. Not thread safe.
class run_time_estimator {
public:
    explicit run_time_estimator(common::milliseconds declared_time)
        : mean(static_cast<double>(declared_time.count())), low_quantile(this->mean)
    {
    }

    /// Records the run time of a task that ended.
    void record(common::milliseconds run_time)
    {
        ++this->samples;
        // The first samples get equal weights and replace the declared time, so that a wrong
        // declaration does not linger.
        const double weight =
            this->samples < averaging_samples ? 1.0 / this->samples : 1.0 / averaging_samples;
        const auto sample = static_cast<double>(run_time.count());
        this->mean += weight * (sample - this->mean);
        this->low_quantile = this->samples == 1 ? sample : this->low_quantile;
        this->low_quantile *= sample < this->low_quantile ? decrease_factor : increase_factor;
    }

    /// Returns the moving average of the run time.
    [[nodiscard]] common::milliseconds expected() const
    {
        return common::milliseconds(static_cast<std::int64_t>(this->mean));
    }

    /// Returns a run time that about nine tasks in ten exceed; 0 before the first sample, since
    /// declared times may be far off.
    [[nodiscard]] common::milliseconds tenth_percentile() const
    {
        return common::milliseconds(
            this->samples == 0 ? 0 : static_cast<std::int64_t>(this->low_quantile));
    }

private:
    static constexpr int averaging_samples = 20;
    // The two factors balance when one sample in ten is below the estimate.
    static constexpr double decrease_factor = 0.91;
    static constexpr double increase_factor = 1.01;

    double mean;
    double low_quantile;
    int samples = 0;
};

} // namespace chervilslip::routing
