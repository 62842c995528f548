// Instances of a worker that follow each other under its id, and the ends of their leases.
#include "scheduling/batch_window.h"
#include "scheduling/scheduler.h"

namespace chervilslip::scheduling {

namespace {

/// The wall clocks of nodes and workers may jump by seconds.
constexpr common::milliseconds max_clock_jump{10'000};

/// An owner learns of a worker's restart within this time, by a poll or the registry, and sends no
/// commands with deadlines on the clock of the earlier instance any more.
constexpr common::milliseconds max_restart_detection_time{4000};

/// Ends are acknowledged only this long after the worker has listed them, which is too short for a
/// restart, and two batch windows more: one until the report is handled, one until the poll is
/// sent.
constexpr common::milliseconds max_acknowledged_report_age{60};

} // namespace

std::set<jobs::task_id> scheduler::runs_on(const worker_instance& instance,
                                           const worker_state& worker) const
{
    std::set<jobs::task_id> found;
    std::copy_if(
        worker.runs.begin(), worker.runs.end(), std::inserter(found, found.end()),
        [&](const jobs::task_id& task) { return this->open_runs.at(task).worker == instance; });
    return found;
}

std::set<jobs::task_id> scheduler::starts_for_next_instance(const worker_state& worker) const
{
    std::set<jobs::task_id> found;
    std::copy_if(worker.runs.begin(), worker.runs.end(), std::inserter(found, found.end()),
                 [&](const jobs::task_id& task) {
                     const open_run& run = this->open_runs.at(task);
                     return run.phase == run_phase::sent || run.phase == run_phase::unanswered ||
                            run.phase == run_phase::inherited || run.may_arrive_until ||
                            run.accepted_by != answering_instance::known;
                 });
    return found;
}

common::steady_time scheduler::leases_on_next_instance(const worker_state& worker) const
{
    return worker.deadline_sent_at + max_start_flight + this->options.longest_lease;
}

/// A start names the worker's id only, so one that is in flight when the worker restarts begins on
/// its next instance, perhaps seconds later. The first report of that instance tells whether it has
/// begun there: the instance has seen a higher token then, and rejects it from then on.
void scheduler::expect_start(worker_state& worker, const jobs::task_id& task)
{
    open_run& run = this->open_runs.at(task);
    active_job& job = this->jobs_by_id.at(task.job);
    run.worker = worker.entry.instance;
    if (run.accepted_by == answering_instance::known && run.phase != run_phase::inherited) {
        run.phase = run_phase::unanswered;
        run.may_arrive_until = run.may_arrive_until.value_or(run.sent_at + max_start_flight);
    }
    task_progress& progress = job.progress.tasks.at(static_cast<std::size_t>(task.occurrence))
                                  .at(task.step)
                                  .at(static_cast<std::size_t>(task.index));
    progress.worker = run.worker;
    progress.may_begin_late = true;
    this->mark_dirty(job);
}

/// The registry names the worker's next instance only seconds later.
void scheduler::suspect_restart(worker_state& worker, const command_result& answer,
                                common::steady_time now)
{
    if (worker.missed_polls++ == 0) {
        this->record(decision_record::kind::worker_suspected, worker.entry.instance.id,
                     "its next instance accepted " + answer.task.to_string() + ", run " +
                         std::to_string(answer.run) + ": its clock shows " +
                         std::to_string(answer.clock_ms) +
                         " ms, that of the known instance shows " +
                         std::to_string(worker.clock_at(now)) + " ms");
    }
    if (!worker.poll_in_flight) {
        this->schedule_poll(worker, std::min(worker.next_poll, now));
    }
}

/// An owner that lags may not have read what a worker reported before its leases ran out, and would
/// start completed tasks again. Such an owner asks once more after the leases have run out.
bool scheduler::is_silence_certain(const worker_state& worker, common::steady_time now) const
{
    const bool lags = this->batch_window >= scheduling::batch_window::longest ||
                      now < this->lagged_at + this->options.lease_duration;
    return !lags || worker.missed_poll_sent_at >= worker.leases_end_by;
}

void scheduler::expire_workers(common::steady_time now)
{
    this->note_unexplained(this->unexplained_losses.take_expired(now), -1);
    this->release_expired_holds(now);
    for (auto each = this->workers.begin(); each != this->workers.end();) {
        worker_state& worker = each->second;
        // An instance that vanished around a change of the owner can not be related to its VM.
        const worker_loss how =
            worker.listing == 0 ? worker_loss::crashed : worker_loss::unexplained;
        const bool is_due = now >= worker.leases_end_by && !worker.runs.empty() &&
                            this->is_silence_certain(worker, now);
        std::set<jobs::task_id> kept;
        if (is_due && now < this->leases_on_next_instance(worker)) {
            kept = this->starts_for_next_instance(worker);
            const bool may_be_gone =
                now >= worker.deadline_sent_at + max_start_flight + this->options.inherited_lease;
            // Without a sign of another instance, a task is not kept waiting for the longest lease.
            std::erase_if(kept, [&](const jobs::task_id& each) {
                return may_be_gone &&
                       this->open_runs.at(each).accepted_by != answering_instance::next;
            });
        }
        const bool has_expired = is_due && kept.size() < worker.runs.size();
        if (has_expired && worker.missed_polls > 0) {
            this->mark_runs_lost(worker, how, "lease expired while the worker did not respond", now,
                                 kept);
        }
        if (has_expired && !worker.token_seen) {
            this->mark_runs_lost(worker, how, "leases of the earlier owner expired", now, kept);
        }
        const bool removable = !worker.listed && worker.runs.empty() && !worker.poll_in_flight;
        if (removable) {
            ++this->ended_instances;
            this->throttle.remove_worker(each->first);
            this->record(decision_record::kind::worker_lost, each->first,
                         "no longer in the registry");
            each = this->workers.erase(each);
            this->workers_by_pool.reset();
        } else {
            ++each;
        }
    }
}

void scheduler::update_worker(const worker_entry& entry, common::steady_time now)
{
    worker_state& known = this->workers[entry.instance.id];
    if (known.listed && known.entry == entry && known.listing != 0) {
        known.listing = this->last_listing;
        return;
    }
    if (known.entry.pool != entry.pool) {
        this->workers_by_pool.reset();
    }
    if (known.entry.instance != entry.instance) {
        if (!known.entry.instance.id.empty()) {
            if (known.entry.instance.started_at_ms > entry.instance.started_at_ms) {
                known.listing = this->last_listing;
                return; // outdated entry of an earlier instance
            }
        }
        const bool is_restart = !known.entry.instance.id.empty();
        std::set<jobs::task_id> kept = this->runs_on(entry.instance, known);
        std::erase_if(known.runs, [&kept](const auto& each) { return kept.contains(each); });
        const std::set<jobs::task_id> in_flight = this->starts_for_next_instance(known);
        std::vector<lost_start> crashed = this->unexplained_losses.take_crashed(entry);
        this->note_unexplained(crashed, -1);
        if (!known.entry.instance.id.empty()) {
            this->note_crash(known, entry, crashed, now);
            this->mark_runs_lost(known, loss_of_replaced(known, entry), "the worker restarted", now,
                                 in_flight);
        }
        const common::steady_time leases_end_by = known.leases_end_by;
        // Commands of an earlier owner may have reached this instance until now.
        const common::steady_time earlier_leases_end_by =
            known.entry.instance.id.empty() || known.token_seen
                ? this->leases_on_next_instance(known)
                : now + this->options.longest_lease;
        const common::steady_time late_leases_end_by =
            (known.token_seen ? known.deadline_sent_at : now) + max_execution_delay +
            this->options.longest_lease;
        this->ended_instances += known.entry.instance.id.empty() ? 0 : 1;
        known = worker_state{};
        known.entry.instance = entry.instance;
        known.token = fencing_token(this->options.claim, this->ended_instances);
        known.leases_end_by = earlier_leases_end_by;
        std::copy_if(in_flight.begin(), in_flight.end(), std::inserter(kept, kept.end()),
                     [this](const jobs::task_id& each) { return this->open_runs.contains(each); });
        for (const jobs::task_id& task : kept) {
            known.leases_end_by = std::max(known.leases_end_by, leases_end_by);
            if (in_flight.contains(task)) {
                known.leases_end_by = std::max(known.leases_end_by, late_leases_end_by);
                this->expect_start(known, task);
            }
            this->add_run_to(known, task);
        }
        known.next_poll = now;
        this->next_scan = now;
        known.idle_since = now;
        this->record(decision_record::kind::worker_added, entry.instance.id,
                     "pool " + entry.pool + ", VM " + entry.vm + ", instance " +
                         std::to_string(entry.instance.started_at_ms) + ", runs kept " +
                         std::to_string(known.runs.size()));
        worker_entry crashed_worker = entry;
        if (!is_restart) {
            // The clock of a worker with a new id tells nothing of when it began.
            crashed_worker.instance = {};
        }
        for (const lost_start& each : crashed) {
            this->count_crash(each, crashed_worker, now);
        }
    }
    const bool began_draining = entry.draining && !known.entry.draining;
    known.entry = entry;
    known.evacuated = this->evacuation.is_evacuated(entry.zone);
    known.listed = true;
    known.listing = this->last_listing;
    if (began_draining) {
        this->evacuate(entry.instance.id, now);
    }
}

/// Commands that were meant for an earlier instance, with deadlines on its clock, are carried out
/// in the first seconds of a worker. Its own clock may start at any value.
bool scheduler::may_receive_earlier_commands(const worker_state& worker,
                                             std::int64_t clock_ms) const
{
    const common::milliseconds age(this->last_unix_ms - worker.entry.instance.started_at_ms);
    return std::min(age - max_clock_jump, common::milliseconds(clock_ms)) <
           max_restart_detection_time + max_execution_delay;
}

bool scheduler::is_report_recent(const worker_state& worker, common::steady_time now) const
{
    return now <= worker.reported_at + max_acknowledged_report_age + 2 * this->batch_window;
}

bool scheduler::has_unsettled_start(const worker_state& worker) const
{
    return std::any_of(worker.runs.begin(), worker.runs.end(), [this](const jobs::task_id& each) {
        const open_run& run = this->open_runs.at(each);
        return run.may_arrive_until && run.phase != run_phase::sent;
    });
}

bool scheduler::has_never_begun(const worker_state& worker, const open_run& run,
                                const poll_result& answer)
{
    const bool was_confirmed =
        run.phase != run_phase::unanswered && run.phase != run_phase::inherited;
    // The worker rejects the start from now on: by the higher token of the poll, or because it is
    // late. The deadline is on the clock of the instance that the start was meant for.
    const bool is_rejected =
        run.token < worker.token || answer.report.clock_ms > run.start_deadline_ms;
    return !was_confirmed && is_rejected;
}

void scheduler::reconcile_missing(worker_state& worker, const poll_result& answer,
                                  common::steady_time now)
{
    if (!answer.report.lists_all_ends) {
        return;
    }
    std::vector<const jobs::task_id*> listed;
    listed.reserve(answer.report.running.size());
    for (const reported_run& reported : answer.report.running) {
        listed.push_back(&reported.task);
    }
    const auto by_task = [](const jobs::task_id* left, const jobs::task_id* right) {
        return *left < *right;
    };
    std::sort(listed.begin(), listed.end(), by_task);
    std::vector<jobs::task_id> lost;
    std::vector<jobs::task_id> withdrawn;
    for (const jobs::task_id& task : worker.runs) {
        if (std::binary_search(listed.begin(), listed.end(), &task, by_task)) {
            continue;
        }
        const open_run& run = this->open_runs.at(task);
        const bool may_arrive = run.may_arrive_until && answer.sent_at <= *run.may_arrive_until;
        const bool ended = run.phase == run_phase::running && answer.sent_at > run.confirmed_at;
        if (!may_arrive && (ended || has_never_begun(worker, run, answer))) {
            lost.push_back(task);
        } else if (run.phase == run_phase::unanswered && answer.sent_at > run.sent_at) {
            withdrawn.push_back(task);
        }
    }
    // Once the worker has accepted the stop it rejects the start, so the task need not wait until
    // the start's deadline.
    for (const jobs::task_id& task : withdrawn) {
        this->request_stop(task, this->open_runs.at(task), now);
    }
    for (const jobs::task_id& task : lost) {
        this->mark_run_lost(task, "not reported by the worker");
    }
}

} // namespace chervilslip::scheduling
