#pragma once

#include <algorithm>

#include "common/clock.h"

namespace chervilslip::daemon {

/// Measures the time in which this process keeps up with reading, from the lateness of a periodic
/// check. A response that arrived in time but waits in a socket of a busy or paused process is not
/// missing, so timeouts of responses run in this time. Not thread safe.
class reading_time {
public:
    /// Records that a check due at `due` runs at `now`.
    void record_check(common::steady_time due, common::steady_time now)
    {
        this->missed += std::max(now - due, common::steady_time::duration{0});
    }

    /// Returns the reading time at `now`. Only differences between two values have a meaning.
    [[nodiscard]] common::steady_time at(common::steady_time now) const
    {
        return now - this->missed;
    }

private:
    common::steady_time::duration missed{0};
};

} // namespace chervilslip::daemon
