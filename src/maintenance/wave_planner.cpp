#include "maintenance/wave_planner.h"

#include <algorithm>
#include <utility>

namespace chervilslip::maintenance {

namespace {

/// While the permitted number of VMs is down, this many times as many are drained, so that they are
/// ready as soon as others are back.
constexpr std::int64_t drained_ahead = 1;

/// A VM counts as gone if no list shows it for this long. A single list may miss it, because its
/// pages are not a snapshot.
constexpr common::milliseconds missing_timeout{4000};

std::int64_t drain_cost(const vm_snapshot& vm)
{
    constexpr std::int64_t long_running_cost = 10;
    return vm.has_worker ? 1 + vm.other_running + long_running_cost * vm.long_running : 0;
}

} // namespace

wave_planner::wave_planner(wave_options timing) : options(timing)
{
}

void wave_planner::update_waves(const std::vector<wave_request>& requested, common::steady_time now)
{
    for (const wave_request& each : requested) {
        const auto [found, added] = this->waves.try_emplace(each.number);
        if (!added) {
            continue;
        }
        found->second.request = each;
        found->second.seen_at = now;
        const restored_progress& before = this->restored[each.number];
        found->second.running_reported = before.completed;
        found->second.completed_reported = before.completed;
        for (const std::string& vm : each.vms) {
            found->second.vms[vm].since = now;
            if (before.started.contains(vm)) {
                found->second.vms[vm].phase =
                    before.completed ? vm_phase::finished : vm_phase::down;
            }
        }
    }
}

void wave_planner::restore(std::int64_t wave, std::set<std::string> started, bool completed,
                           common::steady_time now)
{
    std::set<std::string> unsettled = started;
    this->restored[wave] = {std::move(started), completed, std::move(unsettled), now};
}

bool wave_planner::is_withheld(const vm_progress& vm)
{
    return vm.needs_undrain || vm.phase == vm_phase::draining || vm.phase == vm_phase::ordered ||
           vm.phase == vm_phase::down;
}

bool wave_planner::is_unfinished(const wave_progress& wave)
{
    return !wave.completed_reported ||
           std::any_of(wave.vms.begin(), wave.vms.end(),
                       [](const auto& each) { return is_withheld(each.second); });
}

bool wave_planner::has_unfinished_wave() const
{
    return std::any_of(this->waves.begin(), this->waves.end(),
                       [](const auto& each) { return is_unfinished(each.second); });
}

bool wave_planner::may_be_for_another_wave(std::int64_t wave, const std::string& vm) const
{
    return std::any_of(this->waves.begin(), this->waves.end(),
                       [&](const auto& each) {
                           const auto found = each.second.vms.find(vm);
                           return each.first != wave && found != each.second.vms.end() &&
                                  found->second.phase != vm_phase::finished;
                       }) ||
           std::any_of(this->restored.begin(), this->restored.end(), [&](const auto& each) {
               return each.first != wave && each.second.unsettled.contains(vm);
           });
}

/// A wave is completed once its last maintenance has started, so an earlier owner's record does not
/// tell that it is over.
void wave_planner::settle_earlier_maintenance(const std::map<std::string, vm_snapshot>& vms)
{
    for (auto& [wave, progress] : this->restored) {
        const auto shown_from = progress.restored_at + this->options.list_staleness;
        std::erase_if(progress.unsettled, [&](const std::string& name) {
            const auto listed = vms.find(name);
            return listed != vms.end() && listed->second.up &&
                   listed->second.list_requested_at > shown_from;
        });
    }
}

std::set<std::string> wave_planner::started_vms(std::int64_t wave) const
{
    std::set<std::string> names;
    const auto found = this->waves.find(wave);
    if (found == this->waves.end()) {
        return names;
    }
    for (const auto& [name, vm] : found->second.vms) {
        if (vm.phase == vm_phase::down || vm.phase == vm_phase::finished) {
            names.insert(name);
        }
    }
    return names;
}

std::vector<wave_step> wave_planner::plan(const std::map<std::string, vm_snapshot>& vms,
                                          common::steady_time now)
{
    std::vector<wave_step> steps;
    this->settle_earlier_maintenance(vms);
    for (auto& [number, wave] : this->waves) {
        if (!is_unfinished(wave)) {
            continue;
        }
        undrain_released(wave, steps);
        this->update_from_list(wave, vms, now, steps);
        // A completed wave only releases its VMs.
        if (!wave.completed_reported) {
            this->plan_wave(wave, vms, now, steps);
        }
    }
    return steps;
}

void wave_planner::undrain_released(wave_progress& wave, std::vector<wave_step>& steps)
{
    for (auto& [name, vm] : wave.vms) {
        if (std::exchange(vm.needs_undrain, false)) {
            steps.push_back({wave_step::kind::undrain_vm, wave.request.number, name});
        }
    }
}

void wave_planner::update_missing(vm_progress& vm, common::steady_time list_requested_at,
                                  common::steady_time now)
{
    vm.missing_since = vm.missing_since.value_or(list_requested_at);
    if (vm.phase != vm_phase::finished && list_requested_at - *vm.missing_since > missing_timeout) {
        vm = {vm_phase::excluded, now, {}, false, is_withheld(vm), vm.missing_since};
    }
}

void wave_planner::update_from_list(wave_progress& wave,
                                    const std::map<std::string, vm_snapshot>& vms,
                                    common::steady_time now, std::vector<wave_step>& steps)
{
    if (vms.empty()) {
        return;
    }
    const common::steady_time list_requested_at = vms.begin()->second.list_requested_at;
    for (auto& [name, vm] : wave.vms) {
        const auto listed = vms.find(name);
        if (listed == vms.end()) {
            update_missing(vm, list_requested_at, now);
            continue;
        }
        vm.missing_since.reset();
        // The list tells of an order without an answer, also of an earlier owner's.
        const bool is_expected =
            !wave.completed_reported && vm.phase != vm_phase::down &&
            vm.phase != vm_phase::finished &&
            (vm.phase != vm_phase::ordered || listed->second.list_requested_at > vm.since);
        if (listed->second.under_maintenance && is_expected &&
            !this->may_be_for_another_wave(wave.request.number, name)) {
            vm = {vm_phase::down, now, {}, false, false, {}};
            steps.push_back({wave_step::kind::save_progress, wave.request.number, name});
        }
        const bool maintenance_over =
            now - vm.since >= this->options.maintenance_time &&
            listed->second.list_requested_at >
                vm.since + this->options.maintenance_time + this->options.list_staleness;
        if (vm.phase == vm_phase::down && listed->second.up && maintenance_over) {
            vm.phase = vm_phase::finished;
            vm.since = now;
            // The worker is still the drained one if an earlier owner's order completed the
            // maintenance before.
            steps.push_back({wave_step::kind::undrain_vm, wave.request.number, name});
        }
        if (wave.completed_reported) {
            continue;
        }
        if (vm.phase == vm_phase::excluded ||
            (vm.phase == vm_phase::rejected && now >= vm.retry_at)) {
            vm = {vm_phase::waiting, now, {}, false, false, {}};
        }
    }
}

void wave_planner::plan_wave(wave_progress& wave, const std::map<std::string, vm_snapshot>& vms,
                             common::steady_time now, std::vector<wave_step>& steps)
{
    const std::int64_t number = wave.request.number;
    const std::int64_t max_down = std::clamp<std::int64_t>(
        wave.request.max_unavailable, 0, static_cast<std::int64_t>(wave.vms.size()));
    if (!wave.running_reported && !wave.report_in_flight) {
        wave.report_in_flight = true;
        steps.push_back({wave_step::kind::report_running, number, {}});
    }
    std::int64_t down = 0;
    std::int64_t draining = 0;
    bool all_started = true;
    for (const auto& [name, vm] : wave.vms) {
        down += vm.phase == vm_phase::ordered || vm.phase == vm_phase::down ? 1 : 0;
        down += vm.may_have_started && vm.phase == vm_phase::draining ? 1 : 0;
        // The last order of an earlier owner may be unknown here, but the VM list shows its effect.
        const auto listed = vms.find(name);
        const bool counted = vm.phase == vm_phase::ordered || vm.phase == vm_phase::down ||
                             (vm.may_have_started && vm.phase == vm_phase::draining);
        down += !counted && listed != vms.end() && listed->second.under_maintenance ? 1 : 0;
        draining += vm.phase == vm_phase::draining ? 1 : 0;
        const bool started = vm.phase == vm_phase::down || vm.phase == vm_phase::finished ||
                             vm.phase == vm_phase::excluded;
        all_started = all_started && started;
    }
    if (all_started && wave.running_reported && !wave.report_in_flight) {
        wave.report_in_flight = true;
        steps.push_back({wave_step::kind::report_completed, number, {}});
    }
    std::vector<std::pair<std::int64_t, std::string>> candidates;
    for (auto& [name, vm] : wave.vms) {
        const auto listed = vms.find(name);
        if (listed == vms.end() || !listed->second.up) {
            continue;
        }
        if (vm.phase == vm_phase::waiting) {
            candidates.emplace_back(drain_cost(listed->second), name);
        }
        if (vm.phase != vm_phase::draining) {
            continue;
        }
        const bool drain_timed_out = now - vm.since > this->options.drain_timeout;
        const bool empty = listed->second.long_running == 0 &&
                           (listed->second.other_running == 0 || drain_timed_out);
        const bool slot = down < max_down || vm.may_have_started;
        if (empty && slot && now >= vm.retry_at) {
            down += vm.may_have_started ? 0 : 1;
            --draining;
            vm.phase = vm_phase::ordered;
            vm.since = now;
            steps.push_back({wave_step::kind::start_maintenance, number, name});
        } else {
            steps.push_back({wave_step::kind::drain_vm, number, name});
        }
    }
    std::sort(candidates.begin(), candidates.end());
    const std::int64_t max_in_progress = max_down * (1 + drained_ahead);
    for (const auto& [cost, name] : candidates) {
        if (down + draining >= max_in_progress) {
            break;
        }
        ++draining;
        wave.vms[name].phase = vm_phase::draining;
        wave.vms[name].since = now;
        steps.push_back({wave_step::kind::drain_vm, number, name});
    }
}

void wave_planner::on_order_response(std::int64_t wave, const std::string& vm,
                                     order_outcome outcome, common::steady_time now)
{
    const auto found = this->waves.find(wave);
    if (found == this->waves.end()) {
        return;
    }
    vm_progress& progress = found->second.vms[vm];
    const bool shown = progress.phase == vm_phase::down || progress.phase == vm_phase::finished;
    if (shown && outcome != order_outcome::permanently_rejected) {
        return; // the VM list has shown that the order was carried out
    }
    switch (outcome) {
    case order_outcome::accepted:
        progress = {vm_phase::down, now, {}, false, false, {}};
        break;
    case order_outcome::permanently_rejected:
        progress = {
            vm_phase::rejected, now, now + this->options.rejected_retry_delay, false, true, {}};
        break;
    case order_outcome::try_later:
        progress.phase = vm_phase::draining;
        progress.retry_at = now + this->options.order_retry_delay;
        break;
    case order_outcome::unknown:
        progress.phase = vm_phase::draining;
        progress.retry_at = now + this->options.order_retry_delay;
        progress.may_have_started = true;
        break;
    }
}

void wave_planner::on_report_response(std::int64_t wave, bool completed, bool written)
{
    const auto found = this->waves.find(wave);
    if (found == this->waves.end()) {
        return;
    }
    found->second.report_in_flight = false;
    found->second.running_reported = found->second.running_reported || written;
    found->second.completed_reported = found->second.completed_reported || (completed && written);
}

bool wave_planner::is_draining_or_down(const std::string& vm) const
{
    return std::any_of(this->waves.begin(), this->waves.end(), [&vm](const auto& each) {
        const auto found = each.second.vms.find(vm);
        return found != each.second.vms.end() && is_withheld(found->second);
    });
}

} // namespace chervilslip::maintenance
