#include "fakes/run_model.h"

#include <algorithm>

namespace chervilslip::fakes {

namespace {

using scheduling::command_outcome;
using scheduling::end_cause;

constexpr std::int64_t longest_hold_ms = 6000;
constexpr std::int64_t full_percent = 100;

end_cause cause_at_end(const run_request& run)
{
    if (run.stopping) {
        return end_cause::stopped;
    }
    return run.fails ? end_cause::failed : end_cause::done;
}

} // namespace

run_model::run_model(scheduling::worker_entry entry, run_model_options wanted, run_hooks to_tell)
    : told(std::move(entry)), options(wanted), hooks(std::move(to_tell))
{
}

void run_model::begin_life(const scheduling::worker_instance& instance,
                           std::int64_t clock_offset_ms)
{
    this->crash();
    this->told.instance = instance;
    this->options.clock_offset_ms = clock_offset_ms;
    this->highest_token = 0;
    this->deadline = 0;
    this->highest_run.clear();
    this->ended.clear();
    this->ends = 0;
    this->lapsed_ends.clear();
}

void run_model::set_capacity(const teams::resources& capacity)
{
    this->told.capacity = capacity;
}

command_outcome run_model::admit(const scheduling::worker_instance& meant, std::int64_t token)
{
    if (meant.id != this->told.instance.id) {
        return command_outcome::other_worker;
    }
    if (!this->options.compares_id_only && meant != this->told.instance) {
        return command_outcome::other_instance;
    }
    if (token < this->highest_token && !this->options.obeys_older_owners) {
        return command_outcome::fenced;
    }
    this->highest_token = std::max(this->highest_token, token);
    return command_outcome::accepted;
}

command_outcome run_model::poll(const scheduling::worker_instance& meant, std::int64_t token,
                                std::int64_t acknowledged, std::optional<std::int64_t> deadline_ms,
                                std::int64_t now)
{
    const command_outcome outcome = this->admit(meant, token);
    if (outcome == command_outcome::accepted) {
        this->note_ends(acknowledged);
        if (deadline_ms) {
            this->extend(*deadline_ms, now);
        }
    }
    return outcome;
}

command_outcome run_model::start(const scheduling::worker_instance& meant, std::int64_t token,
                                 const run_request& request, std::int64_t now)
{
    const command_outcome outcome = this->admit(meant, token);
    if (outcome != command_outcome::accepted) {
        return outcome;
    }
    if (this->clock(now) > request.deadline_ms) {
        return command_outcome::too_late;
    }
    this->extend(request.deadline_ms, now);
    std::int64_t& highest = this->highest_run[request.task];
    if (request.run <= highest) {
        const auto found = this->running.find(request.task);
        const bool same = found != this->running.end() && found->second.run == request.run;
        return same ? command_outcome::accepted : command_outcome::stale_run;
    }
    if (this->options.guards_capacity && !this->fits(request.size)) {
        return command_outcome::no_capacity;
    }
    highest = request.run;
    run_request begun = request;
    if (this->hooks.on_start) {
        this->hooks.on_start(*this, begun);
    }
    this->running[request.task] = begun;
    return command_outcome::accepted;
}

command_outcome run_model::stop(const scheduling::worker_instance& meant, std::int64_t token,
                                const jobs::task_id& task, std::int64_t run)
{
    const command_outcome outcome = this->admit(meant, token);
    if (outcome != command_outcome::accepted) {
        return outcome;
    }
    std::int64_t& highest = this->highest_run[task];
    highest = std::max(highest, run);
    const auto found = this->running.find(task);
    if (found != this->running.end() && found->second.run == run) {
        this->end_by_stop(found->second);
    }
    return command_outcome::accepted;
}

void run_model::settle(std::int64_t now)
{
    this->settled_at = now;
    std::vector<jobs::task_id> over;
    for (auto& [task, run] : this->running) {
        if (run.saves && *run.saves <= now) {
            run.checkpoint = run.next_checkpoint;
        }
        if (run.ends && *run.ends <= now) {
            over.push_back(task);
        }
    }
    for (const jobs::task_id& task : over) {
        this->end_run(task, cause_at_end(this->running[task]));
    }
    if (this->clock(now) <= this->deadline) {
        return;
    }
    while (!this->running.empty()) {
        this->end_run(this->running.begin()->first, end_cause::lapsed);
    }
    for (const scheduling::finished_run& row : this->ended) {
        this->lapsed_ends.insert(row.number);
    }
}

void run_model::crash()
{
    this->running.clear();
}

scheduling::worker_report run_model::report(std::int64_t now) const
{
    scheduling::worker_report seen;
    seen.started_at_ms = this->told.instance.started_at_ms;
    seen.clock_ms = this->clock(now);
    for (const auto& [task, run] : this->running) {
        seen.running.push_back({task, run.run, run.checkpoint, full_percent, 0});
    }
    const auto listed = std::min(this->ended.size(), this->options.ends_per_report);
    seen.finished.assign(this->ended.begin(),
                         this->ended.begin() + static_cast<std::ptrdiff_t>(listed));
    seen.lists_all_ends = listed < this->options.ends_per_report || this->options.hides_cut_lists;
    return seen;
}

std::int64_t run_model::clock(std::int64_t now) const
{
    return this->options.clock_offset_ms +
           static_cast<std::int64_t>(static_cast<double>(now) * this->options.clock_rate);
}

const scheduling::worker_entry& run_model::entry() const
{
    return this->told;
}

const std::map<jobs::task_id, run_request>& run_model::runs() const
{
    return this->running;
}

teams::resources run_model::used() const
{
    teams::resources total;
    for (const auto& [task, run] : this->running) {
        total += run.size;
    }
    return total;
}

bool run_model::has_ends() const
{
    return !this->ended.empty();
}

std::int64_t run_model::ends_so_far() const
{
    return this->ends;
}

bool run_model::fits(const teams::resources& size) const
{
    teams::resources wanted = this->used();
    wanted += size;
    return this->told.capacity.can_fit(wanted);
}

void run_model::extend(std::int64_t deadline_ms, std::int64_t now)
{
    this->deadline =
        std::max(this->deadline, std::min(deadline_ms, this->clock(now) + longest_hold_ms));
}

void run_model::note_ends(std::int64_t number)
{
    for (const scheduling::finished_run& row : this->ended) {
        if (row.number <= number && this->hooks.on_noted) {
            this->hooks.on_noted(row, this->lapsed_ends.contains(row.number));
        }
    }
    std::erase_if(this->ended, [number](const auto& row) { return row.number <= number; });
}

void run_model::end_by_stop(run_request& run)
{
    if (this->options.stop_ms == 0) {
        this->end_run(run.task, end_cause::stopped);
        return;
    }
    const std::int64_t over = this->settled_at + this->options.stop_ms;
    if (!run.ends || *run.ends > over) {
        run.ends = over;
        run.stopping = true;
    }
}

void run_model::end_run(const jobs::task_id& task, end_cause cause)
{
    const run_request run = std::move(this->running.at(task));
    this->running.erase(run.task);
    this->ended.push_back({++this->ends, run.task, run.run, cause, run.checkpoint});
    if (this->hooks.on_end) {
        this->hooks.on_end(run.task, cause);
    }
}

} // namespace chervilslip::fakes
