#include "scheduling/scheduler.h"

#include <algorithm>

#include "scheduling/batch_window.h"

namespace chervilslip::scheduling {

namespace {

/// Maximum number of entries in a store transaction, beside its conditions.
constexpr std::size_t max_batch_entries = 28;
constexpr std::size_t entries_per_progress = 1;
constexpr std::size_t entries_per_closed_job = 4; ///< one item written, up to three deleted

/// Minimum time between journal writes, so that a burst of ended runs needs one write.
constexpr common::milliseconds flush_interval{25};

/// In a fleet of up to this many workers every job and task is logged. In a larger one that would
/// take much of the owner's processor, so a share of the jobs is traced, and those with trouble
/// while the owner keeps up: trouble makes most lines when the owner can least afford them.
constexpr std::size_t max_workers_to_trace_all = 100;
constexpr std::size_t jobs_per_traced_job = 64;

/// Maximum time that a command of an earlier owner can be in flight, over a slow link to a busy
/// worker.
constexpr common::milliseconds max_command_delay{300};

} // namespace

std::string_view to_string(command_outcome value)
{
    switch (value) {
    case command_outcome::accepted:
        return "accepted";
    case command_outcome::fenced:
        return "fenced";
    case command_outcome::stale_run:
        return "stale run";
    case command_outcome::too_late:
        return "too late";
    case command_outcome::no_capacity:
        return "no capacity";
    case command_outcome::no_ticket:
        return "no ticket";
    case command_outcome::malformed:
        return "malformed";
    case command_outcome::unhealthy:
        return "unhealthy";
    case command_outcome::other_instance:
        return "other instance";
    case command_outcome::other_worker:
        return "other worker";
    case command_outcome::not_sent:
        return "not sent";
    case command_outcome::unknown:
        return "unknown";
    }
    return "unknown";
}

std::string_view to_string(end_cause value)
{
    switch (value) {
    case end_cause::done:
        return "done";
    case end_cause::failed:
        return "failed";
    case end_cause::stopped:
        return "stopped";
    case end_cause::lapsed:
        return "lapsed";
    case end_cause::broken:
        return "broken";
    case end_cause::alone:
        return "alone";
    }
    return "stopped";
}

scheduler::scheduler(scheduler_options initial_options)
    : options(initial_options), lanes(std::max<std::size_t>(initial_options.journal_lanes, 1)),
      cold(initial_options.cold), evacuation(initial_options.max_operator_key_age)
{
}

void scheduler::restore(std::vector<stored_job> stored, common::steady_time now,
                        std::int64_t unix_ms)
{
    this->last_now = now;
    this->last_unix_ms = unix_ms;
    this->restored_at = now;
    this->input_confirmed_at = now;
    this->earlier_stops_until = now + this->options.stop_grace + max_command_delay;
    this->recent_crashes = crash_rate(now);
    for (stored_job& each : stored) {
        this->add_job(std::move(each), now);
    }
}

void scheduler::configure(policy new_policy)
{
    if (new_policy.version < this->current_policy.version) {
        return;
    }
    this->current_policy = std::move(new_policy);
    this->known_pools = this->current_policy.pools;
    for (const auto& [name, queue] : this->current_policy.queues) {
        this->known_pools.insert(queue.pool);
    }
    std::map<std::string, double> weights;
    for (const auto& [name, team] : this->current_policy.teams) {
        weights[name] = team.weight;
    }
    this->order.set_weights(std::move(weights));
    this->dispatch_due = true;
}

void scheduler::extend_authority(common::steady_time until)
{
    this->authority_until = std::max(this->authority_until, until);
}

void scheduler::set_batch_window(common::milliseconds window)
{
    // A shorter window shows a lag in which no report goes unread for long.
    if (std::max(window, this->batch_window) >= scheduling::batch_window::longest) {
        this->lagged_at = this->last_now;
    }
    this->batch_window = window;
}

void scheduler::confirm_input(common::steady_time as_of)
{
    this->input_confirmed_at = std::max(this->input_confirmed_at, as_of);
}

bool scheduler::handle_job_notification(const jobs::job& accepted, std::int64_t revision,
                                        common::steady_time now)
{
    // Closed jobs of earlier owners are not known, so only the stored input tells whether an older
    // job is still open.
    if (revision <= this->newest_stale_revision) {
        return false;
    }
    this->submit_job(accepted, now);
    return true;
}

bool scheduler::handle_cancel_notification(const std::string& id, std::int64_t revision,
                                           common::steady_time now)
{
    if (revision <= this->newest_stale_revision) {
        return false;
    }
    this->cancel_job(id, now);
    return true;
}

void scheduler::ignore_notifications_until(std::int64_t revision)
{
    this->newest_stale_revision = std::max(this->newest_stale_revision, revision);
}

bool scheduler::may_start(common::steady_time now) const
{
    const auto& limit = this->options.max_input_age;
    return now < this->authority_until && (!limit || now < this->input_confirmed_at + *limit) &&
           this->evacuation.is_confirmed(now);
}

void scheduler::tick(common::steady_time now, std::int64_t unix_ms)
{
    this->last_now = now;
    this->last_unix_ms = unix_ms;
    this->poll_due_workers(now);
    this->judge_crashes(now);
    this->continue_evacuation(now);
    this->dispatch_if_due(now, this->earliest_dispatch);
    this->flush_journal(now);
}

void scheduler::react(common::steady_time now, std::int64_t unix_ms)
{
    this->last_now = now;
    this->last_unix_ms = unix_ms;
    this->judge_crashes(now);
    this->dispatch_if_due(now, std::max(this->earliest_dispatch, this->earliest_reaction));
    this->flush_journal(now);
}

void scheduler::dispatch_if_due(common::steady_time now, common::steady_time earliest)
{
    const bool due = this->dispatch_due && now >= earliest;
    if (this->may_start(now) && (due || now >= this->next_dispatch)) {
        this->dispatch_due = false;
        this->dispatch(now, this->last_unix_ms);
    }
}

bool scheduler::is_closed(const active_job& job)
{
    if (!jobs::is_final(job.progress.state)) {
        return false;
    }
    return std::all_of(job.counts.begin(), job.counts.end(), [](const auto& steps) {
        return std::all_of(steps.begin(), steps.end(),
                           [](const step_count& each) { return each.open == 0; });
    });
}

journal_lane& scheduler::lane_of(const std::string& job)
{
    return this->lanes[std::hash<std::string>{}(job) % this->lanes.size()];
}

/// A document over the limit would be refused for good, and hold up all jobs of its lane.
std::string scheduler::encode_within_limit(active_job& job)
{
    std::string encoded = encode_progress(job.progress);
    if (encoded.size() <= this->options.max_document_bytes) {
        return encoded;
    }
    const std::string excess = "progress of " + std::to_string(encoded.size()) + " bytes exceeds " +
                               std::to_string(this->options.max_document_bytes);
    for (auto& steps : job.progress.tasks) {
        for (auto& tasks : steps) {
            for (task_progress& each : tasks) {
                each.checkpoint.clear();
            }
        }
    }
    encoded = encode_progress(job.progress);
    if (encoded.size() <= this->options.max_document_bytes) {
        this->record(decision_record::kind::task_lost, job.spec.id,
                     "its checkpoints are dropped: " + excess);
    } else if (!jobs::is_final(job.progress.state)) {
        job.history.failure = excess;
        this->finish_job(job, jobs::job_state::failed, this->last_now);
    }
    return encoded;
}

std::set<std::string> scheduler::collect_changes(journal_lane& lane, journal_write& write)
{
    std::set<std::string> chosen;
    std::size_t entries = 0;
    while (const std::string* front = lane.changed.front()) {
        const std::string id = *front;
        active_job& job = this->jobs_by_id.at(id);
        std::string progress = is_closed(job) ? std::string{} : this->encode_within_limit(job);
        const bool closed = is_closed(job);
        entries += closed ? entries_per_closed_job : entries_per_progress;
        if (entries > max_batch_entries) {
            break;
        }
        lane.changed.pop_front();
        chosen.insert(id);
        document_change change{id, std::move(progress), job.progress.state, closed, {}, {}};
        if (closed) {
            change.progress.clear();
            change.queue = job.spec.queue;
            change.team = job.spec.team;
        }
        write.changes.push_back(std::move(change));
    }
    return chosen;
}

void scheduler::flush_journal(common::steady_time now)
{
    for (std::size_t i = 0; i < this->lanes.size(); ++i) {
        this->flush_lane(i, now);
    }
}

void scheduler::flush_lane(std::size_t number, common::steady_time now)
{
    journal_lane& lane = this->lanes[number];
    const bool full = lane.changed.size() >= max_batch_entries;
    if (lane.batch_in_flight || lane.changed.size() == 0 ||
        (!full && now < lane.last_flush + flush_interval + this->batch_window)) {
        return;
    }
    lane.last_flush = now;
    lane.batch_in_flight = this->next_batch++;
    journal_write write{*lane.batch_in_flight, number, {}};
    const std::set<std::string> chosen = this->collect_changes(lane, write);
    lane.batch_starts.clear();
    for (const document_change& change : write.changes) {
        const auto planned = lane.planned_starts.extract(change.job);
        if (!planned.empty()) {
            std::move(planned.mapped().begin(), planned.mapped().end(),
                      std::back_inserter(lane.batch_starts));
        }
    }
    for (const std::string& job : chosen) {
        const auto reported = lane.workers_of_ends.extract(job);
        if (reported.empty()) {
            continue;
        }
        for (const std::string& id : reported.mapped()) {
            const auto worker = this->workers.find(id);
            if (worker == this->workers.end()) {
                continue;
            }
            for (pending_end& each : worker->second.pending_ends) {
                if (each.batch == 0 && each.job == job) {
                    each.batch = write.batch;
                }
            }
            lane.batch_workers.insert(id);
        }
    }
    lane.batch_changes = write.changes;
    this->actions.emplace_back(std::move(write));
}

void scheduler::handle_journal_commit(std::uint64_t batch, common::steady_time now)
{
    const auto found =
        std::find_if(this->lanes.begin(), this->lanes.end(),
                     [batch](const journal_lane& each) { return each.batch_in_flight == batch; });
    if (found == this->lanes.end()) {
        return;
    }
    journal_lane& lane = *found;
    lane.batch_in_flight.reset();
    for (const document_change& change : lane.batch_changes) {
        const auto job = this->jobs_by_id.find(change.job);
        if (job == this->jobs_by_id.end()) {
            continue;
        }
        if (change.closed) {
            const jobs::job& spec = job->second.spec;
            this->closed_states[change.job] = {change.state, {spec.queue, spec.team}};
            this->jobs_by_id.erase(job);
            lane.changed.remove(change.job);
            continue;
        }
        job->second.final_is_durable = jobs::is_final(change.state);
    }
    for (const std::string& id : std::exchange(lane.batch_workers, {})) {
        const auto worker = this->workers.find(id);
        if (worker == this->workers.end()) {
            continue;
        }
        for (pending_end& each : worker->second.pending_ends) {
            each.durable = each.durable || each.batch == batch;
        }
        worker->second.acknowledge_durable();
        if (!worker->second.poll_in_flight && worker->second.pending_ends.empty()) {
            this->schedule_poll(worker->second, std::min(worker->second.next_poll, now));
        }
    }
    this->send_batch_starts(lane, now);
    this->react(now, this->last_unix_ms);
}

void scheduler::send_batch_starts(journal_lane& lane, common::steady_time now)
{
    for (const auto& [task, number] : std::exchange(lane.batch_starts, {})) {
        const auto run = this->open_runs.find(task);
        if (run != this->open_runs.end() && run->second.run == number &&
            run->second.phase == run_phase::planned) {
            this->send_start(task, run->second, now);
        }
    }
}

std::vector<action> scheduler::take_actions()
{
    return std::exchange(this->actions, {});
}

std::optional<jobs::job_state> scheduler::state_of(const std::string& id) const
{
    const auto active = this->jobs_by_id.find(id);
    if (active != this->jobs_by_id.end()) {
        const active_job& job = active->second;
        if (jobs::is_final(job.progress.state) && !job.final_is_durable) {
            return jobs::job_state::running;
        }
        return job.progress.state;
    }
    const auto closed = this->closed_states.find(id);
    if (closed != this->closed_states.end()) {
        return closed->second.state;
    }
    return std::nullopt;
}

std::optional<jobs::job_state> scheduler::state_of(const std::string& id,
                                                   const jobs::job_scope& caller) const
{
    const auto active = this->jobs_by_id.find(id);
    const auto closed = this->closed_states.find(id);
    const bool is_active = active != this->jobs_by_id.end() &&
                           caller.contains(active->second.spec.queue, active->second.spec.team);
    const bool is_closed =
        closed != this->closed_states.end() &&
        caller.contains(closed->second.scope.queue, closed->second.scope.team.value_or(""));
    return is_active || is_closed ? this->state_of(id) : std::nullopt;
}

std::int64_t scheduler::pending_job_count(const std::string& queue) const
{
    std::int64_t waiting = 0;
    for (const auto& [id, job] : this->jobs_by_id) {
        if (job.spec.queue == queue && job.progress.state == jobs::job_state::pending) {
            ++waiting;
        }
    }
    return waiting;
}

void scheduler::forget_closed_job(const std::string& id)
{
    this->closed_states.erase(id);
}

const worker_map& scheduler::all_workers() const
{
    return this->workers;
}

const scheduler_counters& scheduler::counters() const
{
    return this->totals;
}

bool scheduler::is_fenced() const
{
    return this->fenced;
}

bool scheduler::is_traced(const active_job& job) const
{
    const job_history& history = job.history;
    const bool has_trouble = history.failed + history.lost + history.refused > 0;
    return this->workers.size() <= max_workers_to_trace_all ||
           (has_trouble && this->batch_window.count() == 0) ||
           std::hash<std::string>{}(job.spec.id) % jobs_per_traced_job == 0;
}

bool scheduler::is_trouble_logged(const active_job& job) const
{
    return this->batch_window.count() == 0 || this->is_traced(job);
}

std::string scheduler::describe_end(const active_job& job) const
{
    const job_history& history = job.history;
    const auto since_accepted = [&job](std::int64_t unix_ms) {
        return std::to_string(unix_ms - job.spec.due_ms(0)) + " ms";
    };
    return std::string(jobs::to_string(job.progress.state)) + " after " +
           since_accepted(this->last_unix_ms) + ", first start after " +
           (history.started_ms ? since_accepted(*history.started_ms) : "none") + ", starts " +
           std::to_string(history.starts) + ", failed " + std::to_string(history.failed) +
           ", lost " + std::to_string(history.lost) + ", refused " +
           std::to_string(history.refused) +
           (history.failure.empty() ? std::string{} : ", cause: " + history.failure);
}

std::string scheduler::describe_run(const open_run& run) const
{
    const auto name_of = [](run_phase phase) -> std::string_view {
        switch (phase) {
        case run_phase::planned:
            return "planned";
        case run_phase::sent:
            return "sent";
        case run_phase::unanswered:
            return "start unanswered";
        case run_phase::running:
            return "running";
        case run_phase::inherited:
            return "inherited";
        }
        return "unknown";
    };
    std::string text = "run " + std::to_string(run.run) + " on " + run.worker.id + " (instance " +
                       std::to_string(run.worker.started_at_ms) + "), " +
                       std::string(name_of(run.phase));
    if (run.sent_at != common::steady_time{}) {
        const auto age =
            std::chrono::duration_cast<common::milliseconds>(this->last_now - run.sent_at);
        text += ", sent " + std::to_string(age.count()) + " ms ago";
    }
    if (run.accepted_by != answering_instance::known) {
        text += run.accepted_by == answering_instance::next ? ", accepted by the next instance"
                                                            : ", accepted by either instance";
    }
    return text;
}

void scheduler::record_unexpected(const worker_state& worker, const reported_run& reported)
{
    ++this->totals.runs_unexpected;
    const auto open = this->open_runs.find(reported.task);
    this->record(decision_record::kind::run_unexpected, reported.task.to_string(),
                 "run " + std::to_string(reported.run) + " on " + worker.entry.instance.id +
                     " (instance " + std::to_string(worker.entry.instance.started_at_ms) +
                     ", clock " + std::to_string(worker.clock_ms) + " ms), stopped; expected: " +
                     (open == this->open_runs.end() ? "none" : this->describe_run(open->second)));
}

void scheduler::record(decision_record::kind what, std::string subject, std::string detail)
{
    this->actions.emplace_back(decision_record{what, std::move(subject), std::move(detail)});
}

} // namespace chervilslip::scheduling
