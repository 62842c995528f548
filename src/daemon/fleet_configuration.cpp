#include "daemon/fleet_configuration.h"

namespace chervilslip::daemon {

const queue_route* fleet_configuration::route_for(std::string_view host,
                                                  std::string_view path) const
{
    const queue_route* best = nullptr;
    for (const queue_route& each : this->routes) {
        if (each.host == host && path.starts_with(each.prefix) &&
            (best == nullptr || each.prefix.size() > best->prefix.size())) {
            best = &each;
        }
    }
    return best;
}

} // namespace chervilslip::daemon
