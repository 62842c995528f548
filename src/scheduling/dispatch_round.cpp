#include "scheduling/dispatch_round.h"

#include <algorithm>

#include "scheduling/placement.h"

namespace chervilslip::scheduling {

namespace {

/// A worker with this many consecutive failures is put on probation.
constexpr std::int64_t probation_failures = 3;

/// Of the usable workers of a pool, one in this many may be on probation, and always one. If more
/// of them fail, the tasks are at fault.
constexpr std::size_t workers_per_probation = 3;

void choose_probation(const std::vector<worker_state*>& usable)
{
    std::vector<worker_state*> failing;
    for (worker_state* each : usable) {
        each->on_probation = false;
        if (each->consecutive_failures >= probation_failures) {
            failing.push_back(each);
        }
    }
    std::sort(failing.begin(), failing.end(),
              [](const worker_state* left, const worker_state* right) {
                  return left->consecutive_failures != right->consecutive_failures
                             ? left->consecutive_failures > right->consecutive_failures
                             : left->entry.instance.id < right->entry.instance.id;
              });
    const std::size_t allowed = std::max<std::size_t>(usable.size() / workers_per_probation, 1);
    for (std::size_t i = 0; i < std::min(failing.size(), allowed); ++i) {
        failing[i]->on_probation = true;
    }
}

} // namespace

dispatch_round::dispatch_round(const pool_index& all_workers, common::steady_time now)
    : workers(all_workers), begun_at(now)
{
}

const std::vector<worker_state*>& dispatch_round::usable_in(const std::string& pool)
{
    pool_entry& entry = this->pools[pool];
    std::optional<std::vector<worker_state*>>& usable = entry.usable;
    if (!usable) {
        usable.emplace();
        const auto found = this->workers.find(pool);
        if (found != this->workers.end()) {
            std::copy_if(
                found->second.begin(), found->second.end(), std::back_inserter(*usable),
                [this](const worker_state* each) { return is_usable(*each, this->begun_at); });
        }
        choose_probation(*usable);
        std::copy_if(
            usable->begin(), usable->end(), std::back_inserter(entry.slow),
            [](const worker_state* each) { return each->speed.verdict == speed_verdict::slow; });
    }
    return *usable;
}

void dispatch_round::mark_fits_nowhere(const std::string& pool, const teams::resources& size)
{
    std::vector<teams::resources>& sizes = this->pools[pool].unplaceable_sizes;
    std::erase_if(sizes, [&size](const teams::resources& each) { return each.can_fit(size); });
    sizes.push_back(size);
}

bool dispatch_round::fits_nowhere(const std::string& pool, const teams::resources& size) const
{
    const auto found = this->pools.find(pool);
    return found != this->pools.end() &&
           std::any_of(found->second.unplaceable_sizes.begin(),
                       found->second.unplaceable_sizes.end(),
                       [&size](const teams::resources& each) { return size.can_fit(each); });
}

bool dispatch_round::has_slow_room(const std::string& pool, const teams::resources& size) const
{
    const auto found = this->pools.find(pool);
    return found != this->pools.end() &&
           std::any_of(found->second.slow.begin(), found->second.slow.end(),
                       [&size](const worker_state* each) { return each->has_room_for(size); });
}

void dispatch_round::set_lacked_room(bool lacked)
{
    this->choice_lacked_room = lacked;
}

bool dispatch_round::lacked_room() const
{
    return this->choice_lacked_room;
}

std::set<std::string> dispatch_round::full_pools() const
{
    std::set<std::string> full;
    for (const auto& [pool, entry] : this->pools) {
        if (!entry.unplaceable_sizes.empty()) {
            full.insert(pool);
        }
    }
    return full;
}

} // namespace chervilslip::scheduling
