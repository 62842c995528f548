#pragma once

#include <map>
#include <string>

#include "common/clock.h"

namespace chervilslip::scheduling {

/// Estimates the run time of a queue's tasks from completed runs, because the declared estimates
/// are far off. Not thread safe.
class duration_estimator {
public:
    /// Adds the run time of a completed task. Precondition: `run_time` is not negative.
    void add(const std::string& queue, common::milliseconds run_time);

    /// Returns the expected run time of a task; `declared` while there are too few samples.
    [[nodiscard]] common::milliseconds expected(const std::string& queue,
                                                common::milliseconds declared) const;

private:
    struct entry {
        double mean_ms = 0;
        double samples = 0;
    };
    std::map<std::string, entry> entries;
};

} // namespace chervilslip::scheduling
