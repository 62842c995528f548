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

/// Critical paths change as run times are learned, and when a step ends.
constexpr common::milliseconds path_refresh_interval{200};

/// Minimum gap before a round that an event causes, so that a burst of ended runs needs one round.
/// It grows by a millisecond for so many workers, because a round visits all workers of its pools.
constexpr common::milliseconds reaction_gap{5};
constexpr std::size_t workers_per_ms = 100;

/// A timed occurrence starts this long after its due time, because clocks differ.
constexpr std::int64_t due_margin_ms = 30;

/// A ticket is not used within this time before its expiry.
constexpr common::milliseconds ticket_expiry_margin{300};

/// A job that has not begun needs this share of its path, and this time for each step, as a margin:
/// run times are estimates, a step ends with its slowest task, and starts and ends take time to
/// store and to report.
constexpr double estimate_error_share = 0.35;
constexpr common::milliseconds step_overhead{120};

/// A job that has begun may exceed its objective by this share of its remaining path and still be
/// expected to be in time, because its run times are estimates.
constexpr double begun_overrun_share = 0.25;

/// A job earns no credit after this multiple of its latency objective.
constexpr double credit_cutoff_factor = 3.0;

/// Returns whether a task has no constraints beside its size. A constrained task fits nowhere if an
/// unconstrained one of the same size fits nowhere.
bool is_unconstrained(const placement_request& request)
{
    return request.required_label.empty() && request.required_rack.empty() &&
           request.max_per_vm == 0 && !request.retried && !request.isolated_task &&
           request.tickets == nullptr;
}

} // namespace

scheduler::rank scheduler::rank_of(active_job& job, std::int64_t unix_ms) const
{
    using enum dispatch_group;
    const jobs::queue_policy& queue = this->policy_of(job);
    if (job.spec.is_long_running()) {
        return {long_running, queue.priority, static_cast<double>(job.spec.accepted_ms)};
    }
    this->refresh_paths(job, unix_ms);
    const auto total_path = static_cast<double>(job.paths.total.count());
    const double objective = queue.stretch * total_path + static_cast<double>(queue.target.count());
    const auto age = static_cast<double>(unix_ms - job.spec.due_ms(job.paths.occurrence));
    const auto remaining = static_cast<double>(job.paths.remaining.count());
    const double slack = objective - age - remaining;
    job.has_little_slack = slack < remaining;
    // Begun jobs go on as long as they may still be in time, because what has run would be wasted.
    const double margin =
        has_begun(job) ? -begun_overrun_share * remaining
                       : estimate_error_share * remaining +
                             static_cast<double>(job.paths.remaining_steps * step_overhead.count());
    if (slack >= margin) {
        return {likely_in_time, queue.priority, slack};
    }
    if (slack >= 0) {
        return {perhaps_in_time, queue.priority, -slack};
    }
    const bool earns_credit = credit_cutoff_factor * objective - age - remaining > 0;
    return {earns_credit ? late : too_late, queue.priority, slack};
}

void scheduler::refresh_paths(active_job& job, std::int64_t unix_ms) const
{
    if (this->last_now < job.paths.valid_until) {
        return;
    }
    std::int64_t occurrence = 0;
    while (occurrence + 1 < job.spec.occurrences() && job.spec.due_ms(occurrence + 1) <= unix_ms) {
        ++occurrence;
    }
    const auto& counts = job.counts.at(static_cast<std::size_t>(occurrence));
    std::int64_t remaining_steps = 0;
    for (std::size_t s = 0; s < counts.size(); ++s) {
        remaining_steps += counts[s].done < job.spec.steps[s].count ? 1 : 0;
    }
    job.paths = {this->critical_path(job), this->remaining_critical_path(job, occurrence),
                 remaining_steps, occurrence, this->last_now + path_refresh_interval};
}

common::milliseconds scheduler::critical_path(const active_job& job) const
{
    std::vector<common::milliseconds> ends(job.spec.steps.size());
    common::milliseconds longest{0};
    for (std::size_t s = 0; s < job.spec.steps.size(); ++s) {
        common::milliseconds begin{0};
        for (const jobs::step_index each : job.spec.steps[s].after) {
            begin = std::max(begin, ends.at(each));
        }
        ends[s] = begin + this->durations.expected(job.spec.queue, job.spec.steps[s].estimate);
        longest = std::max(longest, ends[s]);
    }
    return longest;
}

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

const scheduler::ticket_cache* scheduler::find_tickets(active_job& job, std::int64_t occurrence,
                                                       jobs::step_index step,
                                                       common::steady_time now)
{
    ticket_cache& cache = job.tickets[{occurrence, step}];
    if (cache.expired_at != now) {
        cache.expired_at = now;
        std::erase_if(cache.advised, [&](const auto& each) {
            const auto worker = this->workers.find(each.first);
            const bool is_gone =
                worker == this->workers.end() ||
                worker->second.entry.instance.started_at_ms != each.second.started_at_ms;
            const bool is_old = is_gone || now >= each.second.valid_until;
            if (is_old) {
                cache.tickets.erase(each.first);
            }
            return is_old;
        });
    }
    return cache.tickets.empty() ? nullptr : &cache;
}

const std::string* scheduler::find_ticket(const active_job& job, const jobs::task_id& task,
                                          const worker_instance& worker)
{
    const auto known = job.tickets.find({task.occurrence, task.step});
    if (known == job.tickets.end()) {
        return nullptr;
    }
    const auto ticket = known->second.tickets.find(worker.id);
    return ticket == known->second.tickets.end() ? nullptr : &ticket->second;
}

bool scheduler::is_worth_asking_for(const worker_state& worker, const jobs::step& step,
                                    const ticket_cache& known)
{
    return !worker.isolated_task && has_label(worker.entry, step.required_label) &&
           !known.advised.contains(worker.entry.instance.id);
}

void scheduler::want_tickets(active_job& job, std::int64_t occurrence, jobs::step_index step,
                             common::steady_time now)
{
    const jobs::step& spec = job.spec.steps.at(step);
    const std::string& pool = this->policy_of(job).pool;
    const teams::resources size = footprint(spec);
    if (this->round->fits_nowhere(pool, size)) {
        return;
    }
    const ticket_cache& known = job.tickets[{occurrence, step}];
    const auto claim = this->claim_if_reserved(job, {job.spec.id, occurrence, step, 0}, now);
    bool fits_somewhere = false;
    for (const worker_state* each : this->round->usable_in(pool)) {
        if (!each->has_room_for(size)) {
            continue;
        }
        if (claim && !this->reservations.cost_of(each->entry.instance.id, *claim, {})) {
            fits_somewhere = true; // for the tasks that it is reserved for
            continue;
        }
        fits_somewhere = true;
        if (is_worth_asking_for(*each, spec, known)) {
            this->needed_advice.add({job.spec.id, occurrence, step}, now);
            return;
        }
    }
    if (!fits_somewhere) {
        this->round->mark_fits_nowhere(pool, size);
    }
}

std::vector<worker_instance> scheduler::choose_advised_workers(const active_job& job,
                                                               const step_id& step,
                                                               common::steady_time now)
{
    const jobs::step& spec = job.spec.steps.at(step.step);
    const ticket_cache& known = job.tickets.at({step.occurrence, step.step});
    const teams::resources size = footprint(spec);
    this->index_pools();
    const auto pool = this->workers_by_pool->find(this->policy_of(job).pool);
    if (pool == this->workers_by_pool->end()) {
        return {};
    }
    const auto is_candidate = [&](const worker_state* each) {
        return is_usable(*each, now) && is_worth_asking_for(*each, spec, known);
    };
    if (std::none_of(pool->second.begin(), pool->second.end(), [&](const worker_state* each) {
            return each->has_room_for(size) && is_candidate(each);
        })) {
        return {};
    }
    // Those with room near the data first, then others with room, then those that may have room
    // while the tickets are valid.
    enum preference { near_data, with_room, without_room };
    std::vector<std::pair<preference, const worker_state*>> candidates;
    for (const worker_state* each : pool->second) {
        if (is_candidate(each)) {
            const bool is_near = each->entry.rack == spec.preferred_rack;
            candidates.emplace_back(!each->has_room_for(size) ? without_room
                                    : is_near                 ? near_data
                                                              : with_room,
                                    each);
        }
    }
    // Steps name different workers first, or all would get tickets for the same few.
    const std::size_t offset = std::hash<std::string>{}(step.job) + step.step;
    std::rotate(candidates.begin(),
                candidates.begin() + static_cast<std::ptrdiff_t>(offset % candidates.size()),
                candidates.end());
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](const auto& left, const auto& right) { return left.first < right.first; });
    candidates.resize(std::min(candidates.size(), this->needed_advice.max_workers()));
    std::vector<worker_instance> chosen;
    chosen.reserve(candidates.size());
    for (const auto& [ignored, worker] : candidates) {
        chosen.push_back(worker->entry.instance);
    }
    return chosen;
}

void scheduler::ask_for_advice(common::steady_time now)
{
    if (!this->may_start(now) || !this->needed_advice.may_call(now)) {
        return;
    }
    for (const step_id& step : this->needed_advice.oldest_first()) {
        active_job* job = this->find_job(step.job);
        if (job == nullptr || jobs::is_final(job->progress.state)) {
            continue;
        }
        std::vector<worker_instance> named = this->choose_advised_workers(*job, step, now);
        if (named.empty()) {
            continue;
        }
        advice_request request{step.job, step.occurrence, step.step, {}};
        for (const worker_instance& each : named) {
            request.workers.push_back(each.id);
        }
        job->tickets.at({step.occurrence, step.step}).named = std::move(named);
        this->needed_advice.handle_request(step, now);
        this->actions.emplace_back(std::move(request));
        if (!this->needed_advice.may_call(now)) {
            return;
        }
    }
}

void scheduler::handle_advice(const advice_response& answer, common::steady_time now)
{
    this->last_now = now;
    this->needed_advice.handle_response({answer.job, answer.occurrence, answer.step},
                                        answer.tickets.has_value(), now);
    active_job* job = this->find_job(answer.job);
    if (job != nullptr && answer.tickets) {
        ticket_cache& cache = job->tickets[{answer.occurrence, answer.step}];
        const common::steady_time valid_until = now + answer.valid - ticket_expiry_margin;
        for (const worker_instance& each : std::exchange(cache.named, {})) {
            cache.advised[each.id] = {each.started_at_ms, valid_until};
            const auto ticket = answer.tickets->find(each.id);
            if (ticket != answer.tickets->end()) {
                cache.tickets[each.id] = ticket->second;
            }
        }
        this->dispatch_due = true;
    }
    this->ask_for_advice(now);
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
        if (this->unexplained_losses.count(member) > 0 &&
            this->suspicion_of(job, member) >= max_certain_crashes) {
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
    worker->extend_leases(command.deadline_ms);
    run.phase = run_phase::sent;
    run.start_deadline_ms = command.deadline_ms;
    run.sent_at = now;
    this->cold.handle_sent_start(worker->entry.pool);
    ++this->totals.starts;
    ++job.history.starts;
    job.history.started_ms = job.history.started_ms.value_or(this->last_unix_ms);
    if (this->is_traced(job)) {
        this->record(decision_record::kind::task_started, task.to_string(),
                     "run " + std::to_string(run.run) + " on " + run.worker.id);
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
