#include "maintenance/wave_planner.h"

#include <algorithm>

namespace chervilslip::maintenance {

namespace {

/// While as many VMs are down as may be, this many times more are emptied for their turn.
constexpr std::int64_t emptied_ahead = 1;

/// A VM that has been missing from the list for this long is gone.
constexpr common::milliseconds gone_after{4000};

std::int64_t effort_of(const vm_snapshot& vm)
{
    constexpr std::int64_t lasting_effort = 10;
    return vm.has_worker ? 1 + vm.other_running + lasting_effort * vm.long_running : 0;
}

} // namespace

wave_planner::wave_planner(wave_options wanted) : options(wanted)
{
}

void wave_planner::update_waves(const std::vector<wave_request>& asked, common::steady_time now)
{
    for (const wave_request& each : asked) {
        const auto [found, added] = this->waves.try_emplace(each.number);
        if (!added) {
            continue;
        }
        found->second.request = each;
        found->second.seen_at = now;
        const earlier_progress& before = this->earlier[each.number];
        found->second.running_reported = before.completed;
        found->second.completed_reported = before.completed;
        for (const std::string& vm : each.vms) {
            found->second.vms[vm].since = now;
            if (before.serviced.contains(vm)) {
                found->second.vms[vm].phase = vm_phase::down;
            }
        }
    }
}

void wave_planner::restore(std::int64_t wave, std::set<std::string> serviced, bool completed)
{
    this->earlier[wave] = {std::move(serviced), completed};
}

std::set<std::string> wave_planner::started_vms(std::int64_t wave) const
{
    std::set<std::string> names;
    const auto found = this->waves.find(wave);
    if (found == this->waves.end()) {
        return names;
    }
    for (const auto& [name, vm] : found->second.vms) {
        if (vm.phase == vm_phase::down || vm.phase == vm_phase::serviced) {
            names.insert(name);
        }
    }
    return names;
}

std::vector<wave_step> wave_planner::plan(const std::map<std::string, vm_snapshot>& vms,
                                          common::steady_time now)
{
    std::vector<wave_step> steps;
    for (auto& [number, wave] : this->waves) {
        if (!wave.completed_reported) {
            this->follow_list(wave, vms, now, steps);
            this->plan_wave(wave, vms, now, steps);
        }
    }
    return steps;
}

void wave_planner::follow_list(wave_progress& wave, const std::map<std::string, vm_snapshot>& vms,
                               common::steady_time now, std::vector<wave_step>& steps)
{
    for (auto& [name, vm] : wave.vms) {
        const auto listed = vms.find(name);
        if (listed == vms.end()) {
            if (vm.phase != vm_phase::serviced && now - vm.since > gone_after) {
                vm = {vm_phase::left, now, {}, false};
            }
            continue;
        }
        const bool over = now - vm.since >= this->options.service_time &&
                          listed->second.list_requested_at >
                              vm.since + this->options.service_time + this->options.list_lag;
        if (vm.phase == vm_phase::down && listed->second.up && over) {
            vm.phase = vm_phase::serviced;
            vm.since = now;
            // The same worker still runs when an earlier holder's order had done it already.
            steps.push_back({wave_step::kind::undrain_vm, wave.request.number, name});
        }
        if (vm.phase == vm_phase::left) {
            vm = {vm_phase::waiting, now, {}, false};
        }
    }
}

void wave_planner::plan_wave(wave_progress& wave, const std::map<std::string, vm_snapshot>& vms,
                             common::steady_time now, std::vector<wave_step>& steps)
{
    const std::int64_t number = wave.request.number;
    if (!wave.running_reported && !wave.report_open) {
        wave.report_open = true;
        steps.push_back({wave_step::kind::report_running, number, {}});
    }
    std::int64_t down = 0;
    std::int64_t emptying = 0;
    bool all_begun = true;
    for (const auto& [name, vm] : wave.vms) {
        down += vm.phase == vm_phase::ordered || vm.phase == vm_phase::down ? 1 : 0;
        down += vm.maybe_begun && vm.phase == vm_phase::emptying ? 1 : 0;
        // An order that an earlier holder gave last may not be known here, but the list shows it.
        const auto listed = vms.find(name);
        const bool counted = vm.phase == vm_phase::ordered || vm.phase == vm_phase::down ||
                             (vm.maybe_begun && vm.phase == vm_phase::emptying);
        down += !counted && listed != vms.end() && listed->second.under_maintenance ? 1 : 0;
        emptying += vm.phase == vm_phase::emptying ? 1 : 0;
        const bool begun = vm.phase == vm_phase::down || vm.phase == vm_phase::serviced ||
                           vm.phase == vm_phase::left;
        all_begun = all_begun && begun;
    }
    if (all_begun && wave.running_reported && !wave.report_open) {
        wave.report_open = true;
        steps.push_back({wave_step::kind::report_completed, number, {}});
    }
    std::vector<std::pair<std::int64_t, std::string>> next;
    for (auto& [name, vm] : wave.vms) {
        const auto seen = vms.find(name);
        if (seen == vms.end() || !seen->second.up) {
            continue;
        }
        if (vm.phase == vm_phase::waiting) {
            next.emplace_back(effort_of(seen->second), name);
        }
        if (vm.phase != vm_phase::emptying) {
            continue;
        }
        const bool impatient = now - vm.since > this->options.patience;
        const bool empty =
            seen->second.long_running == 0 && (seen->second.other_running == 0 || impatient);
        const bool slot = down < wave.request.max_unavailable || vm.maybe_begun;
        if (empty && slot && now >= vm.retry_at) {
            down += vm.maybe_begun ? 0 : 1;
            --emptying;
            vm.phase = vm_phase::ordered;
            vm.since = now;
            steps.push_back({wave_step::kind::start_maintenance, number, name});
        } else {
            steps.push_back({wave_step::kind::drain_vm, number, name});
        }
    }
    std::sort(next.begin(), next.end());
    const std::int64_t most = wave.request.max_unavailable * (1 + emptied_ahead);
    for (const auto& [effort, name] : next) {
        if (down + emptying >= most) {
            break;
        }
        ++emptying;
        wave.vms[name].phase = vm_phase::emptying;
        wave.vms[name].since = now;
        steps.push_back({wave_step::kind::drain_vm, number, name});
    }
}

void wave_planner::on_order_response(std::int64_t wave, const std::string& vm, order_outcome fate,
                                     common::steady_time now)
{
    const auto found = this->waves.find(wave);
    if (found == this->waves.end()) {
        return;
    }
    vm_progress& progress = found->second.vms[vm];
    switch (fate) {
    case order_outcome::accepted:
        progress = {vm_phase::down, now, {}, false};
        break;
    case order_outcome::permanently_rejected:
        progress = {vm_phase::left, now, {}, false};
        break;
    case order_outcome::try_later:
        progress.phase = vm_phase::emptying;
        progress.retry_at = now + this->options.order_retry;
        break;
    case order_outcome::unknown:
        progress.phase = vm_phase::emptying;
        progress.retry_at = now + this->options.order_retry;
        progress.maybe_begun = true;
        break;
    }
}

void wave_planner::on_report_response(std::int64_t wave, bool completed, bool written)
{
    const auto found = this->waves.find(wave);
    if (found == this->waves.end()) {
        return;
    }
    found->second.report_open = false;
    found->second.running_reported = found->second.running_reported || written;
    found->second.completed_reported = found->second.completed_reported || (completed && written);
}

bool wave_planner::is_draining_or_down(const std::string& vm) const
{
    return std::any_of(this->waves.begin(), this->waves.end(), [&vm](const auto& each) {
        const auto found = each.second.vms.find(vm);
        return found != each.second.vms.end() && !each.second.completed_reported &&
               (found->second.phase == vm_phase::emptying ||
                found->second.phase == vm_phase::ordered || found->second.phase == vm_phase::down);
    });
}

} // namespace chervilslip::maintenance
