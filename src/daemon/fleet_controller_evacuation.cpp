// VMs in zones under evacuation.
#include "daemon/fleet_controller.h"

namespace chervilslip::daemon {

void fleet_controller::set_evacuated_zones(scheduling::evacuated_zones zones)
{
    this->zones_to_evacuate = std::move(zones);
    this->next_plan = {}; // the capacity is needed elsewhere at once
}

bool fleet_controller::is_evacuated(const std::string& vm) const
{
    return std::any_of(this->vms.begin(), this->vms.end(), [&](const fleet::fleet_vm& each) {
        return each.name == vm && this->zones_to_evacuate.contains(each.zone);
    });
}

void fleet_controller::report_vm_zones()
{
    std::set<std::string> zones;
    for (const fleet::fleet_vm& each : this->vms) {
        zones.insert(each.zone);
    }
    this->dependencies.scheduler.set_vm_zones(std::move(zones));
}

} // namespace chervilslip::daemon
