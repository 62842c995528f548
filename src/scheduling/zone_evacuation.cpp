#include "scheduling/zone_evacuation.h"

#include <utility>

namespace chervilslip::scheduling {

zone_evacuation::zone_evacuation(std::optional<common::milliseconds> max_age)
    : max_confirmation_age(max_age)
{
}

bool zone_evacuation::set_requests(const evacuated_zones& requested)
{
    bool changed = false;
    for (auto each = this->requests.begin(); each != this->requests.end();) {
        if (requested.names.contains(each->first)) {
            ++each;
            continue;
        }
        if (each->second == request_phase::begun || each->second == request_phase::done) {
            this->ended.push_back(each->first);
        }
        each = this->requests.erase(each);
        changed = true;
    }
    for (const std::string& zone : requested.names) {
        changed = this->requests.try_emplace(zone, request_phase::fresh).second || changed;
    }
    return changed;
}

void zone_evacuation::confirm(common::steady_time as_of)
{
    this->confirmed_at = std::max(this->confirmed_at.value_or(as_of), as_of);
}

bool zone_evacuation::is_confirmed(common::steady_time now) const
{
    return !this->max_confirmation_age ||
           (this->confirmed_at && now < *this->confirmed_at + *this->max_confirmation_age);
}

bool zone_evacuation::is_evacuated(const std::string& zone) const
{
    return !zone.empty() && this->requests.contains(zone);
}

bool zone_evacuation::is_active() const
{
    return !this->requests.empty() || !this->ended.empty();
}

void zone_evacuation::set_vm_zones(std::set<std::string> zones)
{
    this->vm_zones = std::move(zones);
}

std::vector<evacuation_change>
zone_evacuation::observe(const std::map<std::string, zone_load>& loads)
{
    using kind = evacuation_change::kind;
    const auto load_of = [&loads](const std::string& zone) {
        const auto found = loads.find(zone);
        return found == loads.end() ? zone_load{} : found->second;
    };
    std::vector<evacuation_change> changes;
    for (const std::string& zone : std::exchange(this->ended, {})) {
        changes.push_back({kind::ended, zone, load_of(zone)});
    }
    for (auto& [zone, phase] : this->requests) {
        const zone_load load = load_of(zone);
        if (phase == request_phase::fresh || phase == request_phase::unknown) {
            const bool has_vms = this->vm_zones && this->vm_zones->contains(zone);
            if (!zone.empty() && (loads.contains(zone) || has_vms)) {
                phase = request_phase::begun;
                changes.push_back({kind::begun, zone, load});
            } else if (phase == request_phase::fresh && this->vm_zones) {
                phase = request_phase::unknown;
                changes.push_back({kind::unknown_zone, zone, load});
            }
        }
        if (phase == request_phase::begun && load.runs == 0) {
            phase = request_phase::done;
            changes.push_back({kind::done, zone, load});
        } else if (phase == request_phase::done && load.runs > 0) {
            phase = request_phase::begun; // a start that was in flight has taken effect
        }
    }
    return changes;
}

} // namespace chervilslip::scheduling
