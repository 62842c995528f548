#include "scheduling/dispatch_round.h"

#include <algorithm>

#include "scheduling/placement.h"

namespace chervilslip::scheduling {

dispatch_round::dispatch_round(worker_map& workers, common::steady_time now)
{
    for (auto& [id, worker] : workers) {
        if (is_usable(worker, now)) {
            this->pools[worker.entry.pool].usable.push_back(&worker);
        }
    }
}

const std::vector<worker_state*>& dispatch_round::usable_in(const std::string& pool) const
{
    static const std::vector<worker_state*> none;
    const auto found = this->pools.find(pool);
    return found == this->pools.end() ? none : found->second.usable;
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
