// Reservations for large tasks: what the reservation book is told of the jobs and workers.
#include <algorithm>

#include "scheduling/placement.h"
#include "scheduling/scheduler.h"

namespace chervilslip::scheduling {

namespace {

/// Time from the decision to start a task until it runs: the journal write and the start command.
constexpr common::milliseconds start_delay{100};

/// Workers of a pool that are compared for a reservation, and for each member of a gang. The
/// earliest end among so many is close to the earliest of all.
constexpr std::size_t compared_workers = 32;
constexpr std::size_t compared_per_member = 2;

} // namespace

const reservation_book& scheduler::reserved_places() const
{
    return this->reservations;
}

/// All forecasts of the ends of runs are made here.
common::milliseconds scheduler::forecast_run_time(const active_job& job,
                                                  const jobs::step& step) const
{
    return this->durations.expected(job.spec.queue, step.estimate);
}

worker_forecast scheduler::forecast_worker(const worker_state& worker,
                                           common::steady_time now) const
{
    worker_forecast forecast;
    forecast.worker = worker.entry.instance.id;
    forecast.rack = worker.entry.rack;
    forecast.capacity = worker.entry.capacity;
    forecast.runs.reserve(worker.runs.size());
    for (const jobs::task_id& task : worker.runs) {
        const open_run& run = this->open_runs.at(task);
        const active_job& job = this->jobs_by_id.at(task.job);
        const jobs::step& step = job.spec.steps.at(task.step);
        common::steady_time ends = never_ends;
        if (run.stop_sent) {
            ends = forecast_end(*run.stop_sent, this->options.stop_grace, now);
        } else if (!step.long_running) {
            const auto begun =
                run.phase == run_phase::running ? run.confirmed_at : run.planned_at + start_delay;
            ends = forecast_end(begun, this->forecast_run_time(job, step), now);
        }
        forecast.runs.push_back({ends, footprint(step)});
    }
    return forecast;
}

const pool_capacity& scheduler::reservable_capacity(const std::string& pool)
{
    if (this->reservations.capacity_of(pool) == nullptr) {
        pool_capacity capacity;
        for (const worker_state* each : this->round->usable_in(pool)) {
            const teams::resources& of_worker = each->entry.capacity;
            teams::resources& largest = capacity.largest;
            largest.processors = std::max(largest.processors, of_worker.processors);
            largest.memory_mb = std::max(largest.memory_mb, of_worker.memory_mb);
            largest.accelerators = std::max(largest.accelerators, of_worker.accelerators);
            largest.slots = std::max(largest.slots, of_worker.slots);
            capacity.total += of_worker;
        }
        this->reservations.set_capacity(pool, capacity);
    }
    return *this->reservations.capacity_of(pool);
}

placement_claim scheduler::claim_of(const active_job& job, const jobs::task_id& task,
                                    common::steady_time now)
{
    const jobs::step& step = job.spec.steps.at(task.step);
    placement_claim claim;
    claim.step = {task.job, task.occurrence, task.step};
    claim.pool = this->policy_of(job).pool;
    claim.size = footprint(step);
    claim.ends =
        step.long_running ? never_ends : now + start_delay + this->forecast_run_time(job, step);
    claim.large = step.gang || is_large(claim.size, this->reservable_capacity(claim.pool));
    claim.isolated = this->holds.contains(task);
    return claim;
}

std::optional<placement_claim> scheduler::claim_if_reserved(const active_job& job,
                                                            const jobs::task_id& task,
                                                            common::steady_time now)
{
    if (this->reservations.open().empty()) {
        return std::nullopt;
    }
    return this->claim_of(job, task, now);
}

bool scheduler::may_host_reservation(const active_job& job, const step_id& step,
                                     const worker_state& worker, common::steady_time now) const
{
    const jobs::step& spec = job.spec.steps.at(step.step);
    const std::string& id = worker.entry.instance.id;
    if (!is_usable(worker, now) || worker.isolated_task || worker.on_probation ||
        worker.entry.pool != this->policy_of(job).pool ||
        !has_label(worker.entry, spec.required_label)) {
        return false;
    }
    const auto known = job.tickets.find({step.occurrence, step.step});
    const bool is_denied = this->policy_of(job).advised && known != job.tickets.end() &&
                           known->second.advised.contains(id) &&
                           !known->second.tickets.contains(id);
    return !is_denied;
}

void scheduler::begin_reservations(common::steady_time now)
{
    this->reservations.begin_round(now);
    const bool refreshes = this->reservations.needs_refresh();
    const std::vector<reservation> open = this->reservations.open();
    for (const reservation& each : open) {
        const active_job* job = this->find_job(each.step.job);
        for (const auto& [id, place] : each.places) {
            const auto worker = this->workers.find(id);
            if (worker == this->workers.end() ||
                (job != nullptr &&
                 !this->may_host_reservation(*job, each.step, worker->second, now))) {
                this->reservations.invalidate(id, id + " may not start its tasks any more");
            } else if (refreshes) {
                this->reservations.refresh(this->forecast_worker(worker->second, now));
            }
        }
    }
}

void scheduler::note_blocked(const active_job& job, const jobs::task_id& task)
{
    const jobs::step& step = job.spec.steps.at(task.step);
    if (!this->options.reserves_room || this->suspicion_of(job, task) > 0) {
        return; // a worker is held for a suspect, or it waits until others have been cleared
    }
    if (this->order.is_over_share(this->policy_of(job).pool, job.spec.team)) {
        return; // room is kept for no team that has its share while others wait for theirs
    }
    blocked_step blocked;
    blocked.step = {task.job, task.occurrence, task.step};
    blocked.pool = this->policy_of(job).pool;
    blocked.size = footprint(step);
    blocked.tasks = job.counts.at(static_cast<std::size_t>(task.occurrence)).at(task.step).waiting;
    blocked.gang = step.gang;
    blocked.same_rack = step.same_rack;
    blocked.large = step.gang || is_large(blocked.size, this->reservable_capacity(blocked.pool));
    blocked.run_time = this->forecast_run_time(job, step);
    this->reservations.note_blocked(blocked);
}

std::vector<worker_forecast> scheduler::forecast_workers(const blocked_step& what,
                                                         common::steady_time now)
{
    const active_job& job = *this->find_job(what.step.job);
    const jobs::step& step = job.spec.steps.at(what.step.step);
    std::map<std::string, std::int64_t> on_vm;
    if (step.max_per_vm > 0) {
        const jobs::task_id first{what.step.job, what.step.occurrence, what.step.step, 0};
        for (auto run = this->open_runs.lower_bound(first);
             run != this->open_runs.end() && run->first.job == first.job &&
             run->first.occurrence == first.occurrence && run->first.step == first.step;
             ++run) {
            ++on_vm[run->second.worker.id];
        }
    }
    std::vector<const worker_state*> candidates;
    for (const worker_state* each : this->round->usable_in(what.pool)) {
        const bool is_full_of_step =
            step.max_per_vm > 0 && on_vm[each->entry.instance.id] >= step.max_per_vm;
        if (!is_full_of_step && each->entry.capacity.can_fit(what.size) &&
            this->may_host_reservation(job, what.step, *each, now)) {
            candidates.push_back(each);
        }
    }
    // Few runs end sooner than many, and long-running ones do not end.
    const std::size_t most = std::max(
        compared_workers,
        what.gang ? compared_per_member * static_cast<std::size_t>(what.tasks) : std::size_t{0});
    if (candidates.size() > most) {
        std::nth_element(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(most),
                         candidates.end(), [](const worker_state* left, const worker_state* right) {
                             const bool left_lasts = left->lasting_runs > 0;
                             const bool right_lasts = right->lasting_runs > 0;
                             return left_lasts != right_lasts
                                        ? right_lasts
                                        : left->runs.size() < right->runs.size();
                         });
        candidates.resize(most);
    }
    std::vector<worker_forecast> forecasts;
    forecasts.reserve(candidates.size());
    for (const worker_state* each : candidates) {
        forecasts.push_back(this->forecast_worker(*each, now));
        if (step.max_per_vm > 0) {
            forecasts.back().max_tasks = step.max_per_vm - on_vm[each->entry.instance.id];
        }
    }
    return forecasts;
}

void scheduler::end_reservations(common::steady_time now)
{
    for (const step_id& each : this->reservations.unvisited()) {
        const active_job* job = this->find_job(each.job);
        const bool has_ended = job == nullptr || jobs::is_final(job->progress.state);
        this->reservations.give_up(each,
                                   has_ended ? "its job has ended" : "its tasks may not start now");
    }
    for (const blocked_step& each : this->reservations.take_requests()) {
        this->reservations.reserve(each, this->forecast_workers(each, now));
    }
    for (reservation_event& each : this->reservations.take_events()) {
        using kind = reservation_event::kind;
        const jobs::task_id first{each.step.job, each.step.occurrence, each.step.step, 0};
        this->record(each.event == kind::made   ? decision_record::kind::reservation_made
                     : each.event == kind::used ? decision_record::kind::reservation_used
                                                : decision_record::kind::reservation_given_up,
                     first.to_string(), std::move(each.detail));
    }
}

} // namespace chervilslip::scheduling
