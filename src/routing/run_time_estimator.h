#pragma once

#include "common/clock.h"

namespace chervilslip::routing {

/// Learns how long a queue's tasks run; the declared time only counts until tasks have ended.
/// Not thread safe.
class run_time_estimator {
public:
    explicit run_time_estimator(common::milliseconds declared)
        : mean(static_cast<double>(declared.count())), low(this->mean)
    {
    }

    /// Records the run time of a task that ended.
    void record(common::milliseconds run_time)
    {
        ++this->samples;
        // The first samples count fully, so that a wrong declaration is soon forgotten.
        const double weight =
            this->samples < settled_samples ? 1.0 / this->samples : 1.0 / settled_samples;
        const auto sample = static_cast<double>(run_time.count());
        this->mean += weight * (sample - this->mean);
        this->low = this->samples == 1 ? sample : this->low;
        this->low *= sample < this->low ? falling : rising;
    }

    /// Returns the expected run time.
    [[nodiscard]] common::milliseconds expected() const
    {
        return common::milliseconds(static_cast<std::int64_t>(this->mean));
    }

    /// Returns a run time that about nine tasks in ten exceed; 0 while nothing was learned, since
    /// declared times may be far off.
    [[nodiscard]] common::milliseconds tenth_percentile() const
    {
        return common::milliseconds(this->samples == 0 ? 0 : static_cast<std::int64_t>(this->low));
    }

private:
    static constexpr int settled_samples = 20;
    static constexpr double falling = 0.91; // these two balance at one sample in ten below
    static constexpr double rising = 1.01;

    double mean;
    double low;
    int samples = 0;
};

} // namespace chervilslip::routing
