#include "routing/outlier_detector.h"

#include <algorithm>

namespace chervilslip::routing {

namespace {

constexpr double rate_memory = 0.9; ///< weight of the past in a failure rate
constexpr double clear_difference = 0.5;
constexpr int most_doublings = 5;

} // namespace

outlier_detector::outlier_detector(outlier_limits bounds) : limits(bounds)
{
}

bool outlier_detector::record(const std::string& vm, const std::string& pool, outcome result,
                              std::size_t pool_size, common::steady_time now)
{
    track& each = this->tracks[vm];
    each.pool = pool;
    if (each.ejected && now < each.until) {
        return false; // The end of a task from before the ejection tells nothing new.
    }
    const bool failed = result != outcome::succeeded;
    each.failure_rate = rate_memory * each.failure_rate + (1 - rate_memory) * (failed ? 1.0 : 0.0);
    if (!failed) {
        each.failures = 0;
        each.unreachable = 0;
        if (!each.ejected) {
            return false;
        }
        if (++each.probes < this->limits.probes_to_restore) {
            return false;
        }
        each.ejected = false;
        each.ejections = 0;
        each.probes = 0;
        each.failure_rate = 0.0;
        return true;
    }
    ++each.failures;
    each.unreachable = result == outcome::unreachable ? each.unreachable + 1 : 0;
    if (each.ejected) {
        // A failed probe sends the upstream away again, for longer.
        return this->eject(each, pool_size, now);
    }
    const bool gone = each.unreachable >= this->limits.unreachable_in_a_row;
    const bool failing =
        each.failures >= this->limits.failures_in_a_row && this->stands_out(vm, each);
    return (gone || failing) && this->eject(each, pool_size, now);
}

bool outlier_detector::eject(track& each, std::size_t pool_size, common::steady_time now)
{
    const auto most =
        static_cast<std::size_t>(this->limits.most_ejected * static_cast<double>(pool_size));
    if (!each.ejected && this->ejected_in(each.pool) >= most) {
        return false;
    }
    const int doublings = std::min(each.ejections, most_doublings);
    const auto time =
        std::min(this->limits.first_ejection * (1 << doublings), this->limits.longest_ejection);
    each.ejected = true;
    each.probes = 0;
    each.until = now + time;
    ++each.ejections;
    return true;
}

std::size_t outlier_detector::ejected_in(const std::string& pool) const
{
    return static_cast<std::size_t>(
        std::count_if(this->tracks.begin(), this->tracks.end(), [&pool](const auto& item) {
            return item.second.ejected && item.second.pool == pool;
        }));
}

bool outlier_detector::stands_out(const std::string& vm, const track& each) const
{
    double others = 0.0;
    std::size_t count = 0;
    for (const auto& [name, other] : this->tracks) {
        if (name != vm && other.pool == each.pool && !other.ejected) {
            others += other.failure_rate;
            ++count;
        }
    }
    // Jobs that fail everywhere are no fault of this upstream.
    const double mean = count > 0 ? others / static_cast<double>(count) : 0.0;
    return mean < clear_difference * each.failure_rate;
}

health outlier_detector::health_of(const std::string& vm, common::steady_time now) const
{
    const auto found = this->tracks.find(vm);
    if (found == this->tracks.end() || !found->second.ejected) {
        return health::healthy;
    }
    return now < found->second.until ? health::ejected : health::probing;
}

void outlier_detector::forget(const std::string& vm)
{
    this->tracks.erase(vm);
}

} // namespace chervilslip::routing
