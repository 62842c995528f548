#include "routing/outlier_detector.h"

#include <algorithm>

namespace chervilslip::routing {

namespace {

constexpr double failure_rate_decay = 0.9;  ///< weight of the earlier rate in a new one
constexpr double max_peer_rate_ratio = 0.5; ///< peers' mean rate over that of an outlier
constexpr int max_doublings = 5;

} // namespace

outlier_detector::outlier_detector(outlier_limits bounds) : limits(bounds)
{
}

bool outlier_detector::record(const std::string& vm, const std::string& pool, outcome result,
                              std::size_t pool_size, common::steady_time now)
{
    vm_record& entry = this->vm_records[vm];
    entry.pool = pool;
    if (entry.ejected && now < entry.ejected_until) {
        return false; // The task started before the ejection; its outcome adds no information.
    }
    const bool failed = result != outcome::succeeded;
    entry.failure_rate =
        failure_rate_decay * entry.failure_rate + (1 - failure_rate_decay) * (failed ? 1.0 : 0.0);
    if (!failed) {
        entry.consecutive_failures = 0;
        entry.consecutive_unreachable = 0;
        if (!entry.ejected) {
            return false;
        }
        if (++entry.successful_probes < this->limits.required_probes) {
            return false;
        }
        entry.ejected = false;
        entry.ejections = 0;
        entry.successful_probes = 0;
        entry.failure_rate = 0.0;
        return true;
    }
    ++entry.consecutive_failures;
    entry.consecutive_unreachable =
        result == outcome::unreachable ? entry.consecutive_unreachable + 1 : 0;
    if (entry.ejected) {
        // A failed probe ejects the upstream again, for longer.
        return this->eject(entry, pool_size, now);
    }
    const bool is_unreachable =
        entry.consecutive_unreachable >= this->limits.consecutive_unreachable;
    const bool is_failing = entry.consecutive_failures >= this->limits.consecutive_failures &&
                            this->is_outlier(vm, entry);
    return (is_unreachable || is_failing) && this->eject(entry, pool_size, now);
}

bool outlier_detector::eject(vm_record& entry, std::size_t pool_size, common::steady_time now)
{
    const auto max_ejected = static_cast<std::size_t>(this->limits.max_ejected_fraction *
                                                      static_cast<double>(pool_size));
    if (!entry.ejected && this->ejected_count(entry.pool) >= max_ejected) {
        return false;
    }
    const int doublings = std::min(entry.ejections, max_doublings);
    const auto ejection =
        std::min(this->limits.base_ejection * (1 << doublings), this->limits.max_ejection);
    entry.ejected = true;
    entry.successful_probes = 0;
    entry.ejected_until = now + ejection;
    ++entry.ejections;
    return true;
}

std::size_t outlier_detector::ejected_count(const std::string& pool) const
{
    return static_cast<std::size_t>(
        std::count_if(this->vm_records.begin(), this->vm_records.end(), [&pool](const auto& item) {
            return item.second.ejected && item.second.pool == pool;
        }));
}

bool outlier_detector::is_outlier(const std::string& vm, const vm_record& entry) const
{
    double other_rates = 0.0;
    std::size_t other_count = 0;
    for (const auto& [name, other] : this->vm_records) {
        if (name != vm && other.pool == entry.pool && !other.ejected) {
            other_rates += other.failure_rate;
            ++other_count;
        }
    }
    // Tasks that fail on every upstream don't indicate a fault of this one.
    const double mean = other_count > 0 ? other_rates / static_cast<double>(other_count) : 0.0;
    return mean < max_peer_rate_ratio * entry.failure_rate;
}

health outlier_detector::health_of(const std::string& vm, common::steady_time now) const
{
    const auto found = this->vm_records.find(vm);
    if (found == this->vm_records.end() || !found->second.ejected) {
        return health::healthy;
    }
    return now < found->second.ejected_until ? health::ejected : health::probing;
}

void outlier_detector::remove(const std::string& vm)
{
    this->vm_records.erase(vm);
}

} // namespace chervilslip::routing
