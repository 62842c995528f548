// Long-running tasks that are moved to other workers, and zones under evacuation.
#include "scheduling/placement.h"
#include "scheduling/scheduler.h"

namespace chervilslip::scheduling {

namespace {

/// Interval at which long-running tasks are moved on. A pass looks at all workers.
constexpr common::milliseconds evacuation_interval{100};

/// An order to move a VM reaches the platform within this time or never: calls are given up then.
constexpr common::milliseconds max_move_flight{1500};

/// Long-running tasks on a VM that is to be serviced are stopped after this time even if no other
/// worker has room for them. A VM that is lent to their pool arrives within about 2 s; the
/// maintenance of a fleet without room must go on as well.
constexpr common::milliseconds max_replacement_wait{10'000};

/// A pool whose tasks have found no replacement is short of room for this long. Drains are planned
/// more often.
constexpr common::milliseconds replacement_shortage_time{500};

} // namespace

void scheduler::evacuate(const std::string& worker, common::steady_time now)
{
    const auto found = this->workers.find(worker);
    if (found != this->workers.end()) {
        std::set<step_id> exhausted;
        this->stop_lasting_runs(found->second, exhausted, now);
    }
}

void scheduler::stop_lasting_runs(const worker_state& worker, std::set<step_id>& exhausted,
                                  common::steady_time now)
{
    // Disruption budgets do not apply to a draining worker, which would end the tasks anyway.
    const bool is_draining = worker.entry.draining;
    if (worker.lasting_runs == 0 || (!is_draining && now < this->earlier_stops_until)) {
        return;
    }
    const std::set<jobs::task_id> runs = worker.runs;
    for (const jobs::task_id& task : runs) {
        open_run& run = this->open_runs.at(task);
        const active_job& job = this->jobs_by_id.at(task.job);
        if (!job.spec.steps.at(task.step).long_running || run.phase != run_phase::running) {
            continue;
        }
        // All runs at full speed have the same budget. Counting the tasks of a large step again for
        // each of them would take most of a small owner's processor.
        const step_id step{task.job, task.occurrence, task.step};
        const bool is_refused = exhausted.contains(step) && this->is_at_full_speed(run);
        if (!is_draining && (is_refused || !this->is_within_disruption_budget(job, task))) {
            exhausted.insert(step);
            continue;
        }
        if (worker.cordoned && !is_draining && !worker.evacuated &&
            now < worker.cordoned_at + max_replacement_wait &&
            !this->take_replacement(job, task, now)) {
            continue;
        }
        this->request_stop(task, run, now);
    }
}

bool scheduler::take_replacement(const active_job& job, const jobs::task_id& task,
                                 common::steady_time now)
{
    if (!this->replacements || this->replacements_at != now) {
        this->replacements = this->find_replacement_room(now);
        this->replacements_at = now;
    }
    const jobs::step& step = job.spec.steps.at(task.step);
    const std::string& pool = this->policy_of(job).pool;
    const bool taken = this->replacements->take(pool, footprint(step), step.required_label);
    if (!taken) {
        this->replacement_lacked_at[pool] = now;
    }
    return taken;
}

replacement_room scheduler::find_replacement_room(common::steady_time now) const
{
    replacement_room found;
    for (const auto& [id, worker] : this->workers) {
        if (is_usable(worker, now)) {
            found.add(worker.entry, this->room_beside_lasting_runs(worker));
        }
    }
    // Tasks that are waiting or being stopped need room first.
    for (const auto& [id, job] : this->jobs_by_id) {
        for (std::size_t k = 0; k < job.counts.size(); ++k) {
            for (jobs::step_index s = 0; s < job.counts[k].size(); ++s) {
                const jobs::step& step = job.spec.steps[s];
                const bool waits = step.long_running && !jobs::is_final(job.progress.state) &&
                                   this->is_step_ready(job, static_cast<std::int64_t>(k), s);
                for (std::int64_t i = 0; waits && i < job.counts[k][s].waiting; ++i) {
                    found.take(this->policy_of(job).pool, footprint(step), step.required_label);
                }
            }
        }
    }
    for (const auto& [task, run] : this->open_runs) {
        const active_job& job = this->jobs_by_id.at(task.job);
        const jobs::step& step = job.spec.steps.at(task.step);
        if (run.stop_sent && !run.redundant && step.long_running &&
            !jobs::is_final(job.progress.state)) {
            found.take(this->policy_of(job).pool, footprint(step), step.required_label);
        }
    }
    return found;
}

bool scheduler::lacks_replacements(const std::string& pool) const
{
    const auto found = this->replacement_lacked_at.find(pool);
    return found != this->replacement_lacked_at.end() &&
           this->last_now < found->second + replacement_shortage_time;
}

void scheduler::set_evacuated_zones(const evacuated_zones& zones, common::steady_time now)
{
    this->last_now = now;
    if (!this->evacuation.set_requests(zones)) {
        return;
    }
    for (auto& [id, worker] : this->workers) {
        const bool was_evacuated = worker.evacuated;
        worker.evacuated = this->evacuation.is_evacuated(worker.entry.zone);
        if (was_evacuated && !worker.evacuated) {
            worker.idle_since = now; // that it was idle before does not mean that it is not needed
        }
        if (worker.evacuated) {
            this->withdraw_planned_starts(worker, now);
        }
    }
    this->next_evacuation = now;
    this->dispatch_due = true;
}

void scheduler::set_vm_zones(std::set<std::string> zones)
{
    this->evacuation.set_vm_zones(std::move(zones));
}

void scheduler::confirm_operator_keys(common::steady_time as_of)
{
    this->evacuation.confirm(as_of);
}

bool scheduler::may_order_moves(common::steady_time now) const
{
    return this->evacuation.is_confirmed(now + max_move_flight - this->options.start_timeout);
}

void scheduler::withdraw_planned_starts(const worker_state& worker, common::steady_time now)
{
    const std::set<jobs::task_id> runs = worker.runs;
    for (const jobs::task_id& task : runs) {
        const auto run = this->open_runs.find(task); // one of a gang may be withdrawn already
        if (run != this->open_runs.end() && run->second.phase == run_phase::planned) {
            this->withdraw_start(this->jobs_by_id.at(task.job), task, now);
        }
    }
}

void scheduler::continue_evacuation(common::steady_time now)
{
    if (!this->evacuation.is_active() || now < this->next_evacuation) {
        return;
    }
    this->next_evacuation = now + evacuation_interval;
    std::map<std::string, zone_load> loads;
    std::set<step_id> exhausted;
    for (const auto& [id, worker] : this->workers) {
        if (worker.listed || !worker.runs.empty()) {
            zone_load& load = loads[worker.entry.zone];
            load.workers += worker.listed ? 1 : 0;
            load.runs += static_cast<std::int64_t>(worker.runs.size());
        }
        if (worker.evacuated) {
            this->stop_lasting_runs(worker, exhausted, now);
        }
    }
    for (const evacuation_change& each : this->evacuation.observe(loads)) {
        this->record_evacuation(each);
    }
}

void scheduler::record_evacuation(const evacuation_change& change)
{
    using kind = evacuation_change::kind;
    const std::string load = std::to_string(change.load.workers) + " workers, " +
                             std::to_string(change.load.runs) + " runs";
    switch (change.what) {
    case kind::begun:
        this->record(decision_record::kind::evacuation_begun, change.zone, load);
        break;
    case kind::done:
        this->record(decision_record::kind::evacuation_done, change.zone, load);
        break;
    case kind::ended:
        this->record(decision_record::kind::evacuation_ended, change.zone, load);
        break;
    case kind::unknown_zone:
        ++this->totals.evacuations_of_unknown_zones;
        this->record(decision_record::kind::evacuation_unknown, change.zone,
                     "no worker and no VM is in a zone of this name");
        break;
    }
}

} // namespace chervilslip::scheduling
