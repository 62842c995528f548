// Life cycle of jobs and of the runs of their tasks.
#include "scheduling/scheduler.h"

#include <algorithm>
#include <limits>

#include "jobs/job_checker.h"

namespace chervilslip::scheduling {

namespace {

/// Reports of workers may name any task.
bool has_task(const jobs::job& job, const jobs::task_id& task)
{
    return task.occurrence >= 0 && task.occurrence < job.occurrences() &&
           task.step < job.steps.size() && task.index >= 0 &&
           task.index < job.steps[task.step].count;
}

/// Returns why a job can't be restored, or an empty text. Other writers and earlier versions may
/// have stored what is never accepted from callers.
std::string find_defect(const stored_job& stored)
{
    if (!stored.defect.empty()) {
        return stored.defect;
    }
    if (const auto checked = jobs::check_job(stored.spec); !checked) {
        return checked.error().to_string();
    }
    if (stored.progress) {
        if (const auto checked = check_progress(*stored.progress, stored.spec); !checked) {
            return checked.error().to_string();
        }
    }
    return {};
}

} // namespace

scheduler::active_job* scheduler::find_job(const std::string& id)
{
    const auto found = this->jobs_by_id.find(id);
    return found == this->jobs_by_id.end() ? nullptr : &found->second;
}

const jobs::queue_policy& scheduler::policy_of(const active_job& job) const
{
    const auto found = this->current_policy.queues.find(job.spec.queue);
    return found == this->current_policy.queues.end() ? job.spec.policy : found->second;
}

void scheduler::mark_dirty(const active_job& job)
{
    this->lane_of(job.spec.id).changed.add(job.spec.id);
}

void scheduler::count_tasks(active_job& job)
{
    job.counts.clear();
    for (const auto& steps : job.progress.tasks) {
        auto& step_counts = job.counts.emplace_back();
        for (const auto& tasks : steps) {
            step_count& counts = step_counts.emplace_back();
            for (const task_progress& each : tasks) {
                counts.waiting += each.state == task_progress::phase::waiting ? 1 : 0;
                const bool may_run =
                    each.state == task_progress::phase::open || each.has_redundant_run();
                counts.open += may_run ? 1 : 0;
                counts.done += each.state == task_progress::phase::done ? 1 : 0;
            }
        }
    }
}

void scheduler::end_unusable_job(stored_job&& stored, const std::string& defect)
{
    const std::string id = stored.spec.id;
    active_job& job = this->jobs_by_id[id];
    job.spec = std::move(stored.spec);
    job.spec.steps.clear();
    job.spec.repeats = 0;
    job.history.failure = defect;
    ++this->totals.jobs_taken;
    const bool cancelled = stored.cancelled || this->pending_cancels.erase(id) > 0;
    this->finish_job(job, cancelled ? jobs::job_state::cancelled : jobs::job_state::failed,
                     this->last_now);
}

void scheduler::add_job(stored_job&& stored, common::steady_time now)
{
    if (const std::string defect = find_defect(stored); !defect.empty()) {
        this->end_unusable_job(std::move(stored), defect);
        return;
    }
    const std::string id = stored.spec.id;
    active_job& job = this->jobs_by_id[id];
    job.spec = std::move(stored.spec);
    if (stored.progress) {
        job.progress = std::move(*stored.progress);
    }
    if (job.progress.tasks.empty() && !jobs::is_final(job.progress.state)) {
        job.progress.tasks = initial_progress(job.spec).tasks;
    }
    this->count_tasks(job);
    job.final_is_durable = jobs::is_final(job.progress.state);
    ++this->totals.jobs_taken;
    for (std::size_t k = 0; k < job.progress.tasks.size(); ++k) {
        for (std::size_t s = 0; s < job.progress.tasks[k].size(); ++s) {
            for (std::size_t i = 0; i < job.progress.tasks[k][s].size(); ++i) {
                const task_progress& task = job.progress.tasks[k][s][i];
                const jobs::task_id name{id, static_cast<std::int64_t>(k), s,
                                         static_cast<std::int64_t>(i)};
                this->hold_back_if_crashing(job, name, now);
                if (task.state != task_progress::phase::open && !task.has_redundant_run()) {
                    continue;
                }
                open_run run;
                run.worker = task.worker;
                run.run = task.run;
                run.phase = run_phase::inherited;
                run.inherited = true;
                run.redundant = task.has_redundant_run();
                run.planned_at = now;
                run.may_arrive_until = now + max_start_flight;
                this->open_runs[name] = run;
                this->team_usage[job.spec.team] += footprint(job.spec.steps[s]);
                worker_state& worker = this->workers[task.worker.id];
                this->workers_by_pool.reset();
                if (worker.entry.instance.id.empty()) {
                    worker.token = fencing_token(this->options.claim, this->ended_instances);
                    worker.entry.instance = task.worker;
                    worker.listed = false;
                    worker.leases_end_by = now + this->options.inherited_lease;
                } else if (task.worker.started_at_ms < worker.entry.instance.started_at_ms) {
                    // The registry names the latest instance, and ends the runs of earlier ones.
                    worker.entry.instance = task.worker;
                }
                if (task.may_begin_late) {
                    worker.leases_end_by =
                        std::max(worker.leases_end_by,
                                 now + max_execution_delay + this->options.longest_lease);
                }
                worker.runs.insert(name);
                worker.lasting_runs += job.spec.steps[s].long_running ? 1 : 0;
                if (crash_evidence(task, job.spec.steps[s]) > 0) {
                    worker.suspects.insert(name);
                }
                worker.used += footprint(job.spec.steps[s]);
            }
        }
    }
    if (stored.cancelled || this->pending_cancels.erase(id) > 0) {
        this->cancel_job(id, now);
    }
    this->give_up_if_crashing(job, now);
    if (jobs::is_final(job.progress.state)) {
        this->stop_all_runs(job, now);
        this->mark_dirty(job);
    }
    this->dispatch_due = true;
}

void scheduler::submit_job(const jobs::job& accepted, common::steady_time now)
{
    if (this->jobs_by_id.contains(accepted.id) || this->closed_states.contains(accepted.id)) {
        return;
    }
    this->add_job({accepted, std::nullopt, false}, now);
    if (this->is_traced(this->jobs_by_id.at(accepted.id))) {
        this->record(decision_record::kind::job_taken, accepted.id,
                     "queue " + accepted.queue + ", team " + accepted.team);
    }
}

void scheduler::cancel_job(const std::string& id, common::steady_time now)
{
    active_job* job = this->find_job(id);
    if (job == nullptr && !this->closed_states.contains(id)) {
        this->pending_cancels.insert(id);
    }
    if (job == nullptr || jobs::is_final(job->progress.state)) {
        return;
    }
    this->finish_job(*job, jobs::job_state::cancelled, now);
}

void scheduler::finish_job(active_job& job, jobs::job_state state, common::steady_time now)
{
    job.progress.state = state;
    job.progress.ended_ms = this->last_unix_ms;
    for (auto held = this->holds.lower_bound({job.spec.id, 0, 0, 0});
         held != this->holds.end() && held->first.job == job.spec.id;) {
        const jobs::task_id task = (held++)->first;
        this->release_hold(task);
    }
    std::erase_if(this->held_back_until,
                  [&job](const auto& each) { return each.first.job == job.spec.id; });
    this->needed_advice.remove_job(job.spec.id);
    this->stop_all_runs(job, now);
    this->mark_dirty(job);
    switch (state) {
    case jobs::job_state::completed:
        ++this->totals.jobs_completed;
        break;
    case jobs::job_state::failed:
        ++this->totals.jobs_failed;
        break;
    default:
        ++this->totals.jobs_cancelled;
        break;
    }
    if (state == jobs::job_state::failed || this->is_trouble_logged(job)) {
        this->record(state == jobs::job_state::cancelled ? decision_record::kind::job_cancelled
                                                         : decision_record::kind::job_ended,
                     job.spec.id, this->describe_end(job));
    }
}

void scheduler::stop_all_runs(active_job& job, common::steady_time now)
{
    const jobs::task_id first{job.spec.id, 0, 0, 0};
    std::vector<jobs::task_id> unsent;
    for (auto run = this->open_runs.lower_bound(first);
         run != this->open_runs.end() && run->first.job == job.spec.id; ++run) {
        if (run->second.phase == run_phase::planned) {
            unsent.push_back(run->first);
        } else {
            this->request_stop(run->first, run->second, now);
        }
    }
    for (const jobs::task_id& task : unsent) {
        this->mark_run_lost(task, "the job ended before the start was sent");
    }
}

bool scheduler::is_step_ready(const active_job& job, std::int64_t occurrence,
                              jobs::step_index step) const
{
    const auto& counts = job.counts.at(static_cast<std::size_t>(occurrence));
    const auto& earlier = job.spec.steps.at(step).after;
    return std::all_of(earlier.begin(), earlier.end(), [&](jobs::step_index each) {
        return counts.at(each).done == job.spec.steps.at(each).count;
    });
}

common::milliseconds scheduler::remaining_critical_path(const active_job& job,
                                                        std::int64_t occurrence) const
{
    const auto& counts = job.counts.at(static_cast<std::size_t>(occurrence));
    std::vector<common::milliseconds> ends(job.spec.steps.size());
    common::milliseconds longest{0};
    for (std::size_t s = 0; s < job.spec.steps.size(); ++s) {
        const jobs::step& step = job.spec.steps[s];
        common::milliseconds begin{0};
        for (const jobs::step_index each : step.after) {
            begin = std::max(begin, ends.at(each));
        }
        const bool done = counts[s].done == step.count;
        ends[s] = begin + (done ? common::milliseconds{0}
                                : this->durations.expected(job.spec.queue, step.estimate));
        longest = std::max(longest, ends[s]);
    }
    return longest;
}

void scheduler::handle_finished_run(worker_state& worker, const finished_run& finished,
                                    common::steady_time now)
{
    active_job* job = this->find_job(finished.task.job);
    if (job != nullptr && !has_task(job->spec, finished.task)) {
        job = nullptr; // a malformed report
    }
    const auto run = this->open_runs.find(finished.task);
    const bool is_expected = job != nullptr && run != this->open_runs.end() &&
                             run->second.run == finished.run &&
                             run->second.worker == worker.entry.instance;
    if (!is_expected && job != nullptr && finished.cause == end_cause::done &&
        this->accept_late_completion(*job, finished, now)) {
        this->add_pending_end(worker, finished, false);
        return;
    }
    if (!is_expected) {
        // The run was given up before, or its job is closed. Nothing depends on the end any more,
        // so it may be acknowledged at once unless the job still has changes that are not durable:
        // this end may be among them, if the worker was forgotten and listed it again.
        journal_lane& lane = this->lane_of(finished.task.job);
        const bool is_unwritten = job != nullptr && lane.changed.contains(finished.task.job);
        const bool is_in_flight = job != nullptr && !is_unwritten && lane.writes(finished.task.job);
        this->add_pending_end(worker, finished, !is_unwritten && !is_in_flight);
        if (is_in_flight) {
            worker.pending_ends.back().batch = *lane.batch_in_flight;
            lane.batch_workers.insert(worker.entry.instance.id);
        }
        return;
    }
    if (finished.cause == end_cause::done) {
        worker.consecutive_failures = 0;
        worker.last_success = now;
        job->failures_by_task.erase(finished.task);
        this->learn_run_time(worker, *job, run->second, finished, now);
    } else if (finished.cause == end_cause::failed) {
        this->charge_failure(*job, finished.task, worker);
        worker.last_failure = now;
    }
    this->end_run(*job, finished.task, finished.cause, finished.checkpoint, now);
    this->add_pending_end(worker, finished, false);
}

/// Charges a failure to the worker, until the task fails on another worker as well: then it is the
/// task's fault.
void scheduler::charge_failure(active_job& job, const jobs::task_id& task, worker_state& worker)
{
    const std::string& id = worker.entry.instance.id;
    charged_failures& charged =
        job.failures_by_task.try_emplace(task, charged_failures{id, 0}).first->second;
    if (charged.worker == id) {
        ++charged.count;
        ++worker.consecutive_failures;
        return;
    }
    const auto earlier = this->workers.find(charged.worker);
    if (earlier != this->workers.end()) {
        earlier->second.consecutive_failures =
            std::max<std::int64_t>(earlier->second.consecutive_failures - charged.count, 0);
    }
    charged = {};
}

void scheduler::add_pending_end(worker_state& worker, const finished_run& finished, bool durable)
{
    worker.pending_ends.push_back({finished.number, finished.task.job, 0, durable});
    if (!durable) {
        this->lane_of(finished.task.job)
            .workers_of_ends[finished.task.job]
            .insert(worker.entry.instance.id);
    }
}

bool scheduler::accept_late_completion(active_job& job, const finished_run& finished,
                                       common::steady_time now)
{
    auto& progress = job.progress.tasks.at(static_cast<std::size_t>(finished.task.occurrence))
                         .at(finished.task.step)
                         .at(static_cast<std::size_t>(finished.task.index));
    const jobs::step& step = job.spec.steps.at(finished.task.step);
    // Also the end of a run with a higher number than any known one: whoever ordered it, the task
    // has been carried out.
    if (jobs::is_final(job.progress.state) || step.long_running || step.gang ||
        progress.state == task_progress::phase::done) {
        return false;
    }
    this->record(decision_record::kind::task_ended, finished.task.to_string(),
                 "done, reported after its lease expired");
    const auto run = this->open_runs.find(finished.task);
    if (run != this->open_runs.end() && run->second.phase != run_phase::planned) {
        this->complete_despite_open_run(job, finished.task, run->second, now);
        return true;
    }
    if (run != this->open_runs.end()) {
        this->mark_run_lost(finished.task, "an earlier run has completed");
    }
    step_count& counts =
        job.counts.at(static_cast<std::size_t>(finished.task.occurrence)).at(finished.task.step);
    --counts.waiting;
    ++counts.open;
    this->complete_task(job, finished.task);
    this->mark_dirty(job);
    this->complete_if_done(job, now);
    return true;
}

void scheduler::complete_despite_open_run(active_job& job, const jobs::task_id& task,
                                          open_run& redundant_run, common::steady_time now)
{
    const auto occurrence = static_cast<std::size_t>(task.occurrence);
    task_progress& progress =
        job.progress.tasks.at(occurrence).at(task.step).at(static_cast<std::size_t>(task.index));
    const bool may_begin_late = progress.may_begin_late;
    progress = {};
    progress.state = task_progress::phase::done;
    progress.may_begin_late = may_begin_late;
    // The redundant run occupies capacity until it has ended, so it stays open, also for a later
    // owner.
    progress.run = redundant_run.run;
    progress.worker = redundant_run.worker;
    ++job.counts.at(occurrence).at(task.step).done;
    redundant_run.redundant = true;
    this->request_stop(task, redundant_run, now);
    this->mark_dirty(job);
    this->complete_if_done(job, now);
}

void scheduler::close_redundant_run(active_job& job, const jobs::task_id& task)
{
    this->close_run(task);
    const auto occurrence = static_cast<std::size_t>(task.occurrence);
    --job.counts.at(occurrence).at(task.step).open;
    task_progress& progress =
        job.progress.tasks.at(occurrence).at(task.step).at(static_cast<std::size_t>(task.index));
    progress = {};
    progress.state = task_progress::phase::done;
    this->mark_dirty(job);
}

void scheduler::close_run(const jobs::task_id& task)
{
    const auto run = this->open_runs.find(task);
    active_job& job = this->jobs_by_id.at(task.job);
    const teams::resources freed = footprint(job.spec.steps.at(task.step));
    this->team_usage[job.spec.team] -= freed;
    const auto worker = this->workers.find(run->second.worker.id);
    if (worker != this->workers.end() && worker->second.runs.erase(task) > 0) {
        worker->second.used -= freed;
        worker->second.lasting_runs -= job.spec.steps.at(task.step).long_running ? 1 : 0;
        worker->second.idle_since = this->last_now;
        worker->second.suspects.erase(task);
        this->drop_run_time(worker->second, task, run->second);
    }
    this->release_hold(task);
    if (run->second.phase == run_phase::planned) {
        this->forget_planned_start(task);
    }
    this->open_runs.erase(run);
    this->dispatch_due = true;
}

void scheduler::forget_planned_start(const jobs::task_id& task)
{
    auto& planned_starts = this->lane_of(task.job).planned_starts;
    const auto planned = planned_starts.find(task.job);
    if (planned == planned_starts.end()) {
        return; // its batch is being written
    }
    std::erase_if(planned->second,
                  [&task](const journal_lane::planned_start& each) { return each.first == task; });
    if (planned->second.empty()) {
        planned_starts.erase(planned);
    }
}

void scheduler::end_run(active_job& job, const jobs::task_id& task, end_cause cause,
                        const std::string& checkpoint, common::steady_time now)
{
    job.history.failed += cause == end_cause::failed ? 1 : 0;
    if (cause == end_cause::done ? this->is_traced(job) : this->is_trouble_logged(job)) {
        this->record(decision_record::kind::task_ended, task.to_string(),
                     std::string(to_string(cause)) + " on " + this->open_runs.at(task).worker.id);
    }
    if (this->open_runs.at(task).redundant) {
        this->close_redundant_run(job, task);
        return;
    }
    const jobs::step& step = job.spec.steps.at(task.step);
    this->close_run(task);
    task_progress& progress = job.progress.tasks.at(static_cast<std::size_t>(task.occurrence))
                                  .at(task.step)
                                  .at(static_cast<std::size_t>(task.index));
    progress.worker = {};
    if (!checkpoint.empty()) {
        progress.checkpoint = checkpoint;
    }
    if (cause == end_cause::done && !step.long_running) {
        ++this->totals.ends_done;
        this->complete_task(job, task);
        this->mark_dirty(job);
        this->complete_if_done(job, now);
        return;
    }
    if (cause == end_cause::done) {
        reset_crashes(progress);
    }
    if (cause == end_cause::failed) {
        ++progress.failures;
        ++this->totals.ends_failed;
    } else {
        ++this->totals.ends_other;
    }
    if (cause == end_cause::lapsed && crash_evidence(progress, step) >= max_certain_crashes) {
        ++progress.crashes; // each further start counts, also one that crashed no worker
        this->hold_back_if_crashing(job, task, now);
    }
    this->requeue_task(job, task);
    this->give_up_if_crashing(job, now);
    const bool attempts_exhausted = progress.failures >= this->policy_of(job).max_attempts;
    if (cause == end_cause::failed && attempts_exhausted && !step.long_running &&
        !jobs::is_final(job.progress.state)) {
        this->finish_job(job, jobs::job_state::failed, now);
    }
}

void scheduler::complete_task(active_job& job, const jobs::task_id& task)
{
    const auto occurrence = static_cast<std::size_t>(task.occurrence);
    auto& tasks = job.progress.tasks.at(occurrence).at(task.step);
    step_count& counts = job.counts.at(occurrence).at(task.step);
    --counts.open;
    ++counts.done;
    job.paths.valid_until = {};
    tasks.at(static_cast<std::size_t>(task.index)) = {};
    tasks.at(static_cast<std::size_t>(task.index)).state = task_progress::phase::done;
    if (!job.spec.steps.at(task.step).gang) {
        return;
    }
    // The completion of one member completes the whole gang.
    for (std::size_t i = 0; i < tasks.size(); ++i) {
        const jobs::task_id member{task.job, task.occurrence, task.step,
                                   static_cast<std::int64_t>(i)};
        if (tasks[i].state == task_progress::phase::done) {
            continue;
        }
        if (this->open_runs.contains(member)) {
            this->close_run(member);
            --counts.open;
        } else {
            --counts.waiting;
        }
        ++counts.done;
        tasks[i] = {};
        tasks[i].state = task_progress::phase::done;
    }
}

void scheduler::requeue_task(active_job& job, const jobs::task_id& task)
{
    const auto occurrence = static_cast<std::size_t>(task.occurrence);
    task_progress& progress =
        job.progress.tasks.at(occurrence).at(task.step).at(static_cast<std::size_t>(task.index));
    step_count& counts = job.counts.at(occurrence).at(task.step);
    progress.state = task_progress::phase::waiting;
    progress.worker = {};
    progress.survived = false;
    --counts.open;
    ++counts.waiting;
    this->mark_dirty(job);
}

void scheduler::complete_if_done(active_job& job, common::steady_time now)
{
    if (jobs::is_final(job.progress.state)) {
        return;
    }
    for (const auto& steps : job.counts) {
        for (std::size_t s = 0; s < steps.size(); ++s) {
            if (steps[s].done != job.spec.steps[s].count) {
                return;
            }
        }
    }
    this->finish_job(job, jobs::job_state::completed, now);
}

void scheduler::mark_run_lost(const jobs::task_id& task, std::string_view why)
{
    const auto run = this->open_runs.find(task);
    if (run == this->open_runs.end()) {
        return;
    }
    active_job& job = this->jobs_by_id.at(task.job);
    if (run->second.phase != run_phase::planned) {
        ++this->totals.runs_lost;
        if (this->is_trouble_logged(job)) {
            this->record(decision_record::kind::task_lost, task.to_string(),
                         std::string(why) + ": " + this->describe_run(run->second));
        }
        ++job.history.lost;
    }
    if (run->second.redundant) {
        this->close_redundant_run(job, task);
        return;
    }
    this->close_run(task);
    this->requeue_task(job, task);
}

std::int64_t scheduler::remaining_processors(const std::string& team) const
{
    const auto found = this->current_policy.teams.find(team);
    if (found == this->current_policy.teams.end() || found->second.limit.processors == 0) {
        return std::numeric_limits<std::int64_t>::max();
    }
    const auto used = this->team_usage.find(team);
    return found->second.limit.processors -
           (used == this->team_usage.end() ? 0 : used->second.processors);
}

std::int64_t scheduler::startable_tasks() const
{
    std::int64_t tasks = 0;
    for (const auto& [id, job] : this->jobs_by_id) {
        if (jobs::is_final(job.progress.state) || job.spec.is_long_running()) {
            continue;
        }
        for (std::size_t k = 0; k < job.counts.size(); ++k) {
            if (job.spec.due_ms(static_cast<std::int64_t>(k)) > this->last_unix_ms) {
                continue;
            }
            for (std::size_t s = 0; s < job.counts[k].size(); ++s) {
                if (this->is_step_ready(job, static_cast<std::int64_t>(k), s)) {
                    tasks += job.counts[k][s].waiting;
                }
            }
        }
    }
    return tasks;
}

std::map<std::string, fleet::pool_demand> scheduler::demand() const
{
    std::map<std::string, fleet::pool_demand> pools;
    std::map<std::string, std::int64_t> remaining_by_team;
    for (const auto& [id, job] : this->jobs_by_id) {
        if (jobs::is_final(job.progress.state)) {
            continue;
        }
        fleet::pool_demand& pool = pools[this->policy_of(job).pool];
        const auto remaining =
            remaining_by_team.try_emplace(job.spec.team, this->remaining_processors(job.spec.team))
                .first;
        for (std::size_t k = 0; k < job.counts.size(); ++k) {
            if (job.spec.due_ms(static_cast<std::int64_t>(k)) > this->last_unix_ms) {
                continue;
            }
            for (std::size_t s = 0; s < job.counts[k].size(); ++s) {
                const step_count& counts = job.counts[k][s];
                const std::int64_t each = footprint(job.spec.steps[s]).processors;
                const bool ready = this->is_step_ready(job, static_cast<std::int64_t>(k), s);
                const std::int64_t waiting =
                    ready ? std::clamp<std::int64_t>(counts.waiting * each, 0,
                                                     std::max<std::int64_t>(remaining->second, 0))
                          : 0;
                remaining->second -= waiting;
                if (job.spec.steps[s].long_running) {
                    pool.long_running += counts.open * each + waiting;
                    pool.long_running_waiting = pool.long_running_waiting || waiting > 0 ||
                                                this->lacks_replacements(this->policy_of(job).pool);
                } else {
                    pool.running += counts.open * each;
                    pool.waiting += waiting;
                }
            }
        }
    }
    return pools;
}

} // namespace chervilslip::scheduling
