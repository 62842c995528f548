#pragma once

#include "common/clock.h"

namespace chervilslip::store {

/// Tells from the outcomes of calls whether the store is out of reach altogether, so that nothing
/// new needs to be sent that could be carried out unnoticed. Not thread safe.
class availability_monitor {
public:
    /// Notes that the store answered some call.
    void record_response(common::steady_time now);

    /// Notes that a call was given up on every way.
    void record_failure(common::steady_time now);

    /// Tells whether nothing but failures came lately.
    [[nodiscard]] bool is_unavailable(common::steady_time now) const;

private:
    common::steady_time last_answer;
    common::steady_time last_failure;
    int failures = 0; ///< since the last answer
};

} // namespace chervilslip::store
