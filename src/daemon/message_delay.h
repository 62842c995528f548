#pragma once

#include <algorithm>
#include <optional>

#include "common/clock.h"

namespace chervilslip::daemon {

/// Estimates how long the messages of one peer were held up on their way, from the time of the
/// peer's monotonic clock that they carry. The origins of the clocks may differ: the fastest
/// message counts as one that was not held up. Not thread safe.
class message_delay {
public:
    /// Returns by how much a message took longer than the fastest one. Precondition: `received`
    /// does not go back.
    common::milliseconds observe(common::milliseconds sent, common::steady_time received)
    {
        const duration offset = received.time_since_epoch() - sent;
        const duration expected =
            this->least ? *this->least + (received - this->last) / inverse_clock_drift : offset;
        this->least = std::min(expected, offset);
        this->last = received;
        return std::chrono::duration_cast<common::milliseconds>(offset - *this->least);
    }

private:
    using duration = common::steady_time::duration;

    /// The clocks' rates differ by less than one part in this many.
    static constexpr int inverse_clock_drift = 1000;

    std::optional<duration> least; ///< between the clocks, by the fastest message
    common::steady_time last;
};

} // namespace chervilslip::daemon
