#pragma once

#include <map>
#include <string>

#include "common/clock.h"

namespace chervilslip::scheduling {

/// Learns how long tasks of a queue run, because declared times are far off. Not thread safe.
class duration_estimator {
public:
    /// Notes a task that ended done. Precondition: `taken` is not negative.
    void add(const std::string& queue, common::milliseconds run_time);

    /// Returns the expected run time of a task; `declared` counts while little is known.
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
