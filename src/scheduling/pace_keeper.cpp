#include "scheduling/pace_keeper.h"

#include <algorithm>

namespace chervilslip::scheduling {

namespace {

/// Below this part of the target a serving task counts as undisturbed.
constexpr double calm_part = 0.7;

/// After a disturbance, fillers work again once it has been calm for this time.
constexpr common::milliseconds calm_time{2000};

constexpr std::int64_t full_pace = 100;
constexpr std::int64_t least_pace = 25; ///< below this a filler is stopped altogether
constexpr std::int64_t pace_step = 25;  ///< up again, a step a look

} // namespace

std::vector<pace_change> pace_keeper::plan(const std::string& worker,
                                           const std::vector<paced_run>& runs,
                                           common::steady_time now)
{
    bool over = false;
    bool calm = true;
    for (const paced_run& each : runs) {
        const auto target = static_cast<double>(each.target.count());
        over = over || (target > 0 && static_cast<double>(each.tail_ms) > target);
        calm = calm && (target <= 0 || static_cast<double>(each.tail_ms) < calm_part * target);
    }
    if (over) {
        this->disturbed_at[worker] = now;
    }
    const auto disturbed = this->disturbed_at.find(worker);
    const bool calm_again =
        calm && (disturbed == this->disturbed_at.end() || now - disturbed->second > calm_time);
    std::vector<pace_change> changes;
    for (const paced_run& each : runs) {
        if (!each.best_effort) {
            continue;
        }
        std::int64_t percent = each.percent;
        if (over) {
            percent = percent / 2 < least_pace ? 0 : percent / 2;
        } else if (calm_again) {
            percent = std::min(full_pace, percent + pace_step);
        }
        if (percent != each.percent) {
            changes.push_back({each.task, each.run, percent});
        }
    }
    return changes;
}

void pace_keeper::forget(const std::string& worker)
{
    this->disturbed_at.erase(worker);
}

} // namespace chervilslip::scheduling
