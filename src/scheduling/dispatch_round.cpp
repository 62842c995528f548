#include "scheduling/dispatch_round.h"

#include <algorithm>

#include "scheduling/placement.h"

namespace chervilslip::scheduling {

dispatch_round::dispatch_round(const pool_index& all_workers, common::steady_time now)
    : workers(all_workers), begun_at(now)
{
}

const std::vector<worker_state*>& dispatch_round::usable_in(const std::string& pool)
{
    std::optional<std::vector<worker_state*>>& usable = this->pools[pool].usable;
    if (!usable) {
        usable.emplace();
        const auto found = this->workers.find(pool);
        if (found != this->workers.end()) {
            std::copy_if(
                found->second.begin(), found->second.end(), std::back_inserter(*usable),
                [this](const worker_state* each) { return is_usable(*each, this->begun_at); });
        }
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

} // namespace chervilslip::scheduling
