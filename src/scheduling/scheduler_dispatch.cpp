// Dispatch order of jobs and placement of their tasks.
#include "scheduling/placement.h"
#include "scheduling/scheduler.h"

namespace chervilslip::scheduling {

namespace {

/// Waiting tasks are dispatched at this interval even without an event that frees capacity, because
/// occurrences become due and blocked workers become usable.
constexpr common::milliseconds dispatch_interval{100};

/// The minimum gap between dispatch rounds is one millisecond per this many waiting jobs. It leaves
/// the owner most of its time during a backlog, and adds little delay to a job behind hundreds.
constexpr std::int64_t waiting_jobs_per_ms = 20;
constexpr common::milliseconds max_dispatch_gap{50};

/// Minimum gap before a round that an event causes, so that a burst of ended runs needs one round.
/// It grows by a millisecond for so many workers, because a round visits all workers of its pools.
constexpr common::milliseconds reaction_gap{5};
constexpr std::size_t workers_per_ms = 100;

/// A timed occurrence starts this long after its due time, because clocks differ.
constexpr std::int64_t due_margin_ms = 30;

/// Returns whether a task has no constraints beside its size. A constrained task fits nowhere if an
/// unconstrained one of the same size fits nowhere.
bool is_unconstrained(const placement_request& request)
{
    return request.required_label.empty() && request.required_rack.empty() &&
           request.max_per_vm == 0 && !request.retried && !request.isolated_task &&
           request.tickets == nullptr;
}

} // namespace

void scheduler::dispatch(common::steady_time now, std::int64_t unix_ms)
{
    this->next_dispatch = now + dispatch_interval;
    ranked_list ranked_jobs;
    for (auto& [id, job] : this->jobs_by_id) {
        if (jobs::is_final(job.progress.state)) {
            continue;
        }
        if (this->has_dispatchable_step(job)) {
            ranked_jobs.emplace_back(this->rank_of(job, unix_ms), &job);
        }
    }
    std::sort(ranked_jobs.begin(), ranked_jobs.end(), [](const auto& left, const auto& right) {
        return left.first != right.first ? left.first < right.first
                                         : left.second->spec.id < right.second->spec.id;
    });
    const common::milliseconds gap(static_cast<std::int64_t>(ranked_jobs.size()) /
                                   waiting_jobs_per_ms);
    this->earliest_dispatch = now + std::min(gap, max_dispatch_gap);
    this->earliest_reaction = now + reaction_gap + this->batch_window +
                              common::milliseconds(this->workers.size() / workers_per_ms);
    ++this->totals.dispatch_rounds;
    this->totals.jobs_ranked += ranked_jobs.size();
    this->index_pools();
    this->review_speeds(now);
    this->cold.begin_round(this->workers, now);
    this->round.emplace(*this->workers_by_pool, now);
    this->needed_advice.begin_round();
    this->begin_reservations(now);
    this->begin_order(ranked_jobs, now);
    while (const auto number = this->order.next()) {
        active_job* job = ranked_jobs[*number].second;
        for (std::int64_t k = 0; k < job->spec.occurrences(); ++k) {
            if (job->spec.repeats > 0 && job->spec.due_ms(k) + due_margin_ms > unix_ms) {
                break;
            }
            for (jobs::step_index s = 0; s < job->spec.steps.size(); ++s) {
                this->dispatch_step(*job, k, s, now);
            }
        }
    }
    this->end_reservations(now);
    this->end_order();
    this->full_pools = this->round->full_pools();
    this->round.reset();
    this->ask_for_advice(now);
}

bool scheduler::has_dispatchable_step(const active_job& job) const
{
    for (std::size_t k = 0; k < job.counts.size(); ++k) {
        for (jobs::step_index s = 0; s < job.spec.steps.size(); ++s) {
            const step_count& counts = job.counts[k][s];
            const bool is_open_gang = job.spec.steps[s].gang && counts.open > 0;
            if (counts.waiting > 0 && !is_open_gang &&
                this->is_step_ready(job, static_cast<std::int64_t>(k), s)) {
                return true;
            }
        }
    }
    return false;
}

void scheduler::index_pools()
{
    if (this->workers_by_pool) {
        return;
    }
    this->workers_by_pool.emplace();
    for (auto& [id, worker] : this->workers) {
        (*this->workers_by_pool)[worker.entry.pool].push_back(&worker);
    }
}

void scheduler::dispatch_step(active_job& job, std::int64_t occurrence, jobs::step_index step,
                              common::steady_time now)
{
    const auto& counts = job.counts.at(static_cast<std::size_t>(occurrence)).at(step);
    if (counts.waiting == 0 || !this->is_step_ready(job, occurrence, step)) {
        return;
    }
    const teams::resources size = footprint(job.spec.steps[step]);
    if (job.spec.steps[step].gang) {
        if (counts.open == 0 &&
            !this->order.must_yield(total_of(size, job.spec.steps[step].count))) {
            this->place_gang(job, occurrence, step, now);
        }
        return;
    }
    const auto& tasks = job.progress.tasks.at(static_cast<std::size_t>(occurrence)).at(step);
    for (std::size_t i = 0; i < tasks.size(); ++i) {
        if (tasks[i].state != task_progress::phase::waiting) {
            continue;
        }
        if (this->order.must_yield(size)) {
            return;
        }
        const jobs::task_id task{job.spec.id, occurrence, step, static_cast<std::int64_t>(i)};
        // A retried or suspected task has more constraints, so the others may still fit.
        if (!this->place_task(job, task, now) && tasks[i].failures == 0 &&
            this->suspicion_of(job, task) == 0) {
            return;
        }
    }
}

bool scheduler::is_within_team_limit(const std::string& team, const teams::resources& more) const
{
    const auto found = this->current_policy.teams.find(team);
    if (found == this->current_policy.teams.end()) {
        return true;
    }
    teams::resources total = more;
    const auto used = this->team_usage.find(team);
    if (used != this->team_usage.end()) {
        total += used->second;
    }
    const teams::resources& limit = found->second.limit;
    return (limit.processors == 0 || total.processors <= limit.processors) &&
           (limit.memory_mb == 0 || total.memory_mb <= limit.memory_mb) &&
           (limit.accelerators == 0 || total.accelerators <= limit.accelerators);
}

worker_state* scheduler::choose_worker(const active_job& job, const jobs::task_id& task,
                                       const std::map<std::string, teams::resources>& reserved,
                                       const std::string& rack, common::steady_time now,
                                       const ticket_cache* tickets)
{
    const jobs::step& step = job.spec.steps.at(task.step);
    const task_progress& progress = job.progress.tasks.at(static_cast<std::size_t>(task.occurrence))
                                        .at(task.step)
                                        .at(static_cast<std::size_t>(task.index));
    placement_request request;
    request.pool = this->policy_of(job).pool;
    request.size = footprint(step);
    request.required_label = step.required_label;
    request.preferred_rack = step.preferred_rack;
    request.required_rack = rack;
    request.max_per_vm = step.max_per_vm;
    request.spread_racks = step.long_running;
    request.retried = progress.failures > 0 && !step.long_running;
    request.tickets = tickets == nullptr ? nullptr : &tickets->tickets;
    request.suspect = this->suspicion_of(job, task) > 0;
    request.little_slack = job.has_little_slack;
    if (this->holds.contains(task)) {
        request.isolated_task = task;
    }
    this->round->set_lacked_room(!request.isolated_task);
    if (!request.isolated_task && this->round->fits_nowhere(request.pool, request.size) &&
        (!this->round->has_slow_room(request.pool, request.size) || this->has_little_slack(task))) {
        return nullptr;
    }
    request.speed = this->speed_needs_of(task, request);
    const std::optional<placement_claim> claim = this->claim_if_reserved(job, task, now);
    if (claim && this->reservations.refuses(*claim)) {
        return nullptr;
    }
    bool is_withheld = false;
    const jobs::task_id first{task.job, task.occurrence, task.step, 0};
    std::map<std::string, std::int64_t> on_vm;
    std::map<std::string, std::int64_t> on_rack;
    if (request.max_per_vm > 0 || request.spread_racks) {
        for (auto run = this->open_runs.lower_bound(first);
             run != this->open_runs.end() && run->first.job == task.job &&
             run->first.occurrence == task.occurrence && run->first.step == task.step;
             ++run) {
            ++on_vm[run->second.worker.id];
            const auto worker = this->workers.find(run->second.worker.id);
            if (worker != this->workers.end()) {
                ++on_rack[worker->second.entry.rack];
            }
        }
    }
    worker_state* best = nullptr;
    double best_cost = 0;
    for (worker_state* worker : this->round->usable_in(request.pool)) {
        if (!worker->has_room_for(request.size)) {
            continue; // most workers, when it matters
        }
        const std::string& id = worker->entry.instance.id;
        const auto claimed = reserved.find(id);
        const teams::resources claimed_size =
            claimed == reserved.end() ? teams::resources{} : claimed->second;
        std::optional<double> displacement = 0.0;
        if (claim) {
            displacement = this->reservations.cost_of(id, *claim, claimed_size);
        }
        if (!displacement) {
            is_withheld = true;
            continue;
        }
        teams::resources needed = request.size;
        needed += claimed_size;
        if (has_label(worker->entry, request.required_label) && worker->has_room_for(needed)) {
            this->round->set_lacked_room(false);
        }
        const auto same_vm = on_vm.find(id);
        const auto same_rack =
            request.spread_racks ? on_rack.find(worker->entry.rack) : on_rack.end();
        const step_neighbours neighbours{same_vm == on_vm.end() ? 0 : same_vm->second,
                                         same_rack == on_rack.end() ? 0 : same_rack->second};
        const auto cost = placement_cost(*worker, request, neighbours, claimed_size, now);
        if (cost && (best == nullptr || *cost + *displacement < best_cost)) {
            best = worker;
            best_cost = *cost + *displacement;
        }
    }
    if (best == nullptr && reserved.empty() && is_unconstrained(request)) {
        if (is_withheld) {
            this->reservations.note_refused(*claim);
        } else {
            this->round->mark_fits_nowhere(request.pool, request.size);
        }
    }
    if (best != nullptr && request.speed.is_trial) {
        worker_speed::note_trial(best->speed, now);
    }
    return best;
}

bool scheduler::place_task(active_job& job, const jobs::task_id& task, common::steady_time now)
{
    const teams::resources size = footprint(job.spec.steps.at(task.step));
    if (!this->is_within_team_limit(job.spec.team, size)) {
        return false;
    }
    const ticket_cache* tickets = nullptr;
    if (this->policy_of(job).advised) {
        tickets = this->find_tickets(job, task.occurrence, task.step, now);
        if (tickets == nullptr) {
            this->want_tickets(job, task.occurrence, task.step, now);
            this->note_blocked(job, task);
            this->note_if_room_lacks(job, size);
            return false;
        }
    }
    if (!this->is_suspect_startable(job, task, tickets, now)) {
        return false;
    }
    worker_state* worker = this->choose_worker(job, task, {}, {}, now, tickets);
    if (worker == nullptr) {
        if (this->round->lacked_room()) {
            this->order.note_no_room();
        }
        if (tickets != nullptr) {
            this->want_tickets(job, task.occurrence, task.step, now);
        }
        this->note_blocked(job, task);
        return false;
    }
    const auto& progress = job.progress.tasks.at(static_cast<std::size_t>(task.occurrence))
                               .at(task.step)
                               .at(static_cast<std::size_t>(task.index));
    this->plan_run(job, task, progress.run + 1, *worker, now);
    return true;
}

bool scheduler::place_gang(active_job& job, std::int64_t occurrence, jobs::step_index step,
                           common::steady_time now)
{
    const jobs::step& spec = job.spec.steps.at(step);
    const teams::resources size = footprint(spec);
    teams::resources total;
    for (std::int64_t i = 0; i < spec.count; ++i) {
        total += size;
        const jobs::task_id member{job.spec.id, occurrence, step, i};
        if (this->awaits_judgement(job, member)) {
            return false;
        }
    }
    if (!this->is_within_team_limit(job.spec.team, total)) {
        return false;
    }
    const ticket_cache* tickets = nullptr;
    if (this->policy_of(job).advised) {
        tickets = this->find_tickets(job, occurrence, step, now);
        if (tickets == nullptr) {
            this->want_tickets(job, occurrence, step, now);
            this->note_blocked(job, {job.spec.id, occurrence, step, 0});
            return false;
        }
    }
    std::set<std::string> racks{""};
    if (spec.same_rack) {
        racks.clear();
        for (const auto& [id, worker] : this->workers) {
            racks.insert(worker.entry.rack);
        }
        racks.insert(""); // tried last, as it sorts first: across racks if no single rack has room
    }
    auto& tasks = job.progress.tasks.at(static_cast<std::size_t>(occurrence)).at(step);
    std::int64_t run = 0;
    std::string checkpoint;
    for (const task_progress& each : tasks) {
        run = std::max(run, each.run);
        checkpoint = each.checkpoint.empty() ? checkpoint : each.checkpoint;
    }
    for (auto rack = racks.rbegin(); rack != racks.rend(); ++rack) {
        std::map<std::string, teams::resources> reserved;
        std::vector<worker_state*> chosen;
        for (std::int64_t i = 0; i < spec.count; ++i) {
            worker_state* worker = this->choose_worker(job, {job.spec.id, occurrence, step, i},
                                                       reserved, *rack, now, tickets);
            if (worker == nullptr) {
                break;
            }
            reserved[worker->entry.instance.id] += size;
            chosen.push_back(worker);
        }
        if (static_cast<std::int64_t>(chosen.size()) < spec.count) {
            continue;
        }
        for (std::size_t i = 0; i < chosen.size(); ++i) {
            tasks[i].checkpoint = checkpoint;
            this->plan_run(job, {job.spec.id, occurrence, step, static_cast<std::int64_t>(i)},
                           run + 1, *chosen[i], now);
        }
        return true;
    }
    if (this->round->lacked_room()) { // also across racks, which were tried last
        this->order.note_no_room();
    }
    if (tickets != nullptr) {
        this->want_tickets(job, occurrence, step, now);
    }
    this->note_blocked(job, {job.spec.id, occurrence, step, 0});
    return false;
}

void scheduler::plan_run(active_job& job, const jobs::task_id& task, std::int64_t run,
                         worker_state& worker, common::steady_time now)
{
    task_progress& progress = job.progress.tasks.at(static_cast<std::size_t>(task.occurrence))
                                  .at(task.step)
                                  .at(static_cast<std::size_t>(task.index));
    progress.state = task_progress::phase::open;
    progress.run = run;
    progress.worker = worker.entry.instance;
    progress.may_begin_late = false;
    progress.survived = false;
    step_count& counts = job.counts.at(static_cast<std::size_t>(task.occurrence)).at(task.step);
    --counts.waiting;
    ++counts.open;
    open_run planned;
    planned.worker = worker.entry.instance;
    planned.run = run;
    planned.planned_at = now;
    if (!this->reservations.is_idle()) {
        this->reservations.note_placed(this->claim_of(job, task, now), planned.worker.id,
                                       counts.waiting);
    }
    this->open_runs[task] = planned;
    const teams::resources size = footprint(job.spec.steps.at(task.step));
    worker.runs.insert(task);
    worker.lasting_runs += job.spec.steps.at(task.step).long_running ? 1 : 0;
    if (this->suspicion_of(job, task) > 0) {
        worker.suspects.insert(task);
    }
    worker.used += size;
    cold_workers::handle_planned_start(worker);
    this->team_usage[job.spec.team] += size;
    this->order.note_start(size);
    this->lane_of(task.job).planned_starts[task.job].emplace_back(task, run);
    this->mark_dirty(job);
}

void scheduler::send_start(const jobs::task_id& task, open_run& run, common::steady_time now)
{
    active_job& job = this->jobs_by_id.at(task.job);
    worker_state* worker = this->find_worker(run.worker);
    // The capacity may have shrunk since the run was planned, or the ticket may have expired.
    const bool fits = worker != nullptr && worker->entry.capacity.can_fit(worker->used);
    const std::string* ticket = this->find_ticket(job, task, run.worker);
    const bool may_run = ticket != nullptr || !this->policy_of(job).advised;
    if (!fits || !may_run || !is_usable(*worker, now) || !this->may_start(now)) {
        this->withdraw_start(job, task, now);
        return;
    }
    start_command command;
    command.worker = run.worker;
    command.address = worker->entry.address;
    command.task = task;
    command.run = run.run;
    command.payload = job.spec.payload;
    command.deadline_ms = worker->deadline_within(now, this->options.start_timeout);
    command.checkpoint = job.progress.tasks.at(static_cast<std::size_t>(task.occurrence))
                             .at(task.step)
                             .at(static_cast<std::size_t>(task.index))
                             .checkpoint;
    if (ticket != nullptr) {
        command.ticket = *ticket;
    }
    command.token = worker->token;
    worker->extend_leases(command.deadline_ms, now);
    run.phase = run_phase::sent;
    run.start_deadline_ms = command.deadline_ms;
    run.sent_at = now;
    run.may_arrive_until = now + max_start_flight;
    run.token = worker->token;
    this->cold.handle_sent_start(worker->entry.pool);
    ++this->totals.starts;
    ++job.history.starts;
    job.history.started_ms = job.history.started_ms.value_or(this->last_unix_ms);
    if (this->is_traced(job)) {
        this->record(decision_record::kind::task_started, task.to_string(),
                     "run " + std::to_string(run.run) + " on " + run.worker.id + " (instance " +
                         std::to_string(run.worker.started_at_ms) + ")");
    }
    this->actions.emplace_back(std::move(command));
}

bool scheduler::is_at_full_speed(const open_run& run) const
{
    const auto worker = this->workers.find(run.worker.id);
    return run.phase == run_phase::running && !run.stop_sent && run.percent >= full_speed_percent &&
           worker != this->workers.end() && worker->second.missed_polls == 0;
}

bool scheduler::is_within_disruption_budget(const active_job& job, const jobs::task_id& task) const
{
    const jobs::step& step = job.spec.steps.at(task.step);
    const std::int64_t allowed = std::max<std::int64_t>(step.max_unavailable, 1);
    std::int64_t unavailable = 0;
    for (std::int64_t i = 0; i < step.count; ++i) {
        const auto run = this->open_runs.find({task.job, task.occurrence, task.step, i});
        const bool at_full_speed =
            run != this->open_runs.end() && this->is_at_full_speed(run->second);
        unavailable += i != task.index && !at_full_speed ? 1 : 0;
    }
    return unavailable < allowed;
}

} // namespace chervilslip::scheduling
