#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/clock.h"
#include "teams/fair_share.h"

namespace chervilslip::scheduling {

/// What one team has of a pool, for metrics.
struct team_share {
    std::string pool;
    std::string team;
    double used = 0;  ///< dominant share of the pool
    double share = 0; ///< its weight among all teams with waiting or running work there
    common::milliseconds below{0}; ///< time with waiting work and too little of its share, in all

    friend bool operator==(const team_share&, const team_share&) = default;
};

/// A team whose waiting work has been kept below its share of a pool for long.
struct team_below_share {
    std::string pool;
    std::string team;
    double used = 0;  ///< dominant share of the pool
    double share = 0; ///< the part of the pool that it is entitled to
    common::milliseconds below{0};

    friend bool operator==(const team_below_share&, const team_below_share&) = default;
};

/// The order in which waiting jobs are dispatched. It is the order of their ranks, except in a pool
/// that is short: there, a team under its weighted dominant share goes before one over it. A pool
/// is short once tasks of at least two teams have found no room for `shortage_delay`, until that
/// has not been so for as long. docs/design/team-shares.md explains the rules. Not thread safe.
///
/// Each round: `begin_round`; `add_job` for each waiting job; `set_capacity` and `add_usage` for
/// each short pool; `next` until it returns nothing; `end_round`.
class team_order {
public:
    static constexpr common::milliseconds shortage_delay{500};

    /// What the order depends on, beside rank and team.
    struct job_traits {
        bool long_running = false; ///< keeps its place at the front
        bool begun = false;        ///< tasks of it have been started
        bool late = false;         ///< will miss its latency objective

        friend bool operator==(const job_traits&, const job_traits&) = default;
    };

    /// Sets the weights of all configured teams; others weigh 1.
    void set_weights(std::map<std::string, double> by_team);

    void begin_round(common::steady_time now);

    /// Adds a waiting job. Precondition: jobs are added in the order of their ranks.
    void add_job(const std::string& pool, const std::string& team, const job_traits& traits);

    /// Returns the pools in which shares decide in this round.
    [[nodiscard]] std::vector<std::string> short_pools() const;
    [[nodiscard]] bool is_short(const std::string& pool) const;

    /// Sets the resources that tasks can use in a short pool, those in use included.
    void set_capacity(const std::string& pool, const teams::resources& total);

    /// Adds what runs of a team use in a short pool, and how much of it long-running tasks use.
    void add_usage(const std::string& pool, const std::string& team, const teams::resources& used,
                   const teams::resources& lasting);

    /// Returns the number of the job to dispatch next, counted from 0 as they were added, or
    /// nothing at the end of the round. A job that gave way is returned again later.
    [[nodiscard]] std::optional<std::size_t> next();

    /// Returns whether the current job has to give way to other teams before it starts tasks that
    /// use `size`. If so, it starts nothing until `next` returns it again.
    [[nodiscard]] bool must_yield(const teams::resources& size);

    /// Records that a task of the current job was started.
    void note_start(const teams::resources& size);

    /// Records that a task of the current job found no room in its pool.
    void note_no_room();

    /// Returns whether a team is at or over its share of a short pool.
    [[nodiscard]] bool is_over_share(const std::string& pool, const std::string& team) const;

    /// Ends the round that began at `now`. Returns the teams that have now been below their share
    /// for long, each once until it has its share again.
    [[nodiscard]] std::vector<team_below_share> end_round();

    /// Returns for how long a team has been below its share of a pool, in all.
    [[nodiscard]] common::milliseconds time_below(const std::string& pool,
                                                  const std::string& team) const;

    [[nodiscard]] double weight_of(const std::string& team) const;

private:
    /// Classes of jobs in a short pool, in their order.
    enum class share_class {
        front,    ///< long-running
        under,    ///< its team stays within its share, or the job has begun
        crossing, ///< the start takes its team over its share; teams take turns
        over,
    };

    struct team_state {
        double weight = 1;
        double share = 0;         ///< weighted dominant share
        double lasting_share = 0; ///< that of its long-running tasks
        double task_share = 0;    ///< that of its latest task
        double lag = 0; ///< share of the pool that it lacked or had beyond its part, times seconds
        double lacked = 0; ///< what is still missing of its share, times seconds
        std::optional<common::steady_time> blocked_at; ///< when its tasks last found no room
        bool blocked = false; ///< they found none in this round; before it, in the one before
        std::optional<common::steady_time> below_since;
        bool reported = false;
        common::milliseconds below{0};
        std::vector<std::size_t> jobs;         ///< of this round, by rank
        std::size_t head = 0;                  ///< the first of them that has not had its turn
        std::optional<share_class> head_class; ///< unset: not known
    };

    struct pool_state {
        bool is_short = false;
        std::optional<common::steady_time> contended_since;
        common::steady_time contended_at; ///< tasks of two teams last found no room
        std::optional<common::steady_time> updated_at;
        double attained = 0;     ///< sum of the teams' dominant shares after the latest round
        double level = 0;        ///< weighted share up to which a team is under its share
        bool is_settled = false; ///< no contender is over its share by more than a task
        bool begun_may_exceed = false;
        teams::fair_share running;
        teams::fair_share lasting;
        std::map<std::string, team_state> teams;
    };

    struct entry {
        pool_state* pool = nullptr;
        std::map<std::string, team_state>::pointer team = nullptr;
        job_traits traits;
        teams::resources size; ///< of the task before which it gave way
    };

    void prepare();
    [[nodiscard]] bool is_contender(const team_state& team) const;
    void compute_level(pool_state& pool) const;
    [[nodiscard]] static share_class classify(const entry& job);
    std::optional<std::size_t> select(pool_state& pool);
    void retire_current();
    void update_pool(const std::string& name, pool_state& pool,
                     std::vector<team_below_share>& below) const;
    void update_team(const pool_state& pool, team_state& team, common::milliseconds passed) const;

    std::map<std::string, double> weights;
    std::map<std::string, pool_state> pools;
    common::steady_time begun_at;
    bool is_prepared = false; ///< shares of this round are known
    std::vector<entry> entries;
    std::size_t position = 0; ///< in `entries`, of the next job by rank
    std::optional<std::size_t> current;
    share_class current_class = share_class::front;
    bool has_yielded = false;
};

} // namespace chervilslip::scheduling
