#pragma once

#include <deque>
#include <map>
#include <vector>

#include "scheduling/worker_state.h"

namespace chervilslip::scheduling {

/// A task is given up when this many workers have crashed while they were starting it.
inline constexpr std::int64_t max_crashes = 5;

/// It is given up earlier, after this many crashes, if each of the runs had surely begun.
inline constexpr std::int64_t max_certain_crashes = 3;

/// A task under which this many workers have crashed is started in isolation only.
inline constexpr std::int64_t isolation_crashes = 2;

/// A long-running task whose starts have crashed that often is not given up, because the other
/// tasks of its job serve on. It is started again after a delay that grows with each further crash,
/// and is much longer after `max_crashes`.
common::milliseconds delay_after_crash(std::int64_t crashes);

/// A run that has been at work for this long has survived its start.
inline constexpr common::milliseconds start_survival_time{2000};

/// How the runs of a worker instance were lost.
enum class worker_loss {
    crashed,     ///< another instance has replaced it without notice
    unexplained, ///< stopped responding, by a crash or a partition
    planned,     ///< drained, moved or serviced
};

/// Returns how an instance was lost that `successor` has replaced on its VM or under its id. Thread
/// safe.
worker_loss loss_of_replaced(const worker_state& lost, const worker_entry& successor);

/// A run that was lost with its worker before it had survived its start.
struct lost_start {
    jobs::task_id task;
    /// The worker has accepted the start from this owner, so the run had surely just begun.
    bool begun = false;
    bool inherited = false; ///< an earlier owner started it, at a time that is not known
    std::int64_t run = 0;   ///< of the task
    common::steady_time sent_at;

    friend bool operator==(const lost_start&, const lost_start&) = default;
};

/// Crashes of one event become known within this time, because workers that restart together
/// report, or are registered, at different times.
inline constexpr common::milliseconds event_span{2000};

/// A crash that is counted under a task, until it is known whether others happened at about the
/// same time.
struct counted_crash {
    lost_start lost;
    std::string worker; ///< id
    std::string pool;
    common::steady_time at; ///< when it became known

    friend bool operator==(const counted_crash&, const counted_crash&) = default;
};

/// Recent crashes of workers, as evidence that a task's crashes have another cause than the task.
/// Not thread safe.
class crash_rate {
public:
    crash_rate() = default;

    /// Begins at `begin`: earlier crashes are unknown.
    explicit crash_rate(common::steady_time begin) : observed_since(begin)
    {
    }

    /// Records a crash of a pool's worker, with the tasks that were starting on it. Precondition:
    /// none of them is known to crash workers.
    void add(const std::vector<lost_start>& starting, common::steady_time now,
             const std::string& pool = {});

    /// Returns whether workers that were not starting the task crash often enough for `crashes`
    /// crashes in a row within its starts to be chance.
    [[nodiscard]] bool explains(const jobs::task_id& task, std::int64_t crashes,
                                std::size_t workers, common::steady_time now) const;

    /// Returns whether the rate is known: crashes have been observed for long enough.
    [[nodiscard]] bool is_known(common::steady_time now) const;

    /// Returns whether a crash that became known at `at` is part of an event that hit the pool: so
    /// many of its `workers` that were not starting the job crashed at about the same time.
    [[nodiscard]] bool is_part_of_event(const std::string& job, const std::string& pool,
                                        std::size_t workers, common::steady_time at) const;

private:
    struct crash {
        common::steady_time at;
        std::string pool;
        std::vector<jobs::task_id> starting;
    };

    common::steady_time observed_since = common::steady_time::min();
    std::deque<crash> crashes; ///< oldest first
};

/// Runs that were lost for an unexplained reason, until their worker instance is found to be alive
/// or to have been replaced. Not thread safe.
class crash_ledger {
public:
    /// Records runs that were starting on a lost instance.
    void add(const worker_entry& lost, std::vector<lost_start> starts, common::steady_time now);

    /// Returns the runs that were lost with earlier instances on the VM, or under the id, of an
    /// instance that was added, and removes them.
    std::vector<lost_start> take_crashed(const worker_entry& added);

    /// Returns the runs of an instance that has responded again, and removes them.
    std::vector<lost_start> take_alive(const worker_instance& alive);

    /// Returns the runs whose instances have been neither replaced nor heard of for too long, and
    /// removes them.
    std::vector<lost_start> take_expired(common::steady_time now);

    /// Returns how many unexplained losses of a task's runs are recorded.
    [[nodiscard]] std::int64_t count(const jobs::task_id& task) const;

private:
    struct loss {
        worker_entry worker;
        std::vector<lost_start> starts;
        common::steady_time at;
    };

    void forget(const loss& lost);

    std::map<worker_instance, loss> losses;
    std::map<jobs::task_id, std::int64_t> count_by_task;
};

} // namespace chervilslip::scheduling
