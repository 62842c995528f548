// Tasks that crash the workers that start them.
#include <algorithm>

#include "scheduling/placement.h"
#include "scheduling/scheduler.h"

namespace chervilslip::scheduling {

namespace {

/// A held worker that still runs tasks after this time is used as soon as none of them is starting:
/// long-running tasks would block an isolated start forever.
constexpr common::milliseconds isolation_patience{1500};

/// Another worker is held if the task has not been started within this time.
constexpr common::milliseconds max_hold_time{5000};

/// Of the usable workers of a pool, one in this many may be held, and always one.
constexpr std::size_t workers_per_hold = 4;

} // namespace

bool scheduler::is_starting(const worker_state& worker, const jobs::task_id& task) const
{
    const open_run& run = this->open_runs.at(task);
    const bool survived = run.phase == run_phase::running &&
                          worker.clock_read_at - run.confirmed_at >= start_survival_time;
    return run.phase != run_phase::planned && !survived;
}

std::int64_t scheduler::suspicion_of(const active_job& job, const jobs::task_id& task) const
{
    return job.progress.tasks.at(static_cast<std::size_t>(task.occurrence))
               .at(task.step)
               .at(static_cast<std::size_t>(task.index))
               .crashes +
           this->unexplained_losses.count(task);
}

void scheduler::count_crash(const jobs::task_id& task, common::steady_time now)
{
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
    ++progress.crashes;
    const auto run = this->open_runs.find(task);
    if (run != this->open_runs.end()) {
        this->workers.at(run->second.worker.id).suspects.insert(task);
    }
    this->mark_dirty(*job);
    const std::string count = std::to_string(progress.crashes);
    this->record(decision_record::kind::task_lost, task.to_string(),
                 "its worker crashed while starting it, crash " + count + " of at most " +
                     std::to_string(max_crashes));
    if (progress.crashes >= max_crashes) {
        job->history.failure = count + " workers crashed while starting task " + task.to_string();
        this->finish_job(*job, jobs::job_state::failed, now);
    }
}

void scheduler::clear_if_survived(worker_state& worker, active_job& job, const jobs::task_id& task)
{
    if (!worker.suspects.contains(task) || this->is_starting(worker, task)) {
        return;
    }
    worker.suspects.erase(task);
    this->release_hold(task);
    job.progress.tasks.at(static_cast<std::size_t>(task.occurrence))
        .at(task.step)
        .at(static_cast<std::size_t>(task.index))
        .crashes = 0;
    this->mark_dirty(job);
}

bool scheduler::is_suspect_startable(const active_job& job, const jobs::task_id& task,
                                     const ticket_cache* tickets, common::steady_time now)
{
    const std::int64_t suspicion = this->suspicion_of(job, task);
    if (suspicion >= max_crashes) {
        return false; // waits until it is known whether its workers have crashed
    }
    return suspicion < isolation_crashes || this->hold_worker(job, task, tickets, now);
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
    const auto held = std::count_if(usable.begin(), usable.end(), [](const worker_state* each) {
        return each->isolated_task.has_value();
    });
    if (static_cast<std::size_t>(held) >=
        std::max<std::size_t>(usable.size() / workers_per_hold, 1)) {
        return nullptr;
    }
    worker_state* best = nullptr;
    for (worker_state* each : usable) {
        const worker_entry& entry = each->entry;
        const bool allowed = !each->isolated_task &&
                             (step.required_label.empty() || entry.kind == step.required_label ||
                              entry.rack == step.required_label) &&
                             (tickets == nullptr || tickets->tickets.contains(entry.instance.id));
        if (!allowed || (best != nullptr && best->runs.size() <= each->runs.size())) {
            continue;
        }
        teams::resources available = entry.capacity; // once the other tasks have ended
        for (const jobs::task_id& other : each->runs) {
            const jobs::step& other_step = this->jobs_by_id.at(other.job).spec.steps.at(other.step);
            if (other_step.long_running) {
                available -= footprint(other_step);
            }
        }
        if (available.can_fit(footprint(step))) {
            best = each;
        }
    }
    return best;
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
