#include "soak/fleet_world.h"

namespace chervilslip::soak {

namespace {

using scheduling::end_cause;

constexpr std::int64_t calm_ms = 30'000; ///< longer than any order can be late, and a hold
/// Crashing tasks go on until they are given up.
constexpr std::int64_t calm_after_crashes_ms = 60'000;
constexpr std::int64_t owner_tick_ms = 15;
constexpr std::int64_t team_limit = 20'000;
constexpr std::int64_t cancel_ms = 3000; ///< nothing starts later than this after a cancel
constexpr std::int64_t stop_grace_ms = 900;
constexpr std::int64_t unix_origin = 1'700'000'000'000;
constexpr std::size_t most_traces = 5;
constexpr double crashing_share = 0.08; ///< of the jobs
constexpr std::uint64_t entry_seed_offset = 1'000'003;
constexpr std::uint64_t late_seed_offset = 2'000'003;
constexpr double foreign_entry_share = 0.2; ///< of the listings
constexpr const char* foreign_worker = "foreign";

/// Few, so that lists of ends are often cut.
constexpr std::size_t ends_per_report = 3;

} // namespace

fleet_world::fleet_world(fleet_world_options wanted)
    : options(wanted), random(wanted.seed), crash_random(~wanted.seed),
      entry_random(wanted.seed + entry_seed_offset), late_random(wanted.seed + late_seed_offset)
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
            each.runs.settle(this->now);
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

fleet_world::worker_model& fleet_world::worker_of(const std::string& id)
{
    return *std::find_if(
        this->workers.begin(), this->workers.end(),
        [&id](const worker_model& each) { return each.runs.entry().instance.id == id; });
}

bool fleet_world::reaches(const worker_model& which) const
{
    return which.alive && this->now >= which.cut_until;
}

bool fleet_world::is_dropped(const worker_model& at, const scheduling::worker_instance& meant,
                             std::int64_t sent, std::int64_t limit_ms) const
{
    // A worker's own backlog ends with it, and relays drop what was held up.
    return at.runs.entry().instance != meant && this->now > sent + limit_ms &&
           this->options.fault != fleet_fault::held_up_orders;
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
    for (std::int64_t time = 1500;
         time < this->options.duration_ms && this->options.changing_capacity;
         time += 300 + static_cast<std::int64_t>(this->crash_random.below(1500))) {
        this->at(time, [this] { this->change_capacity(); });
    }
    this->at(this->options.duration_ms, [this] { this->restore_capacities(); });
    for (std::int64_t time = 3000; time < this->options.duration_ms;
         time += 2500 + static_cast<std::int64_t>(this->random.below(6000))) {
        this->at(time, [this] { this->change_owner(); });
    }
    const std::int64_t end = this->options.duration_ms +
                             (this->options.crashing_tasks ? calm_after_crashes_ms : calm_ms);
    // A job that lasts is cancelled while all is calm.
    const std::string lasting = "job0";
    const std::int64_t cancel_time = end - 2 * cancel_ms;
    this->at(cancel_time, [this, lasting] { this->cancel_job(lasting); });
    this->at(cancel_time + cancel_ms + stop_grace_ms,
             [this, lasting] { this->check_gone(lasting); });
    this->advance_to(end);
    this->check_calm();
    return this->report;
}

void fleet_world::make_workers()
{
    fakes::run_hooks hooks;
    hooks.on_start = [this](const fakes::run_model& at, fakes::run_request& request) {
        this->check_start(at, request.task);
        this->choose_end(request);
        if (this->is_crashing(request.task)) {
            this->crash_soon(at.entry().instance.id, request.task, request.run);
        }
    };
    hooks.on_end = [this](const jobs::task_id& task, end_cause cause) {
        if (cause == end_cause::done) {
            this->jobs.at(task.job).done.insert(task);
        } else if (cause == end_cause::failed) {
            ++this->jobs.at(task.job).all_failures[task];
        }
    };
    hooks.on_noted = [this](const scheduling::finished_run& row, bool lapsed) {
        this->note_end(row, lapsed);
    };
    for (int i = 0; i < this->options.workers; ++i) {
        scheduling::worker_entry entry;
        entry.instance = {"w" + std::to_string(i), 1};
        entry.vm = "vm" + std::to_string(i);
        entry.pool = "main";
        entry.address = "10.0.0.1:80";
        entry.rack = "r" + std::to_string(i / 2);
        entry.capacity = {vm_processors, 64'000, 0, 0};
        fakes::run_model_options wanted;
        wanted.clock_offset_ms = static_cast<std::int64_t>(this->random.below(1'000'000));
        wanted.clock_rate = 1.0 - 0.02 * this->random.unit();
        wanted.compares_id_only = true;
        wanted.ends_per_report = ends_per_report;
        wanted.hides_cut_lists = this->options.fault == fleet_fault::hidden_ends;
        wanted.obeys_older_owners = this->options.fault == fleet_fault::ignore_fences;
        const scheduling::worker_instance instance = entry.instance;
        this->workers.push_back({fakes::run_model(std::move(entry), wanted, hooks)});
        this->workers.back().listed = instance;
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
    job.policy = this->policy_for_cell().queues.at("queue");
    job.accepted_ms = unix_origin + this->now;
    const bool lasts = this->jobs.size() < 2;
    const std::size_t steps = lasts ? 1 : 1 + this->random.below(3);
    for (std::size_t s = 0; s < steps; ++s) {
        jobs::step& step = job.steps.emplace_back();
        step.count = 1 + static_cast<std::int64_t>(this->random.below(4));
        step.task_resources.processors =
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
    truth.crashes =
        this->options.crashing_tasks && !lasts && this->crash_random.chance(crashing_share);
    const std::int64_t written_at = ++this->revision;
    ++this->report.jobs;
    if (this->options.fault == fleet_fault::lost_jobs) {
        return;
    }
    if (this->options.fault == fleet_fault::dropped_dependency) {
        for (jobs::step& each : job.steps) {
            each.after.clear();
        }
    }
    this->notify([this, job, written_at](scheduling::scheduler& owner) {
        if (this->options.fault == fleet_fault::stale_notifications) {
            owner.submit_job(job, steady(this->now));
        } else {
            owner.handle_job_notification(job, written_at, steady(this->now));
        }
    });
}

void fleet_world::cancel_some_job()
{
    if (this->jobs.empty() || !this->random.chance(0.3)) {
        return;
    }
    auto chosen = this->jobs.begin();
    std::advance(chosen, static_cast<std::ptrdiff_t>(this->random.below(this->jobs.size())));
    this->cancel_job(chosen->first);
}

void fleet_world::cancel_job(const std::string& id)
{
    if (this->stored_closed.contains(id)) {
        return;
    }
    job_truth& truth = this->jobs.at(id);
    truth.cancelled_at = truth.cancelled_at.value_or(this->now);
    if (this->options.fault == fleet_fault::lost_cancels) {
        return;
    }
    this->stored_cancels.insert(id);
    const std::int64_t written_at = ++this->revision;
    this->notify([this, id, written_at](scheduling::scheduler& owner) {
        owner.handle_cancel_notification(id, written_at, steady(this->now));
    });
}

void fleet_world::trouble_worker()
{
    worker_model& which = this->workers[this->random.below(this->workers.size())];
    if (!which.alive) {
        return;
    }
    if (this->random.chance(0.6)) {
        which.cut_until = this->now + 500 + static_cast<std::int64_t>(this->random.below(9000));
        this->trace(which.runs.entry().instance.id, " is cut until ", which.cut_until);
        return;
    }
    this->crash_worker(which);
}

void fleet_world::change_owner()
{
    if (this->current && this->now < this->current->authority_until) {
        // A claim is free only when the lease of the one before has ended.
        this->current->authority_until = this->now;
        this->current->scheduler->extend_authority(steady(this->now));
    }
    auto made = std::make_shared<owner_model>();
    made->token = ++this->revision;
    this->claim_token = made->token;
    made->journal_revisions = this->journal_revisions;
    scheduling::scheduler_options scheduler_options;
    scheduler_options.claim = made->token;
    scheduler_options.max_input_age =
        common::milliseconds(cancel_ms) - scheduler_options.start_timeout;
    if (this->options.fault == fleet_fault::no_inherited_wait) {
        scheduler_options.inherited_lease = common::milliseconds(0);
    }
    made->scheduler = std::make_unique<scheduling::scheduler>(scheduler_options);
    made->scheduler->configure(this->policy_for_cell());
    std::vector<scheduling::stored_job> stored;
    for (const auto& [id, truth] : this->jobs) {
        if (this->stored_closed.contains(id) || this->options.fault == fleet_fault::lost_jobs) {
            continue;
        }
        scheduling::stored_job& one = stored.emplace_back();
        one.spec = truth.job;
        one.cancelled = this->stored_cancels.contains(id);
        const auto progress = this->stored_progress.find(id);
        if (progress != this->stored_progress.end()) {
            one.progress = this->progress_for_owner(id);
        }
    }
    made->authority_until = this->now + owner_tick_ms;
    made->scheduler->extend_authority(steady(made->authority_until));
    made->scheduler->restore(std::move(stored), steady(this->now), unix_origin + this->now);
    made->scheduler->ignore_notifications_until(this->revision);
    // The one before goes on for a while, until a worker, the store or time stops it.
    if (const owner before = this->current) {
        this->at(this->now + static_cast<std::int64_t>(this->random.below(4000)),
                 [before] { before->gone = true; });
        this->trace("owner ", made->token, " follows ", before->token, ", ", this->options.follow);
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
        which->scheduler->extend_authority(steady(which->authority_until));
        if (this->random.chance(0.02)) {
            this->tell_workers(which);
        }
    }
    if (this->now >= which->next_read) {
        this->read_input(which);
    }
    which->scheduler->tick(steady(this->now), unix_origin + this->now);
    this->run_cell(which);
    this->at(this->now + owner_tick_ms + this->owner_jitter(),
             [this, which] { this->tick_owner(which); });
}

void fleet_world::tell_workers(const owner& which)
{
    std::vector<scheduling::worker_entry> entries;
    for (const worker_model& each : this->workers) {
        if (each.alive || this->now < each.listed_until) {
            entries.push_back(each.runs.entry());
            entries.back().instance = each.listed;
            if (this->options.fault == fleet_fault::unseen_shrinking) {
                entries.back().capacity.processors = vm_processors;
            }
            if (this->options.fault == fleet_fault::oversold_capacity) {
                entries.back().capacity.processors += vm_processors;
            }
        }
    }
    if (this->entry_random.chance(foreign_entry_share)) {
        entries.push_back(this->make_foreign_entry());
    }
    which->scheduler->update_workers(entries, steady(this->now));
    this->run_cell(which);
}

/// Returns an entry of another writer, on the VM of a worker and newer than it.
scheduling::worker_entry fleet_world::make_foreign_entry()
{
    const worker_model& neighbour = this->workers[this->entry_random.below(this->workers.size())];
    scheduling::worker_entry entry = neighbour.runs.entry();
    entry.instance = {foreign_worker, entry.instance.started_at_ms + 1};
    if (this->options.fault != fleet_fault::foreign_successors) {
        entry.pool = "unknown";
    }
    return entry;
}

void fleet_world::run_cell(const owner& which)
{
    for (scheduling::action& each : which->scheduler->take_actions()) {
        if (!which->gone) {
            this->carry_out(which, std::move(each));
        }
    }
    which->gone = which->gone || which->scheduler->is_fenced();
}

void fleet_world::carry_out(const owner& which, scheduling::action&& what)
{
    if (this->options.fault == fleet_fault::shared_tokens) {
        std::visit(
            [](auto& order) {
                if constexpr (requires { order.token; }) {
                    order.token -= order.token % scheduling::tokens_per_claim;
                }
            },
            what);
    }
    if (auto* poll = std::get_if<scheduling::poll_command>(&what)) {
        if (poll->worker.id != foreign_worker) { // nobody answers there
            this->send_look(which, *poll);
        }
    } else if (auto* start = std::get_if<scheduling::start_command>(&what)) {
        this->send_start(which, *start);
    } else if (auto* stop = std::get_if<scheduling::stop_command>(&what)) {
        this->send_stop(which, *stop);
    } else if (auto* order = std::get_if<scheduling::journal_write>(&what)) {
        const std::size_t lane = order->lane;
        which->writing[lane] = std::move(*order);
        this->write_journal(which, lane);
    } else if (const auto* decided = std::get_if<scheduling::decision_record>(&what)) {
        this->trace("owner ", which->token, " decides for ", decided->subject, ": ",
                    decided->detail);
    }
}

void fleet_world::choose_end(fakes::run_request& request)
{
    const job_truth& truth = this->jobs.at(request.task.job);
    if (this->is_crashing(request.task)) {
        return; // its worker crashes before it ends
    }
    request.fails = truth.hopeless || this->random.chance(0.02);
    if (!truth.job.steps.at(request.task.step).long_running) {
        request.ends = this->now + 200 + static_cast<std::int64_t>(this->random.below(1800));
    }
}

void fleet_world::note_end(const scheduling::finished_run& row, bool lapsed)
{
    job_truth& truth = this->jobs.at(row.task.job);
    if (row.cause == end_cause::done) {
        truth.done_seen.try_emplace(row.task, this->now);
    }
    if (lapsed) {
        return;
    }
    if (row.cause == end_cause::done) {
        truth.done_noted.insert(row.task);
    } else if (row.cause == end_cause::failed) {
        ++truth.failures[row.task];
    }
}

void fleet_world::check_start(const fakes::run_model& at, const jobs::task_id& task)
{
    const job_truth& truth = this->jobs.at(task.job);
    const jobs::step& step = truth.job.steps.at(task.step);
    bool alone = true;
    std::int64_t used = step.task_resources.processors;
    std::int64_t team = step.task_resources.processors;
    std::int64_t capacity = vm_processors;
    for (const worker_model& each : this->workers) {
        capacity = &each.runs == &at ? this->counted_processors(each) : capacity;
        alone = alone && !each.runs.runs().contains(task);
        for (const auto& [other, run] : each.runs.runs()) {
            const auto size =
                this->jobs.at(other.job).job.steps.at(other.step).task_resources.processors;
            team += size;
            used += &each.runs == &at ? size : 0;
        }
    }
    const std::string detail = task.to_string() + " on " + at.entry().instance.id;
    this->check("one_run", alone, detail);
    // Rules with a time bound do not hold for orders that a worker carries out late.
    this->check("not_after_closed",
                this->carries_out_late || !this->stored_closed.contains(task.job), detail);
    this->check("no_start_after_cancel",
                this->carries_out_late || !truth.cancelled_at ||
                    this->now <= *truth.cancelled_at + cancel_ms,
                detail);
    this->check("not_after_done", !truth.done_noted.contains(task), detail);
    constexpr std::int64_t late_start_ms = 1000; // one that was on its way may still arrive
    const auto seen = truth.done_seen.find(task);
    this->check("not_long_after_seen_done",
                this->carries_out_late || seen == truth.done_seen.end() ||
                    this->now <= seen->second + late_start_ms,
                detail);
    this->check("capacity", used <= capacity, detail);
    this->check_crash_budget(task);
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

void fleet_world::check_gone(const std::string& id)
{
    const bool gone =
        std::all_of(this->workers.begin(), this->workers.end(), [&id](const worker_model& each) {
            const auto run = each.runs.runs().lower_bound({id, 0, 0, 0});
            return run == each.runs.runs().end() || run->first.job != id;
        });
    this->check("gone_after_cancel", gone, id);
}

void fleet_world::check_calm()
{
    for (const auto& [id, truth] : this->jobs) {
        bool runs = false;
        std::set<jobs::task_id> at_work;
        for (const worker_model& each : this->workers) {
            for (const auto& [task, run] : each.runs.runs()) {
                runs = runs || task.job == id;
                at_work.insert(task);
            }
        }
        const auto closed = this->stored_closed.find(id);
        const bool ended = closed != this->stored_closed.end();
        if (this->options.crashing_tasks && ended && truth.job.is_long_running() &&
            !truth.cancelled_at) {
            this->check_given_up(id, closed->second);
            continue;
        }
        if (truth.job.is_long_running() && !truth.cancelled_at) {
            for (std::int64_t i = 0; i < truth.job.steps[0].count; ++i) {
                this->check("lasting_runs", at_work.contains({id, 0, 0, i}), id);
            }
            continue;
        }
        if (ended) {
            this->check_given_up(id, closed->second);
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
