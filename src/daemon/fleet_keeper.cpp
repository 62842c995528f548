#include "daemon/fleet_keeper.h"

namespace chervilslip::daemon {

namespace {

using common::event_id;

/// Holders that take turns leave at least the platform's lease time between their orders.
constexpr common::milliseconds holder_gap{3300};

/// The list of VMs is read this often while a wave runs, and otherwise.
constexpr common::milliseconds list_period{500};

/// Waves are looked at this often.
constexpr common::milliseconds plan_period{100};

} // namespace

fleet_keeper::fleet_keeper(fleet_parts with, fleet::order_fence under, common::steady_time won_at)
    : parts(with), fence(std::move(under)), orders_from(won_at + holder_gap),
      planner(maintenance::wave_options{})
{
}

void fleet_keeper::configure(std::shared_ptr<const fleet_configuration> newer)
{
    this->configuration = std::move(newer);
}

void fleet_keeper::see_waves(const std::vector<maintenance::wave_request>& waves)
{
    this->planner.see_waves(waves, this->parts.clock.steady_now());
}

void fleet_keeper::tick(common::steady_time now, common::steady_time authority_until)
{
    if (now >= this->next_list && !this->list_open) {
        this->read_list(now);
    }
    if (now < this->next_plan || now < this->orders_from || now >= authority_until ||
        this->vms.empty()) {
        return;
    }
    this->next_plan = now + plan_period;
    for (const maintenance::wave_step& step : this->planner.plan(this->view(), now)) {
        this->carry_out(step, now);
    }
}

void fleet_keeper::read_list(common::steady_time now)
{
    this->list_open = true;
    this->next_list = now + list_period;
    const std::weak_ptr<int> alive = this->life;
    this->parts.machines.list(
        [this, alive, now](common::result<std::vector<fleet::fleet_vm>> listed) {
            if (alive.expired()) {
                return;
            }
            this->list_open = false;
            if (!listed) {
                this->parts.log.write(event_id::vm_list_failed,
                                      {{"error", listed.error().to_string()}});
                return;
            }
            this->vms = std::move(listed.value());
            this->list_asked_at = now;
        });
}

std::map<std::string, maintenance::vm_view> fleet_keeper::view() const
{
    std::map<std::string, maintenance::vm_view> seen;
    for (const fleet::fleet_vm& vm : this->vms) {
        maintenance::vm_view& one = seen[vm.name];
        one.up = vm.state == fleet::vm_state::up;
        one.read_at = this->list_asked_at;
    }
    for (const auto& [id, worker] : this->parts.cell.all_workers()) {
        const auto found = seen.find(worker.entry.vm);
        if (found == seen.end()) {
            continue;
        }
        found->second.has_worker = true;
        const std::int64_t lasting = this->parts.cell.lasting_runs(id);
        found->second.lasting += lasting;
        found->second.others += static_cast<std::int64_t>(worker.runs.size()) - lasting;
    }
    return seen;
}

void fleet_keeper::carry_out(const maintenance::wave_step& step, common::steady_time now)
{
    using kind = maintenance::wave_step::kind;
    switch (step.what) {
    case kind::empty_vm:
    case kind::release_vm:
        for (const auto& [id, worker] : this->parts.cell.all_workers()) {
            if (worker.entry.vm == step.vm && worker.listed) {
                this->parts.cell.set_cordon(id, step.what == kind::empty_vm);
                if (step.what == kind::empty_vm) {
                    this->parts.cell.evacuate(id, now);
                }
            }
        }
        break;
    case kind::service_vm:
        this->order_service(step);
        break;
    case kind::report_running:
    case kind::report_completed:
        this->report(step);
        break;
    }
}

void fleet_keeper::order_service(const maintenance::wave_step& step)
{
    const std::weak_ptr<int> alive = this->life;
    this->parts.machines.service(
        step.vm, step.wave, this->fence, [this, alive, step](fleet::vm_verdict verdict) {
            if (alive.expired()) {
                return;
            }
            using fate = maintenance::wave_planner::order_fate;
            const bool accepted = verdict == fleet::vm_verdict::accepted;
            this->parts.log.write(accepted ? event_id::vm_ordered : event_id::vm_order_failed,
                                  {{"vm", step.vm},
                                   {"wave", step.wave},
                                   {"order", "upkeep"},
                                   {"token", this->fence.token},
                                   {"outcome", fleet::to_string(verdict)}});
            fate what = fate::try_later;
            if (accepted) {
                what = fate::accepted;
            } else if (verdict == fleet::vm_verdict::invalid ||
                       verdict == fleet::vm_verdict::other_wave) {
                what = fate::refused_for_good;
            } else if (verdict == fleet::vm_verdict::unknown) {
                what = fate::unknown;
            }
            this->planner.take_order(step.wave, step.vm, what, this->parts.clock.steady_now());
        });
}

void fleet_keeper::report(const maintenance::wave_step& step)
{
    const bool completed = step.what == maintenance::wave_step::kind::report_completed;
    const std::weak_ptr<int> alive = this->life;
    this->parts.machines.report_wave(
        step.wave, completed, [this, alive, step, completed](common::result<bool> written) {
            if (alive.expired()) {
                return;
            }
            this->parts.log.write(event_id::wave_progress, {{"wave", step.wave},
                                                            {"completed", completed},
                                                            {"written", written.has_value()}});
            this->planner.take_report(step.wave, completed, written.has_value());
        });
}

} // namespace chervilslip::daemon
