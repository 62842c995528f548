#include "soak/fleet_world.h"

namespace chervilslip::soak {

namespace {

using scheduling::end_cause;
using scheduling::verdict;

constexpr std::int64_t calm_ms = 30'000; ///< longer than any order can be late, and a hold
constexpr std::int64_t longest_hold_ms = 6000;
constexpr std::int64_t owner_tick_ms = 15;
constexpr std::int64_t registry_lag_ms = 4500;
constexpr std::int64_t unanswered_after_ms = 500;
constexpr std::int64_t latest_order_ms = 12'000;
constexpr std::int64_t team_limit = 20'000;
constexpr std::int64_t vm_processors = 6000;
constexpr std::int64_t max_attempts = 3;
constexpr std::int64_t unix_origin = 1'700'000'000'000;
constexpr std::size_t most_traces = 5;

common::steady_time steady(std::int64_t ms)
{
    return common::steady_time(std::chrono::hours(1) + common::milliseconds(ms));
}

} // namespace

std::int64_t fleet_world::worker_model::clock(std::int64_t now) const
{
    return this->clock_offset +
           static_cast<std::int64_t>(static_cast<double>(now) * this->clock_rate);
}

fleet_world::fleet_world(fleet_world_options wanted) : options(wanted), random(wanted.seed)
{
}

void fleet_world::at(std::int64_t time, std::function<void()> action)
{
    this->events[{std::max(time, this->now), this->sequence++}] = std::move(action);
}

void fleet_world::advance_to(std::int64_t time)
{
    while (!this->events.empty() && this->events.begin()->first.first <= time) {
        auto first = this->events.extract(this->events.begin());
        this->now = first.key().first;
        for (worker_model& each : this->workers) {
            this->settle_worker(each);
        }
        first.mapped()();
    }
    this->now = time;
}

void fleet_world::check(const std::string& name, bool holds, const std::string& detail)
{
    ++this->report.checks[name];
    if (holds) {
        return;
    }
    ++this->report.violations[name];
    if (this->report.first_violations.size() < most_traces) {
        this->report.first_violations.push_back(name + " at " + std::to_string(this->now) +
                                                " ms: " + detail);
    }
}

bool fleet_world::calm() const
{
    return this->now >= this->options.duration_ms;
}

bool fleet_world::reaches(const worker_model& which) const
{
    return which.alive && this->now >= which.cut_until;
}

fleet_world_report fleet_world::run()
{
    this->make_workers();
    this->change_owner();
    for (std::int64_t time = 200; time < this->options.duration_ms;
         time += 300 + static_cast<std::int64_t>(this->random.below(1000))) {
        this->at(time, [this] { this->hand_in_job(); });
    }
    for (std::int64_t time = 1000; time < this->options.duration_ms;
         time += 500 + static_cast<std::int64_t>(this->random.below(3000))) {
        this->at(time, [this] { this->trouble_worker(); });
        this->at(time + 70, [this] { this->cancel_some_job(); });
    }
    for (std::int64_t time = 3000; time < this->options.duration_ms;
         time += 2500 + static_cast<std::int64_t>(this->random.below(6000))) {
        this->at(time, [this] { this->change_owner(); });
    }
    this->advance_to(this->options.duration_ms + calm_ms);
    this->check_calm();
    return this->report;
}

void fleet_world::make_workers()
{
    for (int i = 0; i < this->options.workers; ++i) {
        worker_model& made = this->workers.emplace_back();
        made.entry.life = {"w" + std::to_string(i), 1};
        made.entry.vm = "vm" + std::to_string(i);
        made.entry.pool = "main";
        made.entry.address = "10.0.0.1:80";
        made.entry.rack = "r" + std::to_string(i / 2);
        made.entry.capacity = {vm_processors, 64'000, 0, 0};
        made.clock_offset = static_cast<std::int64_t>(this->random.below(1'000'000));
        made.clock_rate = 1.0 - 0.02 * this->random.unit();
    }
}

scheduling::policy fleet_world::policy_for_cell() const
{
    const bool raised = this->options.fault == fleet_fault::raised_limit;
    const bool attempts = this->options.fault == fleet_fault::raised_attempts;
    scheduling::policy rules;
    rules.version = 1;
    rules.queues["queue"] = {
        "main", 0, attempts ? max_attempts + 2 : max_attempts, 1.5, common::milliseconds(500),
        false};
    rules.teams["team"] = {1.0, {raised ? 2 * team_limit : team_limit, 0, 0, 0}};
    return rules;
}

void fleet_world::hand_in_job()
{
    jobs::job job;
    job.id = "job" + std::to_string(this->jobs.size());
    job.queue = "queue";
    job.team = "team";
    job.terms = this->policy_for_cell().queues.at("queue");
    job.accepted_ms = unix_origin + this->now;
    const bool lasts = this->jobs.size() < 2;
    const std::size_t steps = lasts ? 1 : 1 + this->random.below(3);
    for (std::size_t s = 0; s < steps; ++s) {
        jobs::step& step = job.steps.emplace_back();
        step.count = 1 + static_cast<std::int64_t>(this->random.below(4));
        step.each.processors =
            lasts ? 500 : 500 + 500 * static_cast<std::int64_t>(this->random.below(4));
        step.estimate = common::milliseconds(1000);
        step.long_running = lasts;
        if (s > 0) {
            step.after.push_back(s - 1);
        }
    }
    job_truth& truth = this->jobs[job.id];
    truth.job = job;
    truth.hopeless = !lasts && this->random.chance(0.05);
    ++this->report.jobs;
    if (this->current && !this->current->gone && this->random.chance(0.8) &&
        this->options.fault != fleet_fault::lost_jobs) {
        jobs::job told = job;
        if (this->options.fault == fleet_fault::dropped_dependency) {
            for (jobs::step& each : told.steps) {
                each.after.clear();
            }
        }
        this->current->cell->take_job(told, steady(this->now));
        this->run_cell(this->current);
    }
}

void fleet_world::cancel_some_job()
{
    if (this->jobs.empty() || !this->random.chance(0.3)) {
        return;
    }
    auto chosen = this->jobs.begin();
    std::advance(chosen, static_cast<std::ptrdiff_t>(this->random.below(this->jobs.size())));
    if (this->stored_closed.contains(chosen->first)) {
        return;
    }
    chosen->second.cancelled = true;
    this->stored_cancels.insert(chosen->first);
    if (this->current && !this->current->gone) {
        this->current->cell->cancel_job(chosen->first, steady(this->now));
        this->run_cell(this->current);
    }
}

void fleet_world::trouble_worker()
{
    worker_model& which = this->workers[this->random.below(this->workers.size())];
    if (!which.alive) {
        return;
    }
    if (this->random.chance(0.6)) {
        which.cut_until = this->now + 500 + static_cast<std::int64_t>(this->random.below(9000));
        return;
    }
    which.alive = false;
    which.runs.clear();
    which.listed_until = this->now + registry_lag_ms;
    const auto index = &which - this->workers.data();
    this->at(this->now + 500 + static_cast<std::int64_t>(this->random.below(6000)), [this, index] {
        worker_model& reborn = this->workers[static_cast<std::size_t>(index)];
        reborn.entry.life.born_ms += this->now + 1;
        reborn.alive = true;
        reborn.token = 0;
        reborn.deadline = 0;
        reborn.clock_offset = static_cast<std::int64_t>(this->random.below(1'000'000));
        reborn.highest_run.clear();
        reborn.ended.clear();
        reborn.ends = 0;
        reborn.lapsed_ends.clear();
        if (this->current) {
            this->tell_workers(this->current);
        }
    });
}

void fleet_world::change_owner()
{
    if (this->current && this->now < this->current->authority_until) {
        // A claim is free only when the lease of the one before has ended.
        this->current->authority_until = this->now;
        this->current->cell->extend_authority(steady(this->now));
    }
    auto made = std::make_shared<owner_model>();
    made->token = ++this->revision;
    this->claim_token = made->token;
    made->journal_revision = this->journal_revision;
    scheduling::cell_options cell_options;
    cell_options.token = made->token;
    if (this->options.fault == fleet_fault::no_inherited_wait) {
        cell_options.inherited_hold = common::milliseconds(0);
    }
    made->cell = std::make_unique<scheduling::cell>(cell_options);
    made->cell->configure(this->policy_for_cell());
    std::vector<scheduling::stored_job> stored;
    for (const auto& [id, truth] : this->jobs) {
        if (this->stored_closed.contains(id) || this->options.fault == fleet_fault::lost_jobs) {
            continue;
        }
        scheduling::stored_job& one = stored.emplace_back();
        one.what = truth.job;
        one.cancelled = this->stored_cancels.contains(id);
        const auto progress = this->stored_progress.find(id);
        if (progress != this->stored_progress.end()) {
            one.progress = scheduling::decode_progress(progress->second, id).value();
        }
    }
    made->authority_until = this->now + owner_tick_ms;
    made->cell->extend_authority(steady(made->authority_until));
    made->cell->restore(std::move(stored), steady(this->now));
    // The one before goes on for a while, until a worker, the store or time stops it.
    if (const owner before = this->current) {
        this->at(this->now + static_cast<std::int64_t>(this->random.below(4000)),
                 [before] { before->gone = true; });
    }
    this->current = made;
    ++this->report.owners;
    this->tell_workers(made);
    this->tick_owner(made);
}

void fleet_world::tick_owner(const owner& which)
{
    if (which->gone) {
        return;
    }
    if (which == this->current) {
        constexpr std::int64_t lease_ms = 1500;
        which->authority_until = this->now + lease_ms;
        which->cell->extend_authority(steady(which->authority_until));
        if (this->random.chance(0.02)) {
            this->tell_workers(which);
        }
        for (const auto& [id, truth] : this->jobs) {
            if (!this->stored_closed.contains(id) &&
                this->options.fault != fleet_fault::lost_jobs) {
                which->cell->take_job(truth.job, steady(this->now));
            }
        }
        for (const std::string& id : this->stored_cancels) {
            which->cell->cancel_job(id, steady(this->now));
        }
    }
    which->cell->tick(steady(this->now), unix_origin + this->now);
    this->run_cell(which);
    this->at(this->now + owner_tick_ms, [this, which] { this->tick_owner(which); });
}

void fleet_world::tell_workers(const owner& which)
{
    std::vector<scheduling::worker_entry> entries;
    for (const worker_model& each : this->workers) {
        if (each.alive || this->now < each.listed_until) {
            entries.push_back(each.entry);
            if (this->options.fault == fleet_fault::oversold_capacity) {
                entries.back().capacity.processors += vm_processors;
            }
        }
    }
    which->cell->see_workers(entries, steady(this->now));
    this->run_cell(which);
}

void fleet_world::run_cell(const owner& which)
{
    for (scheduling::action& each : which->cell->take_actions()) {
        if (!which->gone) {
            this->carry_out(which, std::move(each));
        }
    }
    which->gone = which->gone || which->cell->is_fenced();
}

void fleet_world::carry_out(const owner& which, scheduling::action&& what)
{
    if (auto* look = std::get_if<scheduling::look_order>(&what)) {
        this->send_look(which, *look);
    } else if (auto* start = std::get_if<scheduling::start_order>(&what)) {
        this->send_start(which, *start);
    } else if (auto* stop = std::get_if<scheduling::stop_order>(&what)) {
        this->send_stop(which, *stop);
    } else if (auto* order = std::get_if<scheduling::journal_order>(&what)) {
        which->writing = std::move(*order);
        this->write_journal(which, 0);
    }
}

bool fleet_world::commit(std::int64_t token, std::int64_t expected,
                         const scheduling::journal_order& order)
{
    if (token != this->claim_token || expected != this->journal_revision) {
        return false;
    }
    this->journal_revision = ++this->revision;
    this->journal_mark = std::to_string(token) + ":" + std::to_string(order.batch);
    if (this->options.fault == fleet_fault::skip_journal) {
        return true;
    }
    for (const scheduling::document_change& each : order.changes) {
        if (each.closed) {
            this->stored_closed[each.job] = each.state;
            this->stored_progress.erase(each.job);
        } else {
            this->stored_progress[each.job] = each.progress;
        }
    }
    return true;
}

void fleet_world::write_journal(const owner& which, int tries)
{
    const auto order = *which->writing;
    const std::int64_t expected = which->journal_revision;
    const bool lost = !this->calm() && this->random.chance(0.1);
    const bool late = lost && this->random.chance(0.5);
    const std::int64_t done_at =
        this->now + (late ? 1000 + static_cast<std::int64_t>(this->random.below(5000)) : 4);
    const bool dropped = lost && !late && this->random.chance(0.5);
    auto outcome = std::make_shared<std::optional<bool>>();
    if (!dropped) {
        this->at(done_at, [this, which, order, expected, outcome] {
            *outcome = this->commit(which->token, expected, order);
        });
    }
    this->at(this->now + (lost ? unanswered_after_ms : 8), [this, which, order, outcome, lost,
                                                            tries] {
        if (which->gone) {
            return;
        }
        const std::string mark = std::to_string(which->token) + ":" + std::to_string(order.batch);
        if (lost) {
            this->write_journal(which, tries + 1);
        } else if (outcome->value_or(false) ||
                   (this->journal_mark == mark && which->token == this->claim_token)) {
            which->journal_revision = this->journal_revision;
            which->writing.reset();
            which->cell->journal_durable(order.batch, steady(this->now));
            this->run_cell(which);
        } else {
            which->gone = true; // deposed
        }
    });
}

void fleet_world::send_look(const owner& which, const scheduling::look_order& order)
{
    const bool lost = !this->calm() && this->random.chance(0.02);
    const bool late = lost && this->random.chance(0.5);
    const std::int64_t arrival =
        this->now + 1 + static_cast<std::int64_t>(this->random.below(4)) +
        (late ? 2000 + static_cast<std::int64_t>(this->random.below(10'000)) : 0);
    const std::int64_t sent = this->now;
    const std::int64_t answer_by = this->now + order.wait.count() + unanswered_after_ms;
    this->at(arrival, [this, which, order, sent, answer_by, lost] {
        this->do_look(which, order, sent, answer_by, !lost);
    });
    auto answered = [this, which, order, sent, answer_by] {
        if (!which->gone) {
            which->cell->take_look({order.worker, steady(sent), verdict::unknown, {}},
                                   steady(this->now));
            this->run_cell(which);
        }
    };
    if (lost) {
        this->at(answer_by, answered);
    }
}

void fleet_world::do_look(const owner& which, scheduling::look_order order, std::int64_t sent,
                          std::int64_t answer_by, bool answered)
{
    const auto found =
        std::find_if(this->workers.begin(), this->workers.end(), [&](const worker_model& each) {
            return each.entry.life.id == order.worker.id;
        });
    worker_model& at = *found;
    verdict outcome = verdict::accepted;
    if (!this->reaches(at)) {
        if (answered) {
            this->at(answer_by, [this, which, order, sent] {
                if (!which->gone) {
                    which->cell->take_look({order.worker, steady(sent), verdict::unknown, {}},
                                           steady(this->now));
                    this->run_cell(which);
                }
            });
        }
        return;
    }
    if (at.entry.life != order.worker) {
        outcome = verdict::other_life;
    } else if (which->token < at.token && this->options.fault != fleet_fault::ignore_fences) {
        outcome = verdict::fenced;
    }
    scheduling::look_report seen;
    if (outcome == verdict::accepted) {
        at.token = std::max(at.token, which->token);
        const std::int64_t acknowledged =
            this->options.fault == fleet_fault::acknowledge_early ? at.ends : order.acknowledged;
        this->acknowledge(at, acknowledged);
        if (order.deadline_ms) {
            at.deadline = std::max(
                at.deadline, std::min(*order.deadline_ms, at.clock(this->now) + longest_hold_ms));
        }
        if (at.ended.empty() && this->now < sent + order.wait.count() && answered) {
            order.deadline_ms.reset();
            this->at(std::min(this->now + 20, sent + order.wait.count()),
                     [this, which, order, sent, answer_by] {
                         this->do_look(which, order, sent, answer_by, true);
                     });
            return;
        }
        seen.born_ms = at.entry.life.born_ms;
        seen.clock_ms = at.clock(this->now);
        for (const auto& [task, run] : at.runs) {
            seen.running.push_back({task, run.run, {}, 100, 0});
        }
        seen.finished = at.ended;
    }
    if (!answered) {
        return;
    }
    this->at(this->now + 2, [this, which, order, sent, outcome, seen] {
        if (!which->gone) {
            which->cell->take_look({order.worker, steady(sent), outcome, seen}, steady(this->now));
            this->run_cell(which);
        }
    });
}

void fleet_world::send_start(const owner& which, const scheduling::start_order& order)
{
    ++this->report.starts;
    const bool lost = !this->calm() && this->random.chance(0.06);
    const bool late = lost && this->random.chance(0.5);
    const std::int64_t arrival =
        this->now + 1 + static_cast<std::int64_t>(this->random.below(4)) +
        (late ? 500 + static_cast<std::int64_t>(this->random.below(latest_order_ms)) : 0);
    auto outcome = std::make_shared<verdict>(verdict::unknown);
    this->at(arrival,
             [this, which, order, outcome] { *outcome = this->do_start(which->token, order); });
    this->at(lost ? this->now + unanswered_after_ms : arrival + 1,
             [this, which, order, outcome, lost] {
                 if (which->gone) {
                     return;
                 }
                 scheduling::order_answer answer{order.worker, order.task, order.run,
                                                 lost ? verdict::unknown : *outcome, 0};
                 which->cell->take_start(answer, steady(this->now));
                 this->run_cell(which);
             });
}

verdict fleet_world::do_start(std::int64_t token, const scheduling::start_order& order)
{
    const auto found =
        std::find_if(this->workers.begin(), this->workers.end(), [&](const worker_model& each) {
            return each.entry.life.id == order.worker.id;
        });
    worker_model& at = *found;
    if (!this->reaches(at)) {
        return verdict::unknown;
    }
    if (at.entry.life != order.worker) {
        return verdict::other_life;
    }
    if (token < at.token && this->options.fault != fleet_fault::ignore_fences) {
        return verdict::fenced;
    }
    at.token = std::max(at.token, token);
    const std::int64_t clock = at.clock(this->now);
    if (clock > order.deadline_ms) {
        return verdict::too_late;
    }
    std::int64_t& highest = at.highest_run[order.task];
    if (order.run <= highest) {
        return at.runs.contains(order.task) && at.runs[order.task].run == order.run
                   ? verdict::accepted
                   : verdict::run_too_low;
    }
    highest = order.run;
    at.deadline = std::max(at.deadline, std::min(order.deadline_ms, clock + longest_hold_ms));
    this->check_start(at, order.task);
    const job_truth& truth = this->jobs.at(order.task.job);
    worker_run run;
    run.run = order.run;
    run.fails = truth.hopeless || this->random.chance(0.02);
    run.ends_at = truth.job.steps[order.task.step].long_running
                      ? std::numeric_limits<std::int64_t>::max()
                      : this->now + 200 + static_cast<std::int64_t>(this->random.below(1800));
    at.runs[order.task] = run;
    return verdict::accepted;
}

void fleet_world::send_stop(const owner& which, const scheduling::stop_order& order)
{
    const bool lost = !this->calm() && this->random.chance(0.06);
    const std::int64_t arrival = this->now + 2 + (lost ? 2000 : 0);
    this->at(arrival, [this, which, order, lost] {
        const verdict outcome = this->do_stop(which->token, order);
        if (!which->gone && !lost) {
            which->cell->take_stop({order.worker, order.task, order.run, outcome, 0},
                                   steady(this->now));
            this->run_cell(which);
        }
    });
}

verdict fleet_world::do_stop(std::int64_t token, const scheduling::stop_order& order)
{
    for (worker_model& at : this->workers) {
        if (at.entry.life != order.worker) {
            continue;
        }
        if (!this->reaches(at)) {
            return verdict::unknown;
        }
        if (token < at.token && this->options.fault != fleet_fault::ignore_fences) {
            return verdict::fenced;
        }
        std::int64_t& highest = at.highest_run[order.task];
        highest = std::max(highest, order.run);
        const auto run = at.runs.find(order.task);
        if (run != at.runs.end() && run->second.run == order.run) {
            this->end_run(at, order.task, end_cause::stopped);
        }
        return verdict::accepted;
    }
    return verdict::unknown;
}

void fleet_world::settle_worker(worker_model& which)
{
    if (!which.alive) {
        return;
    }
    std::vector<jobs::task_id> over;
    for (const auto& [task, run] : which.runs) {
        if (run.ends_at <= this->now) {
            over.push_back(task);
        }
    }
    for (const jobs::task_id& task : over) {
        this->end_run(which, task, which.runs[task].fails ? end_cause::failed : end_cause::done);
    }
    if (which.clock(this->now) <= which.deadline) {
        return;
    }
    while (!which.runs.empty()) {
        this->end_run(which, which.runs.begin()->first, end_cause::lapsed);
    }
    for (const scheduling::finished_row& row : which.ended) {
        which.lapsed_ends.insert(row.number);
    }
}

void fleet_world::end_run(worker_model& at, const jobs::task_id& task, end_cause cause)
{
    const std::int64_t run = at.runs.at(task).run;
    at.runs.erase(task);
    at.ended.push_back({++at.ends, task, run, cause, {}});
    if (cause == end_cause::done) {
        this->jobs.at(task.job).done.insert(task);
    }
}

void fleet_world::acknowledge(worker_model& at, std::int64_t number)
{
    for (const scheduling::finished_row& row : at.ended) {
        if (row.number > number || at.lapsed_ends.contains(row.number)) {
            continue;
        }
        job_truth& truth = this->jobs.at(row.task.job);
        if (row.cause == end_cause::done) {
            truth.done_noted.insert(row.task);
        } else if (row.cause == end_cause::failed) {
            ++truth.failures[row.task];
        }
    }
    std::erase_if(at.ended, [number](const auto& row) { return row.number <= number; });
}

void fleet_world::check_start(const worker_model& at, const jobs::task_id& task)
{
    const job_truth& truth = this->jobs.at(task.job);
    const jobs::step& step = truth.job.steps.at(task.step);
    bool alone = true;
    std::int64_t used = step.each.processors;
    std::int64_t team = step.each.processors;
    for (const worker_model& each : this->workers) {
        alone = alone && !each.runs.contains(task);
        for (const auto& [other, run] : each.runs) {
            const auto size = this->jobs.at(other.job).job.steps.at(other.step).each.processors;
            team += size;
            used += &each == &at ? size : 0;
        }
    }
    const std::string detail = task.to_string() + " on " + at.entry.life.id;
    this->check("one_run", alone, detail);
    this->check("not_after_done", !truth.done_noted.contains(task), detail);
    this->check("capacity", used <= vm_processors, detail);
    this->check("team_limit", team <= team_limit, detail);
    const auto failures = truth.failures.find(task);
    this->check("attempts",
                step.long_running || failures == truth.failures.end() ||
                    failures->second < max_attempts,
                detail);
    bool ordered = true;
    for (const jobs::step_index each : step.after) {
        for (std::int64_t i = 0; i < truth.job.steps[each].count; ++i) {
            ordered = ordered && truth.done.contains({task.job, task.occurrence, each, i});
        }
    }
    this->check("order", ordered, detail);
}

void fleet_world::check_calm()
{
    for (const auto& [id, truth] : this->jobs) {
        bool runs = false;
        std::set<jobs::task_id> at_work;
        for (const worker_model& each : this->workers) {
            for (const auto& [task, run] : each.runs) {
                runs = runs || task.job == id;
                at_work.insert(task);
            }
        }
        const auto closed = this->stored_closed.find(id);
        const bool ended = closed != this->stored_closed.end();
        if (truth.job.lasts() && !truth.cancelled) {
            for (std::int64_t i = 0; i < truth.job.steps[0].count; ++i) {
                this->check("lasting_runs", at_work.contains({id, 0, 0, i}), id);
            }
            continue;
        }
        this->check("job_ends", ended, id);
        this->check("nothing_left", !runs, id);
        if (ended && closed->second == jobs::job_state::completed) {
            std::size_t tasks = 0;
            for (const jobs::step& each : truth.job.steps) {
                tasks += static_cast<std::size_t>(each.count);
            }
            this->check("completed_is_true", truth.done.size() == tasks, id);
        }
    }
}

} // namespace chervilslip::soak
