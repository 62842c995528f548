// Tasks that crash their workers, and workers whose capacity changes.
#include <algorithm>

#include "soak/fleet_world.h"

namespace chervilslip::soak {

namespace {

constexpr std::int64_t registry_lag_ms = 4500;

constexpr std::int64_t crashes_before_limit = 3;
constexpr std::int64_t starts_after_limit = 2;
constexpr std::int64_t crashes_to_give_up = 2;
/// A shrunk capacity counts only after this time, because the owner learns of it with a delay.
constexpr std::int64_t shrinking_notice_ms = 2500;
constexpr std::int64_t longest_registry_delay_ms = 1000;
constexpr std::int64_t longest_late_spell_ms = 4000;
constexpr std::int64_t longest_registration_lag_ms = 1500; ///< a heartbeat

} // namespace

void fleet_world::crash_soon(const std::string& worker, const jobs::task_id& task, std::int64_t run)
{
    constexpr std::int64_t latest_crash_ms = 600;
    const std::int64_t delay = static_cast<std::int64_t>(this->crash_random.below(latest_crash_ms));
    const std::int64_t born = this->worker_of(worker).runs.entry().instance.started_at_ms;
    this->at(this->now + delay, [this, worker, task, run, born] {
        worker_model& which = this->worker_of(worker);
        const auto found = which.runs.runs().find(task);
        if (which.alive && which.runs.entry().instance.started_at_ms == born &&
            found != which.runs.runs().end() && found->second.run == run) {
            this->crash_worker(which);
        }
    });
}

bool fleet_world::is_crashing(const jobs::task_id& task) const
{
    return this->jobs.at(task.job).crashes && task.step == 0 && task.index == 0;
}

void fleet_world::crash_worker(worker_model& which)
{
    for (const auto& [task, run] : which.runs.runs()) {
        ++this->jobs.at(task.job).crash_count[task];
    }
    this->trace(which.runs.entry().instance.id, " crashes");
    which.alive = false;
    which.runs.crash();
    which.listed_until = this->now + registry_lag_ms;
    const std::string id = which.runs.entry().instance.id;
    std::int64_t down_ms = 500 + static_cast<std::int64_t>(this->random.below(6000));
    if (this->options.quick_restarts) {
        down_ms = 100 + static_cast<std::int64_t>(this->crash_random.below(1100));
    }
    this->at(this->now + down_ms, [this, id] {
        worker_model& reborn = this->worker_of(id);
        const std::int64_t born = reborn.runs.entry().instance.started_at_ms + this->now + 1;
        reborn.alive = true;
        if (this->options.late_orders) {
            reborn.postpones_until =
                this->now +
                static_cast<std::int64_t>(this->late_random.below(longest_late_spell_ms));
        }
        this->trace(id, " is back, started at ", born);
        reborn.runs.begin_life({id, born},
                               static_cast<std::int64_t>(this->random.below(100)) - this->now);
        if (this->options.quick_restarts) {
            this->register_late(reborn);
        } else {
            this->register_worker(reborn);
        }
    });
}

void fleet_world::register_worker(worker_model& which)
{
    which.listed = which.runs.entry().instance;
    if (this->current) {
        this->tell_workers(this->current);
    }
}

void fleet_world::register_late(const worker_model& which)
{
    const scheduling::worker_instance instance = which.runs.entry().instance;
    const auto is_same = [this, instance] {
        const worker_model& now_there = this->worker_of(instance.id);
        return now_there.alive && now_there.runs.entry().instance == instance;
    };
    const auto lag =
        static_cast<std::int64_t>(this->crash_random.below(longest_registration_lag_ms));
    this->at(this->now + lag, [this, instance, is_same] {
        if (is_same()) {
            this->register_worker(this->worker_of(instance.id));
        }
    });
    if (this->crash_random.chance(0.5)) {
        const auto until_cut = 50 + static_cast<std::int64_t>(this->crash_random.below(2000));
        this->at(this->now + until_cut, [this, instance, is_same] {
            if (is_same()) {
                this->worker_of(instance.id).cut_until =
                    this->now + 3000 + static_cast<std::int64_t>(this->crash_random.below(6000));
                this->trace(instance.id, " is cut soon after its start");
            }
        });
    }
}

void fleet_world::change_capacity()
{
    worker_model& which = this->workers[this->crash_random.below(this->workers.size())];
    teams::resources capacity = which.runs.entry().capacity;
    which.earlier_processors = this->counted_processors(which);
    which.shrunk_at = this->now;
    capacity.processors =
        vm_processors * static_cast<std::int64_t>(1 + this->crash_random.below(4)) / 4;
    which.runs.set_capacity(capacity);
    const auto delay =
        static_cast<std::int64_t>(this->crash_random.below(longest_registry_delay_ms));
    this->at(this->now + delay, [this] {
        if (this->current && !this->current->gone) {
            this->tell_workers(this->current);
        }
    });
}

void fleet_world::restore_capacities()
{
    for (worker_model& each : this->workers) {
        teams::resources capacity = each.runs.entry().capacity;
        capacity.processors = vm_processors;
        each.runs.set_capacity(capacity);
    }
}

std::int64_t fleet_world::counted_processors(const worker_model& which) const
{
    const std::int64_t present = which.runs.entry().capacity.processors;
    return this->now < which.shrunk_at + shrinking_notice_ms
               ? std::max(present, which.earlier_processors)
               : present;
}

void fleet_world::check_crash_budget(const jobs::task_id& task)
{
    job_truth& truth = this->jobs.at(task.job);
    if (this->is_crashing(task) && truth.crash_count[task] >= crashes_before_limit) {
        this->check("crash_budget", ++truth.starts_after_crashes[task] <= starts_after_limit,
                    task.to_string());
    }
}

void fleet_world::check_given_up(const std::string& job, jobs::job_state state)
{
    const job_truth& truth = this->jobs.at(job);
    if (truth.crashes) {
        this->check("crashing_job_ends", state != jobs::job_state::completed, job);
        return;
    }
    const auto reaches = [](const auto& counts, std::int64_t limit) {
        return std::any_of(counts.begin(), counts.end(),
                           [limit](const auto& each) { return each.second >= limit; });
    };
    this->check("innocent_not_given_up",
                state != jobs::job_state::failed || reaches(truth.all_failures, max_attempts) ||
                    reaches(truth.crash_count, crashes_to_give_up),
                job);
}

scheduling::job_progress fleet_world::progress_for_owner(const std::string& job) const
{
    auto progress = scheduling::decode_progress(this->stored_progress.at(job), job).value();
    for (auto& steps : progress.tasks) {
        for (auto& tasks : steps) {
            for (scheduling::task_progress& each : tasks) {
                const bool open = each.state == scheduling::task_progress::phase::open;
                if (this->options.fault == fleet_fault::forgotten_crashes) {
                    each.crashes = 0;
                } else if (this->options.fault == fleet_fault::invented_crashes && open) {
                    each.crashes = scheduling::max_crashes - 1;
                    each.certain_crashes = each.crashes;
                }
            }
        }
    }
    return progress;
}

} // namespace chervilslip::soak
