#pragma once

#include "common/clock.h"

namespace chervilslip::store {

/// Detects from the outcomes of calls that the store is unavailable, so that no new call is sent
/// whose effect could go unnoticed. Not thread safe.
class availability_monitor {
public:
    /// Records that the store responded to a call.
    void record_response(common::steady_time now);

    /// Records that a call failed over every route to the store.
    void record_failure(common::steady_time now);

    /// Returns whether recent calls have only failed.
    [[nodiscard]] bool is_unavailable(common::steady_time now) const;

private:
    common::steady_time last_response;
    common::steady_time last_failure;
    int failures = 0; ///< since the last response
};

} // namespace chervilslip::store
