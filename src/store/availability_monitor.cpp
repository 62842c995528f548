#include "store/availability_monitor.h"

namespace chervilslip::store {

namespace {

/// One lost answer is no outage.
constexpr int least_failures = 2;

/// A slow store answers within a quarter of a second.
constexpr common::milliseconds quiet_time{300};

/// Followers of the store call it all the time; the longest of their waits and a call's limit are
/// just below, so an older failure says nothing of now.
constexpr common::milliseconds failure_counts{2500};

} // namespace

void availability_monitor::record_response(common::steady_time now)
{
    this->last_answer = now;
    this->failures = 0;
}

void availability_monitor::record_failure(common::steady_time now)
{
    this->last_failure = now;
    ++this->failures;
}

bool availability_monitor::is_unavailable(common::steady_time now) const
{
    return this->failures >= least_failures && now - this->last_answer >= quiet_time &&
           now - this->last_failure < failure_counts;
}

} // namespace chervilslip::store
