#include "scheduling/team_order.h"

#include <algorithm>
#include <utility>

namespace chervilslip::scheduling {

namespace {

using seconds = std::chrono::duration<double>;

constexpr double rounding_error = 1e-9;

/// The period over which a team is to get its share, as stated in docs/design/contended-fleet.md.
/// What a team lacked is forgotten over this time.
constexpr seconds fairness_window{10};

/// A team with less than this part of its share is below it, as stated there.
constexpr double least_part_of_share = 0.9;

/// A team that has been below its share for longer is reported.
constexpr common::milliseconds report_delay{10'000};

/// A job that has begun may take its team over its share by this part of the pool, as long as no
/// other team has lacked its share for `begun_grace`, which is what the bound on shares leaves.
constexpr double begun_excess = 0.1;
constexpr seconds begun_grace = fairness_window * (1 - least_part_of_share);

/// Late jobs are served by their ranks until their team has lacked its share for this time: they
/// earn least, and work that is in time can't wait. The other half of what the bound leaves is for
/// the runs that have to end before the team has its share again.
constexpr seconds late_delay = begun_grace / 2;

/// The least weight. The platform's configuration is not checked for weights of zero.
constexpr double min_weight = 0.001;

} // namespace

void team_order::set_weights(std::map<std::string, double> by_team)
{
    this->weights = std::move(by_team);
    for (auto& [ignored, pool] : this->pools) {
        // Bounds the number of teams that are remembered.
        std::erase_if(pool.teams,
                      [this](const auto& each) { return !this->weights.contains(each.first); });
        for (auto& [name, team] : pool.teams) {
            team.weight = this->weight_of(name);
        }
    }
    this->entries.clear();
    this->current.reset();
}

double team_order::weight_of(const std::string& team) const
{
    const auto found = this->weights.find(team);
    return found == this->weights.end() ? 1.0 : std::max(found->second, min_weight);
}

void team_order::begin_round(common::steady_time now)
{
    this->begun_at = now;
    this->is_prepared = false;
    this->entries.clear();
    this->position = 0;
    this->current.reset();
    this->has_yielded = false;
    for (auto& [ignored, pool] : this->pools) {
        if (pool.contended_since && now > pool.contended_at + shortage_delay) {
            pool.contended_since.reset();
        }
        pool.is_short = pool.contended_since && now >= *pool.contended_since + shortage_delay;
        if (pool.is_short) {
            pool.running = {};
            pool.lasting = {};
        } else {
            pool.updated_at.reset();
            pool.attained = 0;
        }
        for (auto& [name, team] : pool.teams) {
            team.jobs.clear();
            team.head = 0;
            team.head_class.reset();
            team.share = 0;
            team.lasting_share = 0;
            if (!pool.is_short) {
                team.lag = 0;
                team.lacked = 0;
                team.below_since.reset();
                team.reported = false;
            }
        }
    }
}

void team_order::add_job(const std::string& pool, const std::string& team, const job_traits& traits)
{
    pool_state& where = this->pools[pool];
    auto found = where.teams.find(team);
    if (found == where.teams.end()) {
        found = where.teams.emplace(team, team_state{}).first;
        found->second.weight = this->weight_of(team);
    }
    if (where.is_short) {
        found->second.jobs.push_back(this->entries.size());
    }
    this->entries.push_back({&where, &*found, traits, {}});
}

std::vector<std::string> team_order::short_pools() const
{
    std::vector<std::string> names;
    for (const auto& [name, pool] : this->pools) {
        if (pool.is_short) {
            names.push_back(name);
        }
    }
    return names;
}

bool team_order::is_short(const std::string& pool) const
{
    const auto found = this->pools.find(pool);
    return found != this->pools.end() && found->second.is_short;
}

void team_order::set_capacity(const std::string& pool, const teams::resources& total)
{
    this->pools[pool].running.set_capacity(total);
    this->pools[pool].lasting.set_capacity(total);
}

void team_order::add_usage(const std::string& pool, const std::string& team,
                           const teams::resources& used, const teams::resources& lasting)
{
    pool_state& where = this->pools[pool];
    where.running.add_running(team, used);
    where.lasting.add_running(team, lasting);
    if (where.teams.try_emplace(team).second) {
        where.teams.at(team).weight = this->weight_of(team);
    }
}

bool team_order::is_contender(const team_state& team) const
{
    return team.blocked_at && this->begun_at <= *team.blocked_at + shortage_delay;
}

/// The level divides what the contending teams have, or had before the latest runs ended, by their
/// weights. The sum of what is in use stands for the capacity, because some capacity fits no task.
void team_order::compute_level(pool_state& pool) const
{
    double available = 0; // to the contenders
    double others = 0;
    double weight = 0; // of the contenders
    std::vector<const team_state*> contenders;
    for (const auto& [ignored, team] : pool.teams) {
        const double used = team.share * team.weight;
        if (this->is_contender(team)) {
            available += used;
            weight += team.weight;
            contenders.push_back(&team);
        } else {
            others += used;
        }
    }
    available = std::max(available, pool.attained - others);
    pool.level = contenders.empty() ? 0 : available / weight;
    // What long-running tasks use beyond their team's part will not become free for the others,
    // and what a team has no work for is theirs.
    const auto holds_fixed_part = [&pool](const team_state* each) {
        return each->lasting_share > pool.level * (1 + rounding_error) ||
               (!each->blocked && each->share < least_part_of_share * pool.level);
    };
    for (auto each = std::find_if(contenders.begin(), contenders.end(), holds_fixed_part);
         each != contenders.end() && contenders.size() > 1;
         each = std::find_if(contenders.begin(), contenders.end(), holds_fixed_part)) {
        available = std::max(available - (*each)->share * (*each)->weight, 0.0);
        weight -= (*each)->weight;
        contenders.erase(each);
        pool.level = available / weight;
    }
    pool.is_settled =
        std::all_of(contenders.begin(), contenders.end(), [&pool](const team_state* each) {
            return each->share <= (pool.level + each->task_share) * (1 + rounding_error);
        });
    const double most_lacked = pool.level * begun_grace.count();
    pool.begun_may_exceed =
        std::all_of(contenders.begin(), contenders.end(), [most_lacked](const team_state* each) {
            return each->lacked <= most_lacked * each->weight;
        });
}

team_order::share_class team_order::classify(const entry& job)
{
    const pool_state& pool = *job.pool;
    const auto& [name, team] = *job.team;
    if (job.traits.long_running) {
        return share_class::front;
    }
    const bool lacks_share = team.lacked > pool.level * team.weight * late_delay.count();
    if (job.traits.late && !lacks_share) {
        return share_class::over;
    }
    if (job.traits.begun && !job.traits.late && pool.begun_may_exceed &&
        (team.share - pool.level) * team.weight < begun_excess - rounding_error) {
        return share_class::under;
    }
    if (team.share >= pool.level * (1 - rounding_error)) {
        return share_class::over;
    }
    const double after = pool.running.weighted_dominant_share_with(name, job.size);
    return after <= pool.level * (1 + rounding_error) ? share_class::under : share_class::crossing;
}

std::optional<std::size_t> team_order::select(pool_state& pool)
{
    std::optional<std::size_t> best;
    share_class best_class = share_class::over;
    double best_lag = 0;
    for (auto& [ignored, team] : pool.teams) {
        if (team.head == team.jobs.size()) {
            continue;
        }
        const std::size_t job = team.jobs[team.head];
        if (!team.head_class) {
            team.head_class = classify(this->entries[job]);
        }
        const share_class its_class = *team.head_class;
        bool is_better = !best || its_class < best_class;
        if (best && its_class == best_class) {
            is_better = its_class == share_class::crossing && team.lag != best_lag
                            ? team.lag > best_lag
                            : job < *best;
        }
        if (is_better) {
            best = job;
            best_class = its_class;
            best_lag = team.lag;
        }
    }
    this->current_class = best_class;
    return best;
}

void team_order::retire_current()
{
    if (this->current) {
        const entry& job = this->entries[*this->current];
        if (job.pool->is_short && !this->has_yielded) {
            ++job.team->second.head;
        }
        job.team->second.head_class.reset();
        this->current.reset();
    }
    this->has_yielded = false;
}

void team_order::prepare()
{
    this->is_prepared = true;
    for (auto& [ignored, pool] : this->pools) {
        if (pool.is_short) {
            for (auto& [name, team] : pool.teams) {
                pool.running.set_weight(name, team.weight);
                pool.lasting.set_weight(name, team.weight);
                team.share = pool.running.weighted_dominant_share(name);
                team.lasting_share = pool.lasting.weighted_dominant_share(name);
            }
            this->compute_level(pool);
        }
        for (auto& [name, team] : pool.teams) {
            team.blocked = false;
        }
    }
}

std::optional<std::size_t> team_order::next()
{
    this->retire_current();
    if (!this->is_prepared) {
        this->prepare();
    }
    // The jobs of a pool share the places that they have among those of all pools.
    while (!this->current && this->position < this->entries.size()) {
        const std::size_t by_rank = this->position++;
        pool_state& pool = *this->entries[by_rank].pool;
        this->current = pool.is_short ? this->select(pool) : by_rank;
    }
    for (auto pool = this->pools.begin(); !this->current && pool != this->pools.end(); ++pool) {
        if (pool->second.is_short) {
            this->current = this->select(pool->second); // those that gave way
        }
    }
    return this->current;
}

bool team_order::must_yield(const teams::resources& size)
{
    if (!this->current || this->has_yielded) {
        return this->has_yielded;
    }
    entry& job = this->entries[*this->current];
    if (!job.pool->is_short) {
        return false;
    }
    job.size = size;
    this->has_yielded = classify(job) > this->current_class;
    return this->has_yielded;
}

void team_order::note_start(const teams::resources& size)
{
    if (!this->current) {
        return;
    }
    entry& job = this->entries[*this->current];
    if (!job.pool->is_short) {
        return;
    }
    job.traits.begun = true;
    const std::string& name = job.team->first;
    job.pool->running.add_running(name, size);
    team_state& team = job.team->second;
    const double share = job.pool->running.weighted_dominant_share(name);
    team.task_share = share - std::exchange(team.share, share);
}

void team_order::note_no_room()
{
    if (this->current) {
        team_state& team = this->entries[*this->current].team->second;
        team.blocked_at = this->begun_at;
        team.blocked = true;
    }
}

bool team_order::is_over_share(const std::string& pool, const std::string& team) const
{
    const auto where = this->pools.find(pool);
    if (where == this->pools.end() || !where->second.is_short) {
        return false;
    }
    const auto found = where->second.teams.find(team);
    return found != where->second.teams.end() &&
           found->second.share >= where->second.level * (1 - rounding_error);
}

std::vector<team_below_share> team_order::end_round()
{
    this->retire_current();
    std::vector<team_below_share> below;
    for (auto& [name, pool] : this->pools) {
        const auto blocked = std::count_if(pool.teams.begin(), pool.teams.end(),
                                           [](const auto& each) { return each.second.blocked; });
        if (blocked > 1) {
            pool.contended_since = pool.contended_since.value_or(this->begun_at);
            pool.contended_at = this->begun_at;
        } else if (!pool.is_short) {
            pool.contended_since.reset();
        }
        if (pool.is_short) {
            this->update_pool(name, pool, below);
        }
    }
    return below;
}

void team_order::update_pool(const std::string& name, pool_state& pool,
                             std::vector<team_below_share>& below) const
{
    pool.attained = 0;
    for (const auto& [ignored, team] : pool.teams) {
        pool.attained += team.share * team.weight;
    }
    this->compute_level(pool);
    // Rounds are far apart only while the owner may start nothing.
    const auto passed =
        std::chrono::duration_cast<common::milliseconds>(std::min<common::steady_time::duration>(
            this->begun_at - pool.updated_at.value_or(this->begun_at), shortage_delay));
    pool.updated_at = this->begun_at;
    for (auto& [team_name, team] : pool.teams) {
        this->update_team(pool, team, passed);
        const auto since = std::chrono::duration_cast<common::milliseconds>(
            this->begun_at - team.below_since.value_or(this->begun_at));
        if (since > report_delay && !team.reported) {
            team.reported = true;
            below.push_back(
                {name, team_name, team.share * team.weight, pool.level * team.weight, since});
        }
    }
}

void team_order::update_team(const pool_state& pool, team_state& team,
                             common::milliseconds passed) const
{
    if (!this->is_contender(team)) {
        team.lag = 0;
        team.lacked = 0;
        team.below_since.reset();
        team.reported = false;
        return;
    }
    const double time = seconds(passed).count();
    // What a team had from the unused shares of others is not counted against it when they return.
    const double missing = (pool.level - team.share) * team.weight * time;
    const double change = pool.is_settled ? missing : 0;
    team.lacked = team.blocked ? std::max(team.lacked + missing, 0.0) : 0;
    const double most_lag = pool.level * team.weight * fairness_window.count();
    // A team that has no work lacks nothing.
    team.lag = team.blocked ? team.lag * (1 - time / fairness_window.count()) + change
                            : std::min(team.lag, 0.0) + std::min(change, 0.0);
    team.lag = std::clamp(team.lag, -most_lag, most_lag);
    if (!team.blocked || team.share >= least_part_of_share * pool.level) {
        team.below_since.reset();
        team.reported = false;
        return;
    }
    team.below_since = team.below_since.value_or(this->begun_at);
    team.below += passed;
}

common::milliseconds team_order::time_below(const std::string& pool, const std::string& team) const
{
    const auto where = this->pools.find(pool);
    if (where == this->pools.end()) {
        return common::milliseconds{0};
    }
    const auto found = where->second.teams.find(team);
    return found == where->second.teams.end() ? common::milliseconds{0} : found->second.below;
}

} // namespace chervilslip::scheduling
