// Workers: their registry entries, looks, and what became of orders.
#include "scheduling/scheduler.h"

namespace chervilslip::scheduling {

namespace {

/// Collects the ends of a busy worker, so that a burst of them costs one look.
constexpr common::milliseconds look_gap{25};

/// While ends wait for the journal, looks renew leases at this period without waiting for ends.
constexpr common::milliseconds look_gap_unwritten{400};

/// A worker that did not answer is asked again after this time.
constexpr common::milliseconds look_retry{250};

/// A worker that refused for want of room or health gets nothing for a moment, because the owner's
/// count differs from its own.
constexpr common::milliseconds no_room_pause{150};
constexpr common::milliseconds unhealthy_pause{700};

/// A worker on which fillers run beside serving tasks is asked this often.
constexpr common::milliseconds watched_wait{500};

/// A stop without effect is repeated.
constexpr common::milliseconds stop_retry{600};

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
    // The entry of an earlier life may stay for seconds; a later one on the same VM proves that
    // the earlier has ended.
    std::map<std::string, worker_instance> newest;
    for (const worker_entry& entry : entries) {
        worker_instance& instance = newest[entry.vm];
        if (instance.started_at_ms <= entry.instance.started_at_ms) {
            instance = entry.instance;
        }
    }
    const auto is_ended = [&newest](const worker_entry& entry) {
        const auto later = newest.find(entry.vm);
        return !entry.vm.empty() && later != newest.end() &&
               later->second.started_at_ms > entry.instance.started_at_ms;
    };
    std::set<std::string> listed;
    for (const worker_entry& entry : entries) {
        if (!is_ended(entry)) {
            listed.insert(entry.instance.id);
            this->see_worker(entry, now);
        }
    }
    for (auto& [id, known] : this->workers) {
        known.listed = known.listed && listed.contains(id);
        if (is_ended(known.entry)) {
            known.listed = false;
            this->lose_runs_of(known, "its VM has a later life");
        }
    }
    this->dispatch_due = true;
}

void scheduler::see_worker(const worker_entry& entry, common::steady_time now)
{
    worker_state& known = this->workers[entry.instance.id];
    if (known.entry.instance != entry.instance) {
        if (!known.entry.instance.id.empty()) {
            if (known.entry.instance.started_at_ms > entry.instance.started_at_ms) {
                return; // an entry of an earlier life
            }
            this->lose_runs_of(known, "worker started anew");
        }
        known = worker_state{};
        known.next_look = now;
        known.idle_since = now;
        this->note(decision_record::kind::worker_added, entry.instance.id,
                   "pool " + entry.pool + ", VM " + entry.vm);
    }
    const bool began_draining = entry.draining && !known.entry.draining;
    known.entry = entry;
    known.listed = true;
    if (began_draining) {
        this->evacuate(entry.instance.id, now);
    }
}

void scheduler::lose_runs_of(worker_state& at, std::string_view why)
{
    const std::set<jobs::task_id> runs = at.runs;
    for (const jobs::task_id& task : runs) {
        this->lose_run(task, why);
    }
}

std::int64_t scheduler::deadline_for(const worker_state& at, common::steady_time now,
                                     common::milliseconds time) const
{
    const common::steady_time from = std::min(now, this->authority_until);
    return at.clock_at(from) + time.count();
}

void scheduler::look_if_due(worker_state& at, common::steady_time now)
{
    if (at.look_open || now < at.next_look || (!at.listed && at.runs.empty())) {
        return;
    }
    poll_command order;
    order.worker = at.entry.instance;
    order.address = at.entry.address;
    order.acknowledged = at.acknowledged;
    // A look that is not answered may still extend leases later, so a silent worker is only asked
    // what runs: else its runs could never be taken as ended.
    if (at.token_seen && at.missed_polls == 0) {
        order.deadline_ms = this->deadline_for(at, now, this->options.lease_duration);
        at.extend(*order.deadline_ms);
        const auto wait = std::min(this->options.look_wait, at.look_wait);
        order.wait = at.pending.empty() ? wait : common::milliseconds{0};
        at.look_wait = this->options.look_wait;
    }
    at.look_open = true;
    at.look_sent = now;
    this->actions.emplace_back(std::move(order));
}

void scheduler::handle_poll_result(const poll_result& answer, common::steady_time now)
{
    this->last_now = now;
    worker_state* at = this->find_worker(answer.worker);
    if (at == nullptr) {
        return;
    }
    at->look_open = false;
    if (answer.outcome == command_outcome::fenced) {
        this->fenced = true;
        return;
    }
    if (answer.outcome == command_outcome::other_instance) {
        this->lose_runs_of(*at, "another life answers at its address");
        at->next_look = now + look_retry;
        ++at->missed_polls;
        return;
    }
    if (answer.outcome != command_outcome::accepted) {
        if (at->missed_polls++ == 0) {
            this->note(decision_record::kind::worker_suspected, at->entry.instance.id,
                       std::string(to_string(answer.outcome)));
        }
        at->next_look = now + look_retry;
        return;
    }
    if (at->missed_polls > 0) {
        this->note(decision_record::kind::worker_trusted, at->entry.instance.id,
                   "after " + std::to_string(at->missed_polls) + " missed looks");
    }
    const bool was_silent = at->missed_polls > 0;
    at->missed_polls = 0;
    const bool first = !at->token_seen;
    at->token_seen = true;
    at->clock_ms = answer.report.clock_ms;
    at->clock_read = now;
    for (const finished_run& row : answer.report.finished) {
        if (row.number > at->seen) {
            at->seen = row.number;
            this->handle_end(*at, row, now);
        }
    }
    at->acknowledge_durable();
    this->match_running(*at, answer, now);
    this->match_missing(*at, answer);
    if (at->entry.draining) {
        this->evacuate(at->entry.instance.id, now);
    }
    this->pace_fillers(*at, now);
    at->next_look =
        first || was_silent ? now : now + (at->pending.empty() ? look_gap : look_gap_unwritten);
    this->dispatch_due = this->dispatch_due || first;
}

void scheduler::match_running(worker_state& at, const poll_result& answer, common::steady_time now)
{
    for (const reported_run& row : answer.report.running) {
        const auto found = this->open_runs.find(row.task);
        const bool ours = found != this->open_runs.end() && found->second.run == row.run &&
                          found->second.worker == at.entry.instance;
        if (!ours) {
            this->actions.emplace_back(
                stop_command{at.entry.instance, at.entry.address, row.task, row.run});
            continue;
        }
        open_run& run = found->second;
        if (run.phase != run_phase::running) {
            run.phase = run_phase::running;
            run.confirmed_at = now;
        }
        run.percent = row.percent;
        run.load = row.load;
        active_job& job = this->jobs_by_id.at(row.task.job);
        if (job.progress.state == jobs::job_state::pending) {
            job.progress.state = jobs::job_state::running;
        }
        if (!row.checkpoint.empty() && !run.leftover) {
            job.progress.tasks.at(static_cast<std::size_t>(row.task.occurrence))
                .at(row.task.step)
                .at(static_cast<std::size_t>(row.task.index))
                .checkpoint = row.checkpoint;
        }
        if (run.leftover || jobs::is_final(job.progress.state)) {
            this->request_stop(row.task, run, now);
        }
    }
}

void scheduler::pace_fillers(worker_state& at, common::steady_time now)
{
    std::vector<paced_run> runs;
    bool fills = false;
    for (const jobs::task_id& task : at.runs) {
        const open_run& run = this->open_runs.at(task);
        const jobs::step& step = this->jobs_by_id.at(task.job).spec.steps.at(task.step);
        if (run.phase == run_phase::running) {
            fills = fills || step.best_effort;
            runs.push_back(
                {task, run.run, step.best_effort, step.tail_latency_target, run.load, run.percent});
        }
    }
    if (!fills) {
        return;
    }
    for (const pace_change& each : this->throttle.plan(at.entry.instance.id, runs, now)) {
        this->actions.emplace_back(throttle_command{at.entry.instance, at.entry.address, each.task,
                                                    each.run, each.percent});
    }
    // Disturbance changes within seconds, so such a worker is asked more often.
    at.look_wait = watched_wait;
}

void scheduler::match_missing(worker_state& at, const poll_result& answer)
{
    std::set<jobs::task_id> listed;
    for (const reported_run& row : answer.report.running) {
        listed.insert(row.task);
    }
    std::vector<jobs::task_id> lost;
    for (const jobs::task_id& task : at.runs) {
        if (listed.contains(task)) {
            continue;
        }
        const open_run& run = this->open_runs.at(task);
        const bool ended = run.phase == run_phase::running && answer.sent_at > run.confirmed_at;
        const bool too_late =
            run.phase == run_phase::unanswered && answer.report.clock_ms > run.start_deadline_ms;
        // The worker has seen this owner's token, so an earlier owner's start is refused now.
        const bool never_began = run.phase == run_phase::inherited;
        if (ended || too_late || never_began) {
            lost.push_back(task);
        }
    }
    for (const jobs::task_id& task : lost) {
        this->lose_run(task, "not among the worker's runs");
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
    worker_state* at = this->find_worker(answer.worker);
    active_job& job = this->jobs_by_id.at(answer.task.job);
    if (answer.outcome == command_outcome::accepted) {
        run.phase = run_phase::running;
        run.confirmed_at = now;
        if (job.progress.state == jobs::job_state::pending) {
            job.progress.state = jobs::job_state::running;
        }
        if (jobs::is_final(job.progress.state)) {
            this->request_stop(answer.task, run, now);
        }
        return;
    }
    this->note(decision_record::kind::start_refused, answer.task.to_string(),
               std::string(to_string(answer.outcome)) + " by " + answer.worker.id);
    if (answer.outcome == command_outcome::unknown) {
        ++this->counted.starts_unanswered;
        run.phase = run_phase::unanswered;
        if (at != nullptr) {
            ++at->missed_polls;
        }
        return;
    }
    ++this->counted.starts_refused;
    this->fenced = this->fenced || answer.outcome == command_outcome::fenced;
    if (at != nullptr) {
        const bool room = answer.outcome == command_outcome::no_capacity;
        at->blocked_until = now + (room ? no_room_pause : unhealthy_pause);
    }
    this->lose_run(answer.task, to_string(answer.outcome));
}

void scheduler::request_stop(const jobs::task_id& task, open_run& which, common::steady_time now)
{
    if (which.stop_sent && now < *which.stop_sent + stop_retry) {
        return;
    }
    const auto at = this->workers.find(which.worker.id);
    if (at == this->workers.end() || at->second.entry.address.empty()) {
        return;
    }
    which.stop_sent = now;
    this->actions.emplace_back(
        stop_command{which.worker, at->second.entry.address, task, which.run});
}

void scheduler::handle_stop_result(const command_result& answer, common::steady_time now)
{
    this->last_now = now;
    if (answer.outcome == command_outcome::fenced) {
        this->fenced = true;
        return;
    }
    const auto found = this->open_runs.find(answer.task);
    if (answer.outcome != command_outcome::accepted || found == this->open_runs.end() ||
        found->second.run != answer.run || found->second.worker != answer.worker) {
        return;
    }
    if (found->second.phase == run_phase::unanswered) {
        // After a stop the run can not start there; a look shows whether it had.
        found->second.phase = run_phase::running;
        found->second.confirmed_at = now;
    }
}

void scheduler::drop_silent_workers(common::steady_time now)
{
    for (auto each = this->workers.begin(); each != this->workers.end();) {
        worker_state& at = each->second;
        if (now >= at.runs_until && !at.runs.empty() && at.missed_polls > 0) {
            this->lose_runs_of(at, "lease ran out while the worker was silent");
        }
        if (!at.token_seen && now >= at.runs_until && !at.runs.empty()) {
            this->lose_runs_of(at, "the earlier owner's leases ran out");
        }
        const bool gone = !at.listed && at.runs.empty() && !at.look_open;
        if (gone) {
            this->throttle.forget(each->first);
            this->note(decision_record::kind::worker_lost, each->first, "no longer listed");
            each = this->workers.erase(each);
        } else {
            ++each;
        }
    }
}

void scheduler::set_cordon(const std::string& worker, bool cordoned)
{
    const auto found = this->workers.find(worker);
    if (found != this->workers.end()) {
        found->second.cordoned = cordoned;
    }
}

void scheduler::evacuate(const std::string& worker, common::steady_time now)
{
    const auto found = this->workers.find(worker);
    if (found == this->workers.end()) {
        return;
    }
    // What a worker that leaves would end anyway is not bound by budgets.
    if (!found->second.entry.draining && now < this->earlier_stops_until) {
        return;
    }
    const std::set<jobs::task_id> runs = found->second.runs;
    for (const jobs::task_id& task : runs) {
        const auto run = this->open_runs.find(task);
        const active_job& job = this->jobs_by_id.at(task.job);
        const jobs::step& step = job.spec.steps.at(task.step);
        if (!step.long_running || run->second.phase != run_phase::running) {
            continue;
        }
        if (!found->second.entry.draining && !this->may_take_away(job, task)) {
            continue;
        }
        this->request_stop(task, run->second, now);
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
