// Tasks that crash the workers that start them.
#include <algorithm>
#include <limits>

#include "scheduling/placement.h"
#include "scheduling/scheduler.h"

namespace chervilslip::scheduling {

namespace {

/// A held worker that still runs tasks after this time is used as soon as none of them is starting:
/// long-running tasks would block an isolated start forever.
constexpr common::milliseconds isolation_patience{1500};

/// Another worker is held if the task has not been started within this time.
constexpr common::milliseconds max_hold_time{5000};

/// Of the usable workers of a pool, one in this many may be held, and always one. Beyond that,
/// workers that other tasks don't need may be held, as long as so many are left.
constexpr std::size_t workers_per_hold = 3;

/// Starts that were sent within this time may arrive in any order.
constexpr common::milliseconds start_order_margin{100};

} // namespace

bool scheduler::is_starting(const worker_state& worker, const jobs::task_id& task) const
{
    const open_run& run = this->open_runs.at(task);
    const task_progress& progress =
        this->jobs_by_id.at(task.job)
            .progress.tasks.at(static_cast<std::size_t>(task.occurrence))
            .at(task.step)
            .at(static_cast<std::size_t>(task.index));
    const bool survived =
        progress.survived || (run.phase == run_phase::running &&
                              worker.last_response_at - run.confirmed_at >= start_survival_time);
    return run.phase != run_phase::planned && !survived;
}

/// A run that may have passed to the next instance is not lost with that one again.
bool scheduler::is_counted(const jobs::task_id& task) const
{
    return this->jobs_by_id.at(task.job)
               .progress.tasks.at(static_cast<std::size_t>(task.occurrence))
               .at(task.step)
               .at(static_cast<std::size_t>(task.index))
               .last_crashed_run == this->open_runs.at(task).run;
}

std::vector<lost_start> scheduler::starting_runs(const worker_state& worker) const
{
    // A response that came after the start shows that the worker was not lost at it.
    const auto is_unanswered = [this, &worker](const jobs::task_id& task) {
        const open_run& run = this->open_runs.at(task);
        return (run.phase == run_phase::sent || run.phase == run_phase::unanswered) &&
               run.sent_at >= worker.last_response_at;
    };
    std::int64_t first_deadline = std::numeric_limits<std::int64_t>::max();
    for (const jobs::task_id& task : worker.runs) {
        if (is_unanswered(task)) {
            first_deadline = std::min(first_deadline, this->open_runs.at(task).start_deadline_ms);
        }
    }
    std::vector<lost_start> starting;
    for (const jobs::task_id& task : worker.runs) {
        // A worker answers in the order of arrival, so it was lost at its first unanswered start,
        // or before.
        const bool was_gone =
            is_unanswered(task) && this->open_runs.at(task).start_deadline_ms >
                                       first_deadline + start_order_margin.count();
        if (!was_gone && this->is_starting(worker, task) && !this->is_counted(task)) {
            // An inherited run may have survived its start under an earlier owner.
            const open_run& run = this->open_runs.at(task);
            const bool has_begun =
                run.phase == run_phase::running && !run.inherited && !run.stop_sent;
            starting.push_back({task, has_begun, run.inherited, run.run, run.sent_at});
        }
    }
    return starting;
}

std::int64_t scheduler::suspicion_of(const active_job& job, const jobs::task_id& task) const
{
    const task_progress& progress = job.progress.tasks.at(static_cast<std::size_t>(task.occurrence))
                                        .at(task.step)
                                        .at(static_cast<std::size_t>(task.index));
    return crash_evidence(progress, job.spec.steps.at(task.step)) +
           this->unexplained_losses.count(task);
}

void scheduler::count_crash(const lost_start& lost, const worker_entry& worker,
                            common::steady_time now)
{
    const jobs::task_id& task = lost.task;
    active_job* job = this->find_job(task.job);
    if (job == nullptr || jobs::is_final(job->progress.state)) {
        return;
    }
    task_progress& progress = job->progress.tasks.at(static_cast<std::size_t>(task.occurrence))
                                  .at(task.step)
                                  .at(static_cast<std::size_t>(task.index));
    if (progress.state == task_progress::phase::done) {
        return;
    }
    if (lost.inherited && job->spec.steps.at(task.step).long_running) {
        return; // it may have run for any time under earlier owners
    }
    progress.last_crashed_run = lost.run;
    ++progress.crashes;
    progress.certain_crashes += lost.begun ? 1 : 0;
    this->counted_crashes.push_back({lost, worker.instance.id, worker.pool, now});
    this->judge_crashes_at = now;
    this->hold_back_if_crashing(*job, task, now);
    const auto run = this->open_runs.find(task);
    if (run != this->open_runs.end()) {
        this->workers.at(run->second.worker.id).suspects.insert(task);
    }
    this->mark_dirty(*job);
    const std::string count = std::to_string(progress.crashes);
    this->record(decision_record::kind::task_lost, task.to_string(),
                 "its worker crashed while starting it, crash " + count);
    this->give_up_if_crashing(*job, now);
}

task_progress* scheduler::progress_of(const jobs::task_id& task)
{
    active_job* job = this->find_job(task.job);
    return job == nullptr ? nullptr
                          : &job->progress.tasks.at(static_cast<std::size_t>(task.occurrence))
                                 .at(task.step)
                                 .at(static_cast<std::size_t>(task.index));
}

bool scheduler::is_judged(const jobs::task_id& task) const
{
    return std::none_of(this->counted_crashes.begin(), this->counted_crashes.end(),
                        [&task](const counted_crash& each) { return each.lost.task == task; });
}

void scheduler::take_back_crash(const counted_crash& crash, bool is_event, common::steady_time now)
{
    task_progress* progress = this->progress_of(crash.lost.task);
    // The count is reset once the task survives a start.
    if (progress == nullptr || progress->crashes == progress->event_crashes ||
        progress->state == task_progress::phase::done) {
        return;
    }
    if (is_event) {
        ++progress->event_crashes;
    } else {
        --progress->crashes;
        progress->certain_crashes -= crash.lost.begun ? 1 : 0;
        progress->last_crashed_run = 0; // the next instance may crash under that run
    }
    active_job& job = this->jobs_by_id.at(crash.lost.task.job);
    this->held_back_until.erase(crash.lost.task);
    this->hold_back_if_crashing(job, crash.lost.task, now);
    const std::int64_t suspicion = this->suspicion_of(job, crash.lost.task);
    const auto run = this->open_runs.find(crash.lost.task);
    if (suspicion == 0 && run != this->open_runs.end()) {
        this->workers.at(run->second.worker.id).suspects.erase(crash.lost.task);
    }
    if (suspicion < isolation_crashes) {
        this->release_hold(crash.lost.task);
    }
    this->mark_dirty(job);
    this->dispatch_due = true;
}

void scheduler::withdraw_crashes_before(const worker_state& worker, std::int64_t clock_ms,
                                        common::steady_time now)
{
    // The instance's clock may start at any value, and wall clocks differ. The instance is no older
    // than either tells.
    const std::int64_t wall_clock_age_ms = this->last_unix_ms - worker.entry.instance.started_at_ms;
    const common::steady_time latest_birth =
        now - common::milliseconds(std::min(clock_ms, wall_clock_age_ms));
    std::erase_if(this->counted_crashes, [&](const counted_crash& each) {
        const bool is_later =
            each.worker == worker.entry.instance.id && each.lost.sent_at > latest_birth;
        if (is_later) {
            this->take_back_crash(each, false, now);
        }
        return is_later;
    });
}

void scheduler::judge_crashes(common::steady_time now)
{
    if (!this->judge_crashes_at || now < *this->judge_crashes_at) {
        return;
    }
    this->judge_crashes_at.reset();
    std::map<std::string, std::size_t> workers_in;
    for (const auto& [id, worker] : this->workers) {
        workers_in[worker.entry.pool] += worker.listed ? 1 : 0;
    }
    std::map<std::string, std::int64_t> taken_back;
    std::set<std::string> judged;
    std::erase_if(this->counted_crashes, [&](const counted_crash& each) {
        const bool is_event = this->recent_crashes.is_part_of_event(each.lost.task.job, each.pool,
                                                                    workers_in[each.pool], each.at);
        const bool is_over = now >= each.at + event_span;
        if (is_event) {
            this->take_back_crash(each, true, now);
            ++taken_back[each.pool];
        }
        if (is_event || is_over) {
            judged.insert(each.lost.task.job);
        }
        return is_event || is_over;
    });
    if (!this->counted_crashes.empty()) {
        this->judge_crashes_at = this->counted_crashes.front().at + event_span;
    }
    for (const auto& [pool, count] : taken_back) {
        this->record(decision_record::kind::task_lost, pool,
                     std::to_string(count) +
                         " crashes under starts were part of an event that hit many workers");
    }
    for (const std::string& id : judged) {
        if (active_job* job = this->find_job(id)) {
            this->give_up_if_crashing(*job, now);
        }
    }
}

/// Returns whether three certain crashes may have another cause than the task. The journal tells
/// how often a task has crashed its workers, not how often others crashed.
bool scheduler::may_be_chance(const jobs::task_id& task, const task_progress& progress,
                              common::steady_time now) const
{
    return !this->recent_crashes.is_known(now) ||
           this->recent_crashes.explains(task, progress.crashes, this->workers.size(), now);
}

void scheduler::give_up_if_crashing(active_job& job, common::steady_time now)
{
    for (std::size_t k = 0; k < job.progress.tasks.size(); ++k) {
        for (std::size_t s = 0; s < job.progress.tasks[k].size(); ++s) {
            for (std::size_t i = 0; i < job.progress.tasks[k][s].size(); ++i) {
                const task_progress& task = job.progress.tasks[k][s][i];
                const jobs::task_id name{job.spec.id, static_cast<std::int64_t>(k), s,
                                         static_cast<std::int64_t>(i)};
                // A start that was not answered may not have reached the worker before it crashed.
                const bool crashes =
                    task.crashes >= max_crashes ||
                    (task.certain_crashes >= max_certain_crashes &&
                     (task.crashes > max_certain_crashes || !this->may_be_chance(name, task, now)));
                if (!crashes || job.spec.steps[s].long_running ||
                    jobs::is_final(job.progress.state) || !this->is_judged(name)) {
                    continue;
                }
                job.history.failure = std::to_string(task.crashes) +
                                      " workers crashed while starting task " + name.to_string();
                this->finish_job(job, jobs::job_state::failed, now);
            }
        }
    }
}

void scheduler::hold_back_if_crashing(const active_job& job, const jobs::task_id& task,
                                      common::steady_time now)
{
    const task_progress& progress = job.progress.tasks.at(static_cast<std::size_t>(task.occurrence))
                                        .at(task.step)
                                        .at(static_cast<std::size_t>(task.index));
    const std::int64_t evidence = crash_evidence(progress, job.spec.steps.at(task.step));
    const bool crashes =
        evidence >= max_crashes ||
        (evidence >= max_certain_crashes && progress.certain_crashes >= max_certain_crashes);
    if (!job.spec.steps.at(task.step).long_running || !crashes ||
        this->recent_crashes.explains(task, evidence, this->workers.size(), now)) {
        return;
    }
    const common::milliseconds delay = delay_after_crash(evidence);
    this->held_back_until[task] = now + delay;
    this->record(decision_record::kind::task_lost, task.to_string(),
                 std::to_string(evidence) + " workers crashed while starting it, held back for " +
                     std::to_string(delay.count()) + " ms");
}

void scheduler::note_unexplained(const std::vector<lost_start>& starts, std::int64_t change)
{
    for (const lost_start& each : starts) {
        active_job* job = this->find_job(each.task.job);
        if (job == nullptr) {
            continue;
        }
        task_progress& progress =
            job->progress.tasks.at(static_cast<std::size_t>(each.task.occurrence))
                .at(each.task.step)
                .at(static_cast<std::size_t>(each.task.index));
        progress.unexplained_losses =
            std::max<std::int64_t>(progress.unexplained_losses + change, 0);
    }
}

void scheduler::clear_if_survived(worker_state& worker, active_job& job, const jobs::task_id& task)
{
    task_progress& progress = job.progress.tasks.at(static_cast<std::size_t>(task.occurrence))
                                  .at(task.step)
                                  .at(static_cast<std::size_t>(task.index));
    const bool is_suspect = worker.suspects.contains(task);
    const bool is_noted = progress.survived || !job.spec.steps.at(task.step).long_running;
    if ((!is_suspect && progress.crashes == 0 && is_noted) || this->is_starting(worker, task) ||
        progress.state != task_progress::phase::open) {
        return;
    }
    worker.suspects.erase(task);
    this->release_hold(task);
    this->held_back_until.erase(task);
    reset_crashes(progress);
    // The next owner does not know how long a task has run.
    progress.survived = job.spec.steps.at(task.step).long_running;
    this->mark_dirty(job);
}

bool scheduler::awaits_judgement(const active_job& job, const jobs::task_id& task) const
{
    const std::int64_t losses = this->unexplained_losses.count(task);
    const task_progress& progress = job.progress.tasks.at(static_cast<std::size_t>(task.occurrence))
                                        .at(task.step)
                                        .at(static_cast<std::size_t>(task.index));
    const bool may_be_given_up =
        !job.spec.steps.at(task.step).long_running && progress.crashes + losses >= max_crashes;
    return (may_be_given_up || this->suspicion_of(job, task) >= max_certain_crashes) &&
           (losses > 0 || !this->is_judged(task));
}

bool scheduler::is_suspect_startable(const active_job& job, const jobs::task_id& task,
                                     const ticket_cache* tickets, common::steady_time now)
{
    const auto held_back = this->held_back_until.find(task);
    if (held_back != this->held_back_until.end() && now < held_back->second) {
        return false;
    }
    return !this->awaits_judgement(job, task) &&
           (this->suspicion_of(job, task) < isolation_crashes ||
            this->hold_worker(job, task, tickets, now));
}

bool scheduler::hold_worker(const active_job& job, const jobs::task_id& task,
                            const ticket_cache* tickets, common::steady_time now)
{
    worker_state* worker = this->held_worker(task);
    if (worker != nullptr &&
        (!is_usable(*worker, now) || worker->entry.pool != this->policy_of(job).pool ||
         now >= worker->isolated_since + max_hold_time)) {
        this->release_hold(task);
        worker = nullptr;
    }
    if (worker == nullptr) {
        worker = this->choose_worker_to_hold(job, task, tickets);
        if (worker == nullptr) {
            return false;
        }
        worker->isolated_task = task;
        worker->isolated_since = now;
        this->holds[task] = worker->entry.instance.id;
    }
    return this->is_quiet(*worker, now);
}

worker_state* scheduler::choose_worker_to_hold(const active_job& job, const jobs::task_id& task,
                                               const ticket_cache* tickets)
{
    const jobs::step& step = job.spec.steps.at(task.step);
    const auto& usable = this->round->usable_in(this->policy_of(job).pool);
    std::size_t held = 0;
    std::size_t held_busy = 0;
    for (const worker_state* each : usable) {
        const bool is_held = each->isolated_task.has_value();
        held += is_held ? 1 : 0;
        const std::size_t own_runs = is_held ? each->runs.count(*each->isolated_task) : 0;
        held_busy += is_held && each->runs.size() > own_runs ? 1 : 0;
    }
    const std::size_t share = std::max<std::size_t>(usable.size() / workers_per_hold, 1);
    const bool may_hold_idle = held < share || held + share < usable.size();
    const bool may_hold_busy =
        may_hold_idle &&
        (held_busy < share || !this->full_pools.contains(this->policy_of(job).pool));
    if (!may_hold_idle) {
        return nullptr;
    }
    worker_state* best = nullptr;
    for (worker_state* each : usable) {
        const worker_entry& entry = each->entry;
        const bool allowed = !each->isolated_task && (may_hold_busy || each->runs.empty()) &&
                             has_label(entry, step.required_label) &&
                             (tickets == nullptr || tickets->tickets.contains(entry.instance.id));
        if (!allowed || (best != nullptr && best->runs.size() <= each->runs.size())) {
            continue;
        }
        if (this->room_beside_lasting_runs(*each).can_fit(footprint(step))) {
            best = each;
        }
    }
    return best;
}

teams::resources scheduler::room_beside_lasting_runs(const worker_state& worker) const
{
    teams::resources room = worker.entry.capacity;
    for (const jobs::task_id& each : worker.runs) {
        const jobs::step& step = this->jobs_by_id.at(each.job).spec.steps.at(each.step);
        if (step.long_running) {
            room -= footprint(step);
        }
    }
    return room;
}

bool scheduler::is_quiet(const worker_state& worker, common::steady_time now) const
{
    return worker.runs.empty() ||
           (now >= worker.isolated_since + isolation_patience &&
            std::none_of(worker.runs.begin(), worker.runs.end(), [&](const jobs::task_id& each) {
                return this->open_runs.at(each).phase == run_phase::planned ||
                       this->is_starting(worker, each);
            }));
}

worker_state* scheduler::held_worker(const jobs::task_id& task)
{
    const auto held = this->holds.find(task);
    if (held == this->holds.end()) {
        return nullptr;
    }
    const auto worker = this->workers.find(held->second);
    const bool is_held = worker != this->workers.end() && worker->second.isolated_task == task;
    return is_held ? &worker->second : nullptr;
}

void scheduler::release_hold(const jobs::task_id& task)
{
    if (worker_state* worker = this->held_worker(task)) {
        worker->isolated_task.reset();
        this->dispatch_due = true;
    }
    this->holds.erase(task);
}

void scheduler::release_expired_holds(common::steady_time now)
{
    std::vector<jobs::task_id> expired;
    for (const auto& [task, id] : this->holds) {
        const worker_state* worker = this->held_worker(task);
        if (worker == nullptr ||
            (now >= worker->isolated_since + max_hold_time && !worker->runs.contains(task))) {
            expired.push_back(task);
        }
    }
    for (const jobs::task_id& task : expired) {
        this->release_hold(task);
    }
}

} // namespace chervilslip::scheduling
