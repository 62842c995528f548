#include "store/availability_monitor.h"

namespace chervilslip::store {

namespace {

/// A single lost response is not an outage.
constexpr int min_failures = 2;

/// Without a response for this long the store counts as unavailable: a slow but working store
/// responds within 250 ms.
constexpr common::milliseconds min_silence{300};

/// Older failures are ignored. The prefix followers call the store continuously, and their longest
/// watch plus the timeout of a call is just below this, so a store that is still unavailable has
/// failed more recently.
constexpr common::milliseconds max_failure_age{2500};

} // namespace

void availability_monitor::record_response(common::steady_time now)
{
    this->last_response = now;
    this->failures = 0;
}

void availability_monitor::record_failure(common::steady_time now)
{
    this->last_failure = now;
    ++this->failures;
}

bool availability_monitor::is_unavailable(common::steady_time now) const
{
    return this->failures >= min_failures && now - this->last_response >= min_silence &&
           now - this->last_failure < max_failure_age;
}

} // namespace chervilslip::store
