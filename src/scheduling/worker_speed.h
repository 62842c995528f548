#pragma once

#include <array>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "jobs/job.h"
#include "scheduling/run_time_distribution.h"

namespace chervilslip::scheduling {

/// What the runs of a worker show of its speed.
enum class speed_verdict {
    normal,
    suspected, ///< probably slow: work with little slack prefers other workers
    slow,      ///< work with little slack does not run there, except as a trial
};

/// Run times of one step shape, as far as they tell normal runs from those on a slow worker.
struct shape_reference {
    /// The latest begin of a run on a worker that took a normal time.
    struct normal_run {
        std::uint64_t worker = 0;
        common::steady_time begun_at;
    };

    const run_time_distribution* times = nullptr;
    /// What follows is unset while there are too few samples, or they differ too much.
    bool is_conclusive = false;
    common::milliseconds median{0};
    common::milliseconds limit{0}; ///< a run that takes longer is lengthy
    double lengthy_evidence = 0;   ///< logarithm of the odds that the worker is slow; above 0
    double normal_evidence = 0;    ///< below 0
    std::array<normal_run, 3> normal_runs; ///< of different workers, latest begin first
};

/// A run whose time says something about the speed of its worker.
struct judged_run {
    enum class outcome { open, normal, lengthy, ignored };

    std::uint64_t key = 0;  ///< of the run
    std::uint64_t step = 0; ///< key of its step and job
    shape_reference* shape = nullptr;
    common::steady_time begun_at;
    double scale = 1.0;        ///< its run time is divided by this
    bool may_be_older = false; ///< begun by an earlier owner: its time is a lower bound
    outcome state = outcome::open;
    common::milliseconds run_time{0}; ///< scaled; set at its end
};

/// Returns the key of a run of a task. Thread safe.
std::uint64_t run_key(const jobs::task_id& task, std::int64_t run);

/// Returns the key of a task's step and job. Thread safe.
std::uint64_t step_key(const jobs::task_id& task);

/// What is known of the speed of one worker instance. Placement reads `verdict` and `next_trial`.
struct speed_record {
    speed_verdict verdict = speed_verdict::normal;
    common::steady_time next_trial;       ///< of a slow worker, by a run with little slack
    common::steady_time next_cheap_trial; ///< by a run with much slack
    common::steady_time last_trial;
    std::optional<double> starts_at_trial; ///< of an average worker of its pool; unset: not read
    std::int64_t trials = 0;               ///< since it became slow
    common::steady_time slow_since;
    common::steady_time trusted_since; ///< runs that began before are no evidence
    std::uint64_t worker = 0;          ///< key
    std::deque<judged_run> runs;       ///< by the time they began
};

/// What a task needs of the speed of its worker.
struct speed_needs {
    bool has_little_slack = false; ///< would probably be late on a slow worker
    bool may_wait = false;         ///< waits rather than run on a slow worker
    bool is_trial = false;         ///< its run time would show whether the worker has recovered

    friend bool operator==(const speed_needs&, const speed_needs&) = default;
};

/// Returns what slowness adds to the cost of a placement, or nothing if the task is not to run on
/// the worker. Inline, because placement asks it of all workers with room. Thread safe.
[[nodiscard]] inline std::optional<double>
slow_worker_cost(const speed_record& worker, const speed_needs& needs, common::steady_time now)
{
    // Between the cost of a run that loses its data's rack (100), which takes up to 3 times as
    // long, and those of best fit (1) and of recent failures (5 each). A trial is preferred to
    // any other worker, or a slow worker in a pool with room would never be tried.
    constexpr double suspected_cost = 20.0;
    constexpr double slow_cost = 200.0;
    constexpr double trial_cost = -2.0;
    if (worker.verdict == speed_verdict::normal) {
        return 0.0;
    }
    if (worker.verdict == speed_verdict::suspected) {
        return needs.has_little_slack ? suspected_cost : 0.0;
    }
    const common::steady_time next =
        needs.has_little_slack ? worker.next_trial : worker.next_cheap_trial;
    if (needs.is_trial && now >= next) {
        return trial_cost;
    }
    if (needs.has_little_slack && needs.may_wait) {
        return std::nullopt;
    }
    return slow_cost;
}

/// A worker that became slow or has recovered, for the log.
struct speed_change {
    std::string worker;
    bool is_slow = false;
    std::string detail;

    friend bool operator==(const speed_change&, const speed_change&) = default;
};

/// Judges the speed of workers by the times of their runs, compared with those of runs of the same
/// shape. Performs no I/O. Not thread safe. docs/design/run-times.md explains the statistics.
class worker_speed {
public:
    /// A usable worker of a pool.
    struct pool_worker {
        std::string_view id;
        speed_record* record = nullptr;
    };

    /// Returns the reference of a shape whose run times are in `times`, which must stay at its
    /// address.
    shape_reference& reference_of(const run_time_distribution& times);

    /// Returns whether runs of a shape show the speed of their workers.
    [[nodiscard]] bool is_conclusive(const run_time_distribution* times) const;

    /// Updates the reference of a shape after a run time was added.
    void refresh(const run_time_distribution& times);

    /// Records that a run has begun on a worker of a pool.
    void begin(const std::string& pool, speed_record& worker, const judged_run& run);

    /// Records that a run has completed. Returns whether its time is a sample for its shape: it is
    /// fully known, and not that of a slow worker.
    bool complete(speed_record& worker, std::uint64_t key, common::steady_time now);

    /// Records that a run has ended without a result. One that was lengthy by then still counts.
    static void drop(speed_record& worker, std::uint64_t key, common::steady_time now);

    /// Records that the open runs on a worker are no evidence: it did not respond, so their ends
    /// are reported late.
    static void ignore_open(speed_record& worker);

    /// Records that a task that can show its speed was placed on a worker.
    static void note_trial(speed_record& worker, common::steady_time now);

    /// Judges all usable workers of a pool.
    std::vector<speed_change> review(const std::string& pool,
                                     const std::vector<pool_worker>& workers,
                                     common::steady_time now);

    /// Returns whether an open run is a straggler: it is lengthy, and a fresh run on another worker
    /// would probably end earlier.
    [[nodiscard]] static bool is_straggler(const speed_record& worker, const judged_run& run,
                                           common::steady_time now);

    /// Returns whether any worker of a pool was slow or suspected at its latest review.
    [[nodiscard]] bool avoids_any(const std::string& pool) const;

private:
    /// What the runs of a worker add up to.
    struct assessment {
        double evidence = 0;       ///< logarithm of the odds that it is slow
        double recovery = 0;       ///< the same of the runs since it became slow; at most 0
        std::int64_t lengthy = 0;  ///< runs behind the evidence
        double slowdown = 1.0;     ///< estimate from these
        double slowdown_error = 1; ///< factor by which the estimate may be off
    };

    struct pool_state {
        bool avoids_any = false;
        bool is_slow = false;    ///< more workers are slow than may be avoided
        std::int64_t starts = 0; ///< since the latest review
        double mean_starts = 0;  ///< of an average worker, since the first review
    };

    [[nodiscard]] assessment assess(speed_record& worker, common::steady_time now);
    static double evidence_of(judged_run& run, const speed_record& worker, common::steady_time now);
    static void schedule_trials(speed_record& worker, const pool_state& pool,
                                common::steady_time now);
    static std::string describe(const assessment& found);

    std::unordered_map<const run_time_distribution*, std::unique_ptr<shape_reference>> references;
    std::unordered_map<std::uint64_t, std::int64_t> normal_ends; ///< by step
    std::unordered_map<std::string, pool_state> pools;
};

} // namespace chervilslip::scheduling
