#include "scheduling/best_effort_throttle.h"

#include <algorithm>

namespace chervilslip::scheduling {

namespace {

/// Best-effort tasks speed up only while every serving task is below this fraction of its latency
/// target.
constexpr double headroom_fraction = 0.7;

/// Time without an exceeded target before best-effort tasks speed up again.
constexpr common::milliseconds speed_up_delay{2000};

constexpr std::int64_t full_speed = 100;
constexpr std::int64_t min_speed = 25;  ///< a task that would run slower is paused
constexpr std::int64_t speed_step = 25; ///< increase per poll

} // namespace

std::vector<throttle_change> best_effort_throttle::plan(const std::string& worker,
                                                        const std::vector<throttle_input>& runs,
                                                        common::steady_time now)
{
    bool over_target = false;
    bool has_headroom = true;
    for (const throttle_input& each : runs) {
        const auto tail_latency_target = static_cast<double>(each.tail_latency_target.count());
        over_target =
            over_target || (tail_latency_target > 0 &&
                            static_cast<double>(each.tail_latency_ms) > tail_latency_target);
        has_headroom = has_headroom &&
                       (tail_latency_target <= 0 || static_cast<double>(each.tail_latency_ms) <
                                                        headroom_fraction * tail_latency_target);
    }
    if (over_target) {
        this->last_over_target[worker] = now;
    }
    const auto found = this->last_over_target.find(worker);
    const bool may_speed_up = has_headroom && (found == this->last_over_target.end() ||
                                               now - found->second > speed_up_delay);
    std::vector<throttle_change> changes;
    for (const throttle_input& each : runs) {
        if (!each.best_effort) {
            continue;
        }
        std::int64_t percent = each.percent;
        if (over_target) {
            percent = percent / 2 < min_speed ? 0 : percent / 2;
        } else if (may_speed_up) {
            percent = std::min(full_speed, percent + speed_step);
        }
        if (percent != each.percent) {
            changes.push_back({each.task, each.run, percent});
        }
    }
    return changes;
}

void best_effort_throttle::remove_worker(const std::string& worker)
{
    this->last_over_target.erase(worker);
}

} // namespace chervilslip::scheduling
