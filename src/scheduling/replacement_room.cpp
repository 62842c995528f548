#include "scheduling/replacement_room.h"

#include <algorithm>

#include "scheduling/placement.h"

namespace chervilslip::scheduling {

void replacement_room::add(const worker_entry& worker, const teams::resources& room)
{
    this->places_by_pool[worker.pool].push_back({worker, room});
}

bool replacement_room::take(const std::string& pool, const teams::resources& size,
                            const std::string& label)
{
    std::vector<place>& places = this->places_by_pool[pool];
    const auto found = std::find_if(places.begin(), places.end(), [&](const place& each) {
        return each.room.can_fit(size) && has_label(each.worker, label);
    });
    if (found == places.end()) {
        return false;
    }
    found->room -= size;
    return true;
}

} // namespace chervilslip::scheduling
