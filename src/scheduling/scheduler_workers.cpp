// Worker registry entries, polls, and results of commands.
#include "scheduling/scheduler.h"

#include <unordered_map>

namespace chervilslip::scheduling {

namespace {

/// Pause between polls, so that a burst of ended runs on a busy worker needs one poll.
constexpr common::milliseconds poll_interval{25};

/// Pause between polls while ended runs are not durable yet. These polls only renew leases and do
/// not wait for further ends.
constexpr common::milliseconds uncommitted_poll_interval{400};

/// A worker that did not respond is polled again after this time.
constexpr common::milliseconds poll_retry_interval{250};

/// A worker that rejects a start for lack of capacity or health gets no new tasks for a moment,
/// because the owner's accounting differs from its own.
constexpr common::milliseconds no_capacity_pause{150};
constexpr common::milliseconds unhealthy_pause{700};

/// A poll that is answered so much later than its longest wait was held up on its way.
constexpr common::milliseconds late_answer_margin{500};

/// Maximum wait of a poll to a worker that runs best-effort tasks.
constexpr common::milliseconds throttled_poll_wait{500};

/// All workers are scanned for expired leases and due polls at an interval of a millisecond for so
/// many workers. In between only the polls that are known to become due are looked at.
constexpr std::size_t workers_per_scan_interval_ms = 10;

/// Maximum wait of a poll to a worker on which a suspect is starting, or that is held for one.
constexpr common::milliseconds suspect_poll_wait{300};

/// Maximum wait of a poll to a worker with a start whose fate is open.
constexpr common::milliseconds unsettled_poll_wait{100};

/// A stop command without effect is repeated after this time.
constexpr common::milliseconds stop_retry_interval{600};

} // namespace

worker_state* scheduler::find_worker(const worker_instance& instance)
{
    const auto found = this->workers.find(instance.id);
    if (found == this->workers.end() || found->second.entry.instance != instance) {
        return nullptr;
    }
    return &found->second;
}

void scheduler::update_workers(const std::vector<worker_entry>& entries, common::steady_time now)
{
    // The entry of an ended instance may remain in the registry for seconds. A newer instance on
    // the same VM proves that the earlier one has ended; an entry for a pool that isn't configured
    // may be anybody's and proves nothing.
    std::unordered_map<std::string_view, const worker_entry*> newest_on_vm;
    for (const worker_entry& entry : entries) {
        if (!this->known_pools.contains(entry.pool)) {
            continue;
        }
        const worker_entry*& newest = newest_on_vm[entry.vm];
        if (newest == nullptr || newest->instance.started_at_ms < entry.instance.started_at_ms) {
            newest = &entry;
        }
    }
    const auto successor_of = [&newest_on_vm](const worker_entry& entry) -> const worker_entry* {
        const auto newest = newest_on_vm.find(entry.vm);
        const bool is_ended = !entry.vm.empty() && newest != newest_on_vm.end() &&
                              newest->second->instance.started_at_ms > entry.instance.started_at_ms;
        return is_ended ? newest->second : nullptr;
    };
    ++this->last_listing;
    for (const worker_entry& entry : entries) {
        if (this->known_pools.contains(entry.pool) && successor_of(entry) == nullptr) {
            this->update_worker(entry, now);
        }
    }
    for (auto& [id, known] : this->workers) {
        known.listed = known.listed && known.listing == this->last_listing;
        if (const worker_entry* successor = successor_of(known.entry)) {
            if (std::exchange(known.listed, false)) {
                this->note_crash(known, *successor, {}, now);
            }
            this->mark_runs_lost(known, loss_of_replaced(known, *successor),
                                 "a newer worker instance runs on its VM", now);
        }
    }
    this->dispatch_due = true;
}

void scheduler::note_crash(const worker_state& lost, const worker_entry& successor,
                           const std::vector<lost_start>& explained, common::steady_time now)
{
    if (loss_of_replaced(lost, successor) != worker_loss::crashed) {
        return;
    }
    std::vector<lost_start> starting = this->starting_runs(lost);
    starting.insert(starting.end(), explained.begin(), explained.end());
    const bool is_explained =
        std::any_of(starting.begin(), starting.end(), [this](const lost_start& each) {
            const active_job* job = this->find_job(each.task.job);
            return job != nullptr && this->suspicion_of(*job, each.task) >= isolation_crashes;
        });
    if (!is_explained) {
        this->recent_crashes.add(starting, now, lost.entry.pool);
        this->judge_crashes_at = now;
    }
}

void scheduler::add_run_to(worker_state& worker, const jobs::task_id& task) const
{
    const active_job& job = this->jobs_by_id.at(task.job);
    worker.runs.insert(task);
    worker.lasting_runs += job.spec.steps.at(task.step).long_running ? 1 : 0;
    worker.used += footprint(job.spec.steps.at(task.step));
    if (this->suspicion_of(job, task) > 0) {
        worker.suspects.insert(task);
    }
}

void scheduler::mark_runs_lost(worker_state& worker, worker_loss how, std::string_view why,
                               common::steady_time now, const std::set<jobs::task_id>& kept)
{
    const std::set<jobs::task_id> runs = worker.runs;
    std::vector<lost_start> starting = this->starting_runs(worker);
    // A start that the next instance accepted came after the loss of this one.
    std::erase_if(starting, [this](const lost_start& each) {
        return this->open_runs.at(each.task).accepted_by == answering_instance::next;
    });
    for (const jobs::task_id& task : runs) {
        if (!kept.contains(task)) {
            this->mark_run_lost(task, why);
        }
    }
    if (worker.entry.draining || worker.cordoned || how == worker_loss::planned) {
        return;
    }
    if (how == worker_loss::unexplained) {
        std::erase_if(starting,
                      [&kept](const lost_start& each) { return kept.contains(each.task); });
        this->note_unexplained(starting, 1);
        this->unexplained_losses.add(worker.entry, std::move(starting), now);
        return;
    }
    for (const lost_start& each : starting) {
        this->count_crash(each, worker.entry, now);
    }
}

std::int64_t scheduler::deadline_for(const worker_state& worker, common::steady_time now,
                                     common::milliseconds time) const
{
    const common::steady_time from = std::min(now, this->authority_until);
    return worker.clock_at(from) + time.count();
}

void scheduler::schedule_poll(worker_state& worker, common::steady_time at)
{
    worker.next_poll = at;
    if (at < this->next_scan) {
        this->early_polls.emplace_back(at, worker.entry.instance.id);
    }
}

void scheduler::poll_due_workers(common::steady_time now)
{
    if (now >= this->next_scan) {
        this->next_scan =
            now + common::milliseconds(this->workers.size() / workers_per_scan_interval_ms);
        this->early_polls.clear();
        for (auto& [id, worker] : this->workers) {
            this->poll_if_due(worker, now);
            if (!worker.poll_in_flight && worker.next_poll < this->next_scan) {
                this->early_polls.emplace_back(worker.next_poll, id);
            }
        }
        this->expire_workers(now);
        return;
    }
    const auto first_due =
        std::stable_partition(this->early_polls.begin(), this->early_polls.end(),
                              [now](const auto& each) { return now < each.first; });
    for (auto each = first_due; each != this->early_polls.end(); ++each) {
        const auto worker = this->workers.find(each->second);
        if (worker != this->workers.end()) {
            this->poll_if_due(worker->second, now);
        }
    }
    this->early_polls.erase(first_due, this->early_polls.end());
}

void scheduler::poll_if_due(worker_state& worker, common::steady_time now)
{
    if (worker.poll_in_flight || now < worker.next_poll ||
        (!worker.listed && worker.runs.empty())) {
        return;
    }
    poll_command command;
    command.worker = worker.entry.instance;
    command.address = worker.entry.address;
    // The next instance would forget ends of the same numbers that nobody has read.
    const bool lists_durable_ends = worker.lists_durable_ends() && worker.missed_polls == 0;
    const bool is_report_recent = this->is_report_recent(worker, now);
    if (lists_durable_ends && is_report_recent) {
        command.acknowledged = worker.acknowledged;
    }
    // An unanswered poll may still extend leases later. A poll to an unresponsive worker therefore
    // extends none, or its runs could never be taken as ended.
    if (worker.token_seen && worker.missed_polls == 0) {
        command.deadline_ms = this->deadline_for(worker, now, this->options.lease_duration);
        worker.extend_leases(*command.deadline_ms, now);
        const auto wait = std::min(this->options.poll_wait, worker.poll_wait);
        const bool must_list_again = lists_durable_ends && !is_report_recent;
        command.wait =
            worker.pending_ends.empty() && !must_list_again ? wait : common::milliseconds{0};
        if (!worker.suspects.empty() || worker.isolated_task) {
            command.wait = std::min(command.wait, suspect_poll_wait);
        }
        if (this->has_unsettled_start(worker)) {
            command.wait = std::min(command.wait, unsettled_poll_wait);
        }
        worker.poll_wait = this->options.poll_wait;
    }
    command.token = worker.token;
    worker.poll_in_flight = true;
    worker.poll_sent_at = now;
    this->actions.emplace_back(std::move(command));
}

void scheduler::handle_poll_result(const poll_result& answer, common::steady_time now)
{
    this->last_now = now;
    worker_state* worker = this->find_worker(answer.worker);
    if (worker == nullptr) {
        return;
    }
    worker->poll_in_flight = false;
    if (answer.outcome == command_outcome::fenced) {
        this->fenced = true;
        return;
    }
    if (answer.outcome != command_outcome::accepted) {
        worker->missed_poll_sent_at = answer.sent_at;
    }
    if (answer.outcome == command_outcome::other_worker) {
        // It rejects all commands with the id of this one, also those that are still in flight.
        this->mark_runs_lost(*worker, worker_loss::unexplained,
                             "another worker answers at its address", now);
        this->schedule_poll(*worker, now + poll_retry_interval);
        ++worker->missed_polls;
        return;
    }
    if (answer.outcome == command_outcome::other_instance) {
        const std::set<jobs::task_id> in_flight = this->starts_for_next_instance(*worker);
        this->mark_runs_lost(*worker, worker_loss::unexplained,
                             "another worker instance answers at its address", now, in_flight);
        if (!in_flight.empty()) {
            // An owner that has sent nothing yet doesn't know when its predecessor did, but that it
            // no longer did after the claim had changed hands.
            const common::steady_time sent_at =
                worker->token_seen ? worker->deadline_sent_at : this->restored_at;
            worker->leases_end_by = std::max(
                worker->leases_end_by, sent_at + max_execution_delay + this->options.longest_lease);
        }
        this->schedule_poll(*worker, now + poll_retry_interval);
        ++worker->missed_polls;
        return;
    }
    if (answer.outcome != command_outcome::accepted) {
        if (worker->missed_polls++ == 0) {
            this->record(decision_record::kind::worker_suspected, worker->entry.instance.id,
                         std::string(to_string(answer.outcome)));
        }
        this->schedule_poll(*worker, now + poll_retry_interval);
        return;
    }
    if (worker->missed_polls > 0) {
        this->record(decision_record::kind::worker_trusted, worker->entry.instance.id,
                     "after " + std::to_string(worker->missed_polls) + " missed polls");
    }
    const bool was_unresponsive = worker->missed_polls > 0;
    if (was_unresponsive ||
        now > worker->poll_sent_at + this->options.poll_wait + late_answer_margin) {
        worker_speed::ignore_open(worker->speed); // their ends may be reported late
    }
    worker->missed_polls = 0;
    const bool first = !worker->token_seen;
    worker->token_seen = true;
    if (first) {
        this->withdraw_crashes_before(*worker, answer.report.clock_ms, now);
        // Until now commands with lower tokens could extend the lease of all runs.
        const bool may_receive_earlier_commands =
            this->may_receive_earlier_commands(*worker, answer.report.clock_ms);
        worker->leases_end_by =
            now + (may_receive_earlier_commands
                       ? std::max(this->options.inherited_lease, this->options.longest_lease)
                       : this->options.inherited_lease);
    }
    worker->observe_clock(answer.report.clock_ms, answer.sent_at, now);
    worker->last_response_at = now;
    this->note_unexplained(this->unexplained_losses.take_alive(worker->entry.instance), -1);
    this->handle_ends(*worker, answer.report.finished, now);
    this->reconcile_running(*worker, answer, now);
    this->reconcile_missing(*worker, answer, now);
    if (worker->entry.draining) {
        this->evacuate(worker->entry.instance.id, now);
    }
    this->throttle_best_effort_runs(*worker, now);
    common::milliseconds pause{0};
    if (!first && !was_unresponsive) {
        pause = worker->pending_ends.empty() ? poll_interval + this->batch_window
                                             : uncommitted_poll_interval;
        if (worker->lists_durable_ends() && this->is_report_recent(*worker, now)) {
            pause = common::milliseconds{0}; // acknowledges them in time
        }
    }
    this->schedule_poll(*worker, now + pause);
    this->dispatch_due = this->dispatch_due || first;
}

void scheduler::handle_late_report(const worker_instance& from, const worker_report& report,
                                   common::steady_time now)
{
    this->last_now = now;
    worker_state* worker = this->find_worker(from);
    const bool same_instance =
        report.started_at_ms == 0 || report.started_at_ms == from.started_at_ms;
    if (worker != nullptr && same_instance) {
        this->handle_ends(*worker, report.finished, now);
    }
}

void scheduler::handle_ends(worker_state& worker, const std::vector<finished_run>& finished,
                            common::steady_time now)
{
    worker.first_listed_end =
        finished.empty() ? std::nullopt : std::optional(finished.front().number);
    for (const finished_run& each : finished) {
        if (each.number > worker.last_handled_end) {
            worker.last_handled_end = each.number;
            this->handle_finished_run(worker, each, now);
        }
    }
    worker.acknowledge_durable();
}

void scheduler::reconcile_running(worker_state& worker, const poll_result& answer,
                                  common::steady_time now)
{
    std::set<run_id> unexpected;
    for (const reported_run& reported : answer.report.running) {
        const auto found = this->open_runs.find(reported.task);
        const bool is_expected = found != this->open_runs.end() &&
                                 found->second.run == reported.run &&
                                 found->second.worker == worker.entry.instance;
        if (!is_expected) {
            const auto added = unexpected.insert({reported.task, reported.run}).first;
            if (!worker.unexpected_runs.contains(*added)) {
                this->record_unexpected(worker, reported);
            }
            this->actions.emplace_back(stop_command{worker.entry.instance, worker.entry.address,
                                                    reported.task, reported.run, worker.token});
            continue;
        }
        open_run& run = found->second;
        if (run.phase != run_phase::running) {
            run.phase = run_phase::running;
            run.confirmed_at = now;
            this->begin_run_time(worker, this->jobs_by_id.at(reported.task.job), reported.task, run,
                                 now);
        }
        run.may_arrive_until.reset();
        run.accepted_by = answering_instance::known;
        run.percent = reported.percent;
        run.load = reported.load;
        active_job& job = this->jobs_by_id.at(reported.task.job);
        if (job.progress.state == jobs::job_state::pending) {
            job.progress.state = jobs::job_state::running;
        }
        task_progress& progress =
            job.progress.tasks.at(static_cast<std::size_t>(reported.task.occurrence))
                .at(reported.task.step)
                .at(static_cast<std::size_t>(reported.task.index));
        if (std::exchange(progress.may_begin_late, false)) {
            this->mark_dirty(job);
        }
        if (!reported.checkpoint.empty() && !run.redundant) {
            progress.checkpoint = reported.checkpoint;
        }
        this->clear_if_survived(worker, job, reported.task);
        if (run.redundant || jobs::is_final(job.progress.state)) {
            this->request_stop(reported.task, run, now);
        }
    }
    worker.unexpected_runs = std::move(unexpected);
}

void scheduler::throttle_best_effort_runs(worker_state& worker, common::steady_time now)
{
    std::vector<throttle_input> runs;
    bool has_best_effort = false;
    for (const jobs::task_id& task : worker.runs) {
        const open_run& run = this->open_runs.at(task);
        const jobs::step& step = this->jobs_by_id.at(task.job).spec.steps.at(task.step);
        if (run.phase == run_phase::running) {
            has_best_effort = has_best_effort || step.best_effort;
            runs.push_back(
                {task, run.run, step.best_effort, step.tail_latency_target, run.load, run.percent});
        }
    }
    if (!has_best_effort) {
        return;
    }
    for (const throttle_change& each : this->throttle.plan(worker.entry.instance.id, runs, now)) {
        this->actions.emplace_back(throttle_command{worker.entry.instance, worker.entry.address,
                                                    each.task, each.run, each.percent,
                                                    worker.token});
    }
    // Latencies change within seconds, so such a worker is polled more often.
    worker.poll_wait = throttled_poll_wait;
}

void scheduler::withdraw_start(const active_job& job, const jobs::task_id& task,
                               common::steady_time now)
{
    const jobs::step& step = job.spec.steps.at(task.step);
    this->mark_run_lost(task, "the worker or the owner may not start it any more");
    if (!step.gang) {
        return;
    }
    for (std::int64_t i = 0; i < step.count; ++i) {
        const jobs::task_id member{task.job, task.occurrence, task.step, i};
        const auto run = this->open_runs.find(member);
        if (run == this->open_runs.end()) {
            continue;
        }
        if (run->second.phase == run_phase::planned) {
            this->mark_run_lost(member, "another member of its gang may not be started");
        } else {
            this->request_stop(member, run->second, now);
        }
    }
}

void scheduler::handle_start_result(const command_result& answer, common::steady_time now)
{
    this->last_now = now;
    const auto found = this->open_runs.find(answer.task);
    if (found == this->open_runs.end() || found->second.run != answer.run ||
        found->second.worker != answer.worker || found->second.phase != run_phase::sent) {
        return;
    }
    open_run& run = found->second;
    worker_state* worker = this->find_worker(answer.worker);
    active_job& job = this->jobs_by_id.at(answer.task.job);
    if (answer.outcome == command_outcome::accepted) {
        run.phase = run_phase::running;
        run.confirmed_at = now;
        run.may_arrive_until.reset();
        run.accepted_by = answering_instance::unclear;
        if (worker != nullptr) {
            run.accepted_by = worker->answered_by(answer.clock_ms, run.sent_at, now);
            if (run.accepted_by == answering_instance::next) {
                this->suspect_restart(*worker, answer, now);
            }
            this->begin_run_time(*worker, job, answer.task, run, now);
        }
        if (job.progress.state == jobs::job_state::pending) {
            job.progress.state = jobs::job_state::running;
        }
        if (jobs::is_final(job.progress.state)) {
            this->request_stop(answer.task, run, now);
        }
        return;
    }
    if (this->is_trouble_logged(job)) {
        this->record(decision_record::kind::start_refused, answer.task.to_string(),
                     std::string(to_string(answer.outcome)) + ", clock " +
                         std::to_string(answer.clock_ms) + " ms: " + this->describe_run(run));
    }
    if (answer.outcome == command_outcome::unknown) {
        ++this->totals.starts_unanswered;
        run.phase = run_phase::unanswered;
        if (worker != nullptr) {
            ++worker->missed_polls;
            if (!worker->poll_in_flight) {
                this->schedule_poll(*worker, std::min(worker->next_poll, now));
            }
        }
        return;
    }
    ++this->totals.starts_refused;
    ++job.history.refused;
    this->fenced = this->fenced || answer.outcome == command_outcome::fenced;
    if (worker != nullptr) {
        const bool lacks_capacity = answer.outcome == command_outcome::no_capacity;
        worker->blocked_until = now + (lacks_capacity ? no_capacity_pause : unhealthy_pause);
    }
    this->mark_run_lost(answer.task, to_string(answer.outcome));
}

void scheduler::request_stop(const jobs::task_id& task, open_run& run, common::steady_time now)
{
    if (run.stop_sent && now < *run.stop_sent + stop_retry_interval) {
        return;
    }
    const auto worker = this->workers.find(run.worker.id);
    if (worker == this->workers.end() || worker->second.entry.address.empty()) {
        return;
    }
    run.stop_sent = now;
    this->actions.emplace_back(stop_command{run.worker, worker->second.entry.address, task, run.run,
                                            worker->second.token});
}

void scheduler::handle_stop_result(const command_result& answer, common::steady_time now)
{
    this->last_now = now;
    // A stop for an earlier instance is fenced by the token of the next one, so only polls and
    // starts tell of a newer owner.
    const auto found = this->open_runs.find(answer.task);
    if (answer.outcome != command_outcome::accepted || found == this->open_runs.end() ||
        found->second.run != answer.run || found->second.worker != answer.worker) {
        return;
    }
    if (found->second.phase == run_phase::unanswered) {
        // After the stop the run can not start there any more. The next poll shows whether it had
        // started before. The worker's next instance would know nothing of the stop, so the run
        // stays open until the start can not arrive any more.
        found->second.phase = run_phase::running;
        found->second.confirmed_at = now;
    }
}

void scheduler::set_cordon(const std::string& worker, bool cordoned)
{
    const auto found = this->workers.find(worker);
    if (found != this->workers.end()) {
        if (cordoned && !found->second.cordoned) {
            found->second.cordoned_at = this->last_now;
        }
        found->second.cordoned = cordoned;
    }
}

std::int64_t scheduler::lasting_runs(const std::string& worker) const
{
    const auto found = this->workers.find(worker);
    if (found == this->workers.end()) {
        return 0;
    }
    return std::count_if(
        found->second.runs.begin(), found->second.runs.end(), [this](const jobs::task_id& task) {
            return this->jobs_by_id.at(task.job).spec.steps.at(task.step).long_running;
        });
}

} // namespace chervilslip::scheduling
