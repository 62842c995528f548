// What starts where, and in which order.
#include "scheduling/placement.h"
#include "scheduling/scheduler.h"

namespace chervilslip::scheduling {

namespace {

/// Without an event that frees room, what waits is looked at this often: due times, pauses of
/// workers.
constexpr common::milliseconds dispatch_period{100};

/// Rounds follow each other no closer than one millisecond for so many waiting jobs, so that a
/// backlog leaves an owner most of its time; a job that waits behind hundreds loses little by it.
constexpr std::int64_t waiting_jobs_per_ms = 20;
constexpr common::milliseconds longest_gap{50};

/// A timed occurrence starts a moment after its due time, because clocks differ.
constexpr std::int64_t due_margin_ms = 30;

/// The advice service takes time for each worker it is asked about.
constexpr std::size_t advised_workers = 30;

/// Without an answer the advice service is asked again after this time.
constexpr common::milliseconds advice_retry{1500};

/// A ticket is not used in the last moments of its validity.
constexpr common::milliseconds ticket_margin{300};

/// Credit ends at this multiple of a job's objective.
constexpr double credit_end = 3.0;

/// Whatever has further wishes finds no room where a plain task of its size finds none.
bool is_plain(const placement_request& wanted)
{
    return wanted.required_label.empty() && wanted.only_rack.empty() && wanted.max_per_vm == 0 &&
           !wanted.retried && wanted.tickets == nullptr;
}

} // namespace

scheduler::rank scheduler::rank_of(const active_job& of, std::int64_t unix_ms) const
{
    const jobs::queue_policy& terms = this->terms_of(of);
    if (of.spec.is_long_running()) {
        return {0, terms.priority, static_cast<double>(of.spec.accepted_ms)};
    }
    std::int64_t occurrence = 0;
    while (occurrence + 1 < of.spec.occurrences() && of.spec.due_ms(occurrence + 1) <= unix_ms) {
        ++occurrence;
    }
    const auto chain = static_cast<double>(this->chain_of(of).count());
    const double objective = terms.stretch * chain + static_cast<double>(terms.target.count());
    const auto age = static_cast<double>(unix_ms - of.spec.due_ms(occurrence));
    const auto left = static_cast<double>(this->chain_left(of, occurrence).count());
    const double slack = objective - age - left;
    if (slack >= 0) {
        return {1, terms.priority, slack};
    }
    const bool still_earns = credit_end * objective - age - left > 0;
    return {still_earns ? 2 : 3, terms.priority, slack};
}

common::milliseconds scheduler::chain_of(const active_job& of) const
{
    std::vector<common::milliseconds> ends(of.spec.steps.size());
    common::milliseconds longest{0};
    for (std::size_t s = 0; s < of.spec.steps.size(); ++s) {
        common::milliseconds begin{0};
        for (const jobs::step_index each : of.spec.steps[s].after) {
            begin = std::max(begin, ends.at(each));
        }
        ends[s] = begin + this->durations.expected(of.spec.queue, of.spec.steps[s].estimate);
        longest = std::max(longest, ends[s]);
    }
    return longest;
}

void scheduler::dispatch(common::steady_time now, std::int64_t unix_ms)
{
    this->next_dispatch = now + dispatch_period;
    std::vector<std::pair<rank, active_job*>> order;
    for (auto& [id, job] : this->jobs_by_id) {
        if (jobs::is_final(job.progress.state)) {
            continue;
        }
        const bool waits = std::any_of(job.counts.begin(), job.counts.end(), [](const auto& steps) {
            return std::any_of(steps.begin(), steps.end(),
                               [](const step_count& each) { return each.waiting > 0; });
        });
        if (waits) {
            order.emplace_back(this->rank_of(job, unix_ms), &job);
        }
    }
    std::sort(order.begin(), order.end(), [](const auto& left, const auto& right) {
        return left.first != right.first ? left.first < right.first
                                         : left.second->spec.id < right.second->spec.id;
    });
    const common::milliseconds gap(static_cast<std::int64_t>(order.size()) / waiting_jobs_per_ms);
    this->earliest_dispatch = now + std::min(gap, longest_gap);
    this->round.emplace(this->workers, now);
    for (const auto& [ignored, job] : order) {
        for (std::int64_t k = 0; k < job->spec.occurrences(); ++k) {
            if (job->spec.repeats > 0 && job->spec.due_ms(k) + due_margin_ms > unix_ms) {
                break;
            }
            for (jobs::step_index s = 0; s < job->spec.steps.size(); ++s) {
                this->dispatch_step(*job, k, s, now);
            }
        }
    }
    this->round.reset();
}

void scheduler::dispatch_step(active_job& of, std::int64_t occurrence, jobs::step_index step,
                              common::steady_time now)
{
    const auto& counts = of.counts.at(static_cast<std::size_t>(occurrence)).at(step);
    if (counts.waiting == 0 || !this->step_ready(of, occurrence, step)) {
        return;
    }
    if (of.spec.steps[step].gang) {
        if (counts.open == 0) {
            this->place_gang(of, occurrence, step, now);
        }
        return;
    }
    const auto& tasks = of.progress.tasks.at(static_cast<std::size_t>(occurrence)).at(step);
    for (std::size_t i = 0; i < tasks.size(); ++i) {
        if (tasks[i].at != task_progress::phase::waiting) {
            continue;
        }
        const jobs::task_id task{of.spec.id, occurrence, step, static_cast<std::int64_t>(i)};
        // A task that failed before is choosier, so that the others may still find room.
        if (!this->place_task(of, task, now) && tasks[i].failures == 0) {
            return;
        }
    }
}

bool scheduler::within_limit(const std::string& team, const teams::resources& more) const
{
    const auto found = this->rules.teams.find(team);
    if (found == this->rules.teams.end()) {
        return true;
    }
    teams::resources total = more;
    const auto used = this->team_use.find(team);
    if (used != this->team_use.end()) {
        total += used->second;
    }
    const teams::resources& limit = found->second.limit;
    return (limit.processors == 0 || total.processors <= limit.processors) &&
           (limit.memory_mb == 0 || total.memory_mb <= limit.memory_mb) &&
           (limit.accelerators == 0 || total.accelerators <= limit.accelerators);
}

worker_state* scheduler::choose_worker(const active_job& of, const jobs::task_id& task,
                                       const std::map<std::string, teams::resources>& reserved,
                                       const std::string& rack, common::steady_time now,
                                       const ticket_book* tickets)
{
    const jobs::step& step = of.spec.steps.at(task.step);
    const task_progress& progress = of.progress.tasks.at(static_cast<std::size_t>(task.occurrence))
                                        .at(task.step)
                                        .at(static_cast<std::size_t>(task.index));
    placement_request wanted;
    wanted.pool = this->terms_of(of).pool;
    wanted.size = footprint(step);
    wanted.required_label = step.required_label;
    wanted.preferred_rack = step.preferred_rack;
    wanted.only_rack = rack;
    wanted.max_per_vm = step.max_per_vm;
    wanted.spread = step.long_running;
    wanted.retried = progress.failures > 0 && !step.long_running;
    wanted.tickets = tickets == nullptr ? nullptr : &tickets->tickets;
    if (this->round->has_no_room(wanted.pool, wanted.size)) {
        return nullptr;
    }
    const jobs::task_id first{task.job, task.occurrence, task.step, 0};
    std::map<std::string, std::int64_t> on_vm;
    std::map<std::string, std::int64_t> on_rack;
    if (wanted.max_per_vm > 0 || wanted.spread) {
        for (auto run = this->open_runs.lower_bound(first);
             run != this->open_runs.end() && run->first.job == task.job &&
             run->first.occurrence == task.occurrence && run->first.step == task.step;
             ++run) {
            ++on_vm[run->second.worker.id];
            const auto at = this->workers.find(run->second.worker.id);
            if (at != this->workers.end()) {
                ++on_rack[at->second.entry.rack];
            }
        }
    }
    worker_state* best = nullptr;
    double best_cost = 0;
    for (worker_state* worker : this->round->usable_in(wanted.pool)) {
        const std::string& id = worker->entry.instance.id;
        const auto taken = reserved.find(id);
        const auto beside = on_vm.find(id);
        const auto in_rack = wanted.spread ? on_rack.find(worker->entry.rack) : on_rack.end();
        const neighbour_count neighbours{beside == on_vm.end() ? 0 : beside->second,
                                         in_rack == on_rack.end() ? 0 : in_rack->second};
        const auto cost =
            placement_cost(*worker, wanted, neighbours,
                           taken == reserved.end() ? teams::resources{} : taken->second, now);
        if (cost && (best == nullptr || *cost < best_cost)) {
            best = worker;
            best_cost = *cost;
        }
    }
    if (best == nullptr && reserved.empty() && is_plain(wanted)) {
        this->round->note_no_room(wanted.pool, wanted.size);
    }
    return best;
}

scheduler::ticket_book* scheduler::advice_for(active_job& of, std::int64_t occurrence,
                                              jobs::step_index step, common::steady_time now)
{
    ticket_book& book = of.advice[{occurrence, step}];
    if (now < book.valid_until) {
        return &book;
    }
    if (now < book.ask_again) {
        return nullptr;
    }
    advice_request order{of.spec.id, occurrence, step, {}};
    const std::string& pool = this->terms_of(of).pool;
    const teams::resources size = footprint(of.spec.steps.at(step));
    for (const auto& [id, worker] : this->workers) {
        if (worker.entry.pool == pool && is_usable(worker, now) && worker.free().can_fit(size) &&
            order.workers.size() < advised_workers) {
            order.workers.push_back(id);
        }
    }
    if (!order.workers.empty()) {
        book.ask_again = now + advice_retry;
        this->actions.emplace_back(std::move(order));
    }
    return nullptr;
}

void scheduler::handle_advice(const advice_response& answer, common::steady_time now)
{
    this->last_now = now;
    active_job* job = this->find_job(answer.job);
    if (job == nullptr) {
        return;
    }
    ticket_book& book = job->advice[{answer.occurrence, answer.step}];
    if (answer.tickets) {
        book.tickets = *answer.tickets;
        book.valid_until = now + answer.valid - ticket_margin;
        book.ask_again = now;
        this->dispatch_due = true;
    }
}

bool scheduler::place_task(active_job& of, const jobs::task_id& task, common::steady_time now)
{
    const teams::resources size = footprint(of.spec.steps.at(task.step));
    if (!this->within_limit(of.spec.team, size)) {
        return false;
    }
    const ticket_book* tickets = nullptr;
    if (this->terms_of(of).advised) {
        tickets = this->advice_for(of, task.occurrence, task.step, now);
        if (tickets == nullptr) {
            return false;
        }
    }
    worker_state* at = this->choose_worker(of, task, {}, {}, now, tickets);
    if (at == nullptr) {
        return false;
    }
    const auto& progress = of.progress.tasks.at(static_cast<std::size_t>(task.occurrence))
                               .at(task.step)
                               .at(static_cast<std::size_t>(task.index));
    this->plan_run(of, task, progress.run + 1, *at, now);
    return true;
}

bool scheduler::place_gang(active_job& of, std::int64_t occurrence, jobs::step_index step,
                           common::steady_time now)
{
    const jobs::step& spec = of.spec.steps.at(step);
    const teams::resources size = footprint(spec);
    teams::resources all;
    for (std::int64_t i = 0; i < spec.count; ++i) {
        all += size;
    }
    if (!this->within_limit(of.spec.team, all)) {
        return false;
    }
    const ticket_book* tickets = nullptr;
    if (this->terms_of(of).advised) {
        tickets = this->advice_for(of, occurrence, step, now);
        if (tickets == nullptr) {
            return false;
        }
    }
    std::set<std::string> racks{""};
    if (spec.same_rack) {
        racks.clear();
        for (const auto& [id, worker] : this->workers) {
            racks.insert(worker.entry.rack);
        }
        racks.insert(""); // across racks when no single one has room; sorts first, tried last
    }
    auto& tasks = of.progress.tasks.at(static_cast<std::size_t>(occurrence)).at(step);
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
            worker_state* at = this->choose_worker(of, {of.spec.id, occurrence, step, i}, reserved,
                                                   *rack, now, tickets);
            if (at == nullptr) {
                break;
            }
            reserved[at->entry.instance.id] += size;
            chosen.push_back(at);
        }
        if (static_cast<std::int64_t>(chosen.size()) < spec.count) {
            continue;
        }
        for (std::size_t i = 0; i < chosen.size(); ++i) {
            tasks[i].checkpoint = checkpoint;
            this->plan_run(of, {of.spec.id, occurrence, step, static_cast<std::int64_t>(i)},
                           run + 1, *chosen[i], now);
        }
        return true;
    }
    return false;
}

void scheduler::plan_run(active_job& of, const jobs::task_id& task, std::int64_t run,
                         worker_state& at, common::steady_time now)
{
    task_progress& progress = of.progress.tasks.at(static_cast<std::size_t>(task.occurrence))
                                  .at(task.step)
                                  .at(static_cast<std::size_t>(task.index));
    progress.at = task_progress::phase::open;
    progress.run = run;
    progress.worker = at.entry.instance;
    step_count& counts = of.counts.at(static_cast<std::size_t>(task.occurrence)).at(task.step);
    --counts.waiting;
    ++counts.open;
    open_run planned;
    planned.worker = at.entry.instance;
    planned.run = run;
    planned.planned_at = now;
    this->open_runs[task] = planned;
    const teams::resources size = footprint(of.spec.steps.at(task.step));
    at.runs.insert(task);
    at.used += size;
    this->team_use[of.spec.team] += size;
    this->planned_starts.emplace_back(task, run);
    this->mark_dirty(of);
}

void scheduler::send_start(const jobs::task_id& task, open_run& which, common::steady_time now)
{
    active_job& job = this->jobs_by_id.at(task.job);
    worker_state* at = this->find_worker(which.worker);
    if (at == nullptr || !is_usable(*at, now) || now >= this->authority_until) {
        this->lose_run(task, "worker may not be used any more");
        return;
    }
    start_command order;
    order.worker = which.worker;
    order.address = at->entry.address;
    order.task = task;
    order.run = which.run;
    order.payload = job.spec.payload;
    order.deadline_ms = this->deadline_for(*at, now, this->options.start_limit);
    order.checkpoint = job.progress.tasks.at(static_cast<std::size_t>(task.occurrence))
                           .at(task.step)
                           .at(static_cast<std::size_t>(task.index))
                           .checkpoint;
    const auto advice = job.advice.find({task.occurrence, task.step});
    if (advice != job.advice.end()) {
        const auto ticket = advice->second.tickets.find(which.worker.id);
        order.ticket = ticket == advice->second.tickets.end() ? std::string{} : ticket->second;
    }
    at->extend(order.deadline_ms);
    which.phase = run_phase::sent;
    which.start_deadline_ms = order.deadline_ms;
    ++this->counted.starts;
    this->note(decision_record::kind::task_started, task.to_string(),
               "run " + std::to_string(which.run) + " on " + which.worker.id);
    this->actions.emplace_back(std::move(order));
}

bool scheduler::is_at_work(const open_run& run) const
{
    const auto at = this->workers.find(run.worker.id);
    return run.phase == run_phase::running && !run.stop_sent && run.percent >= full_speed_percent &&
           at != this->workers.end() && at->second.missed_polls == 0;
}

bool scheduler::may_take_away(const active_job& of, const jobs::task_id& task) const
{
    const jobs::step& step = of.spec.steps.at(task.step);
    const std::int64_t allowed = std::max<std::int64_t>(step.max_unavailable, 1);
    std::int64_t away = 0;
    for (std::int64_t i = 0; i < step.count; ++i) {
        const auto run = this->open_runs.find({task.job, task.occurrence, task.step, i});
        const bool at_work = run != this->open_runs.end() && this->is_at_work(run->second);
        away += i != task.index && !at_work ? 1 : 0;
    }
    return away < allowed;
}

} // namespace chervilslip::scheduling
