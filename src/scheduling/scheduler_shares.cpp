// What teams have of the pools, and the order of dispatch that follows from it.
#include <array>
#include <cstdio>

#include "scheduling/placement.h"
#include "scheduling/scheduler.h"

namespace chervilslip::scheduling {

namespace {

/// Returns the resources of a worker that can be used or are in use.
const teams::resources& capacity_of(const worker_state& worker, common::steady_time now)
{
    return is_usable(worker, now) ? worker.entry.capacity : worker.used;
}

std::string describe(const team_below_share& found)
{
    std::array<char, 160> text{};
    std::snprintf(text.data(), text.size(), " uses %.3f of it, its share is %.3f, for %.1f s",
                  found.used, found.share, std::chrono::duration<double>(found.below).count());
    return "pool " + found.pool + text.data();
}

} // namespace

bool scheduler::has_begun(const active_job& job)
{
    return job.history.starts > 0 || job.progress.state == jobs::job_state::running;
}

/// Returns what the open runs of a job use, and how much of it those of long-running tasks use.
std::pair<teams::resources, teams::resources> scheduler::running_size(const active_job& job)
{
    teams::resources all;
    teams::resources lasting;
    for (const auto& steps : job.counts) {
        for (std::size_t s = 0; s < steps.size(); ++s) {
            if (steps[s].open == 0) {
                continue;
            }
            const jobs::step& step = job.spec.steps[s];
            const teams::resources used = total_of(footprint(step), steps[s].open);
            all += used;
            lasting += step.long_running ? used : teams::resources{};
        }
    }
    return {all, lasting};
}

void scheduler::begin_order(const ranked_list& ranked_jobs, common::steady_time now)
{
    this->order.begin_round(now);
    for (const auto& [rank, job] : ranked_jobs) {
        this->order.add_job(this->policy_of(*job).pool, job->spec.team,
                            {rank.group == dispatch_group::long_running, has_begun(*job),
                             rank.group >= dispatch_group::late});
    }
    const std::vector<std::string> short_pools = this->order.short_pools();
    if (short_pools.empty()) {
        return;
    }
    for (const std::string& pool : short_pools) {
        teams::resources capacity;
        for (const worker_state* each : (*this->workers_by_pool)[pool]) {
            capacity += capacity_of(*each, now);
        }
        this->order.set_capacity(pool, capacity);
    }
    for (const auto& [id, job] : this->jobs_by_id) {
        const std::string& pool = this->policy_of(job).pool;
        if (this->order.is_short(pool)) {
            const auto [used, lasting] = running_size(job);
            if (used != teams::resources{}) {
                this->order.add_usage(pool, job.spec.team, used, lasting);
            }
        }
    }
}

void scheduler::end_order()
{
    for (const team_below_share& each : this->order.end_round()) {
        this->record(decision_record::kind::team_below_share, each.team, describe(each));
    }
}

void scheduler::note_if_room_lacks(const active_job& job, const teams::resources& size)
{
    if (this->round->fits_nowhere(this->policy_of(job).pool, size)) {
        this->order.note_no_room();
    }
}

std::vector<team_share> scheduler::team_shares() const
{
    std::map<std::string, std::map<std::string, teams::resources>> used_by_pool;
    for (const auto& [id, job] : this->jobs_by_id) {
        const teams::resources used = running_size(job).first;
        if (used != teams::resources{} || this->has_dispatchable_step(job)) {
            used_by_pool[this->policy_of(job).pool][job.spec.team] += used;
        }
    }
    std::map<std::string, teams::resources> capacities;
    for (const auto& [id, worker] : this->workers) {
        capacities[worker.entry.pool] += capacity_of(worker, this->last_now);
    }
    std::vector<team_share> shares;
    for (const auto& [pool, used_by_team] : used_by_pool) {
        teams::fair_share running;
        running.set_capacity(capacities[pool]);
        double weights = 0;
        for (const auto& [team, used] : used_by_team) {
            running.add_running(team, used);
            weights += this->order.weight_of(team);
        }
        for (const auto& [team, used] : used_by_team) {
            shares.push_back({pool, team, running.weighted_dominant_share(team),
                              this->order.weight_of(team) / weights,
                              this->order.time_below(pool, team)});
        }
    }
    return shares;
}

} // namespace chervilslip::scheduling
