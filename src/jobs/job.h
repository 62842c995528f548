#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/clock.h"
#include "teams/fair_share.h"

/// Jobs: steps of identical tasks, with dependencies between the steps.
namespace chervilslip::jobs {

/// Latest due time of an occurrence, as Unix time: the year 2200.
inline constexpr std::int64_t max_due_ms = 7'258'118'400'000;

/// Index of a step within its job.
using step_index = std::size_t;

/// Identical tasks that may start once the steps they depend on are done.
struct step {
    std::int64_t count = 1;
    teams::resources task_resources; ///< of one task; processors in thousandths, no slots
    common::milliseconds estimate{0};
    std::vector<step_index> after; ///< earlier steps; all their tasks must be done first
    bool checkpoints = false;
    bool gang = false;         ///< the tasks must run at the same time
    bool same_rack = false;    ///< the gang runs slower if spread over several racks
    bool speculative = false;  ///< a second copy of a task may run at the same time
    bool long_running = false; ///< runs until the job is cancelled
    bool best_effort = false; ///< uses only the processor time that the VM's other tasks leave free
    std::string required_label;
    std::string preferred_rack;  ///< rack that holds the data; tasks run slower elsewhere
    std::int64_t max_per_vm = 0; ///< 0: no limit
    std::string image;           ///< tasks with the same image are expected to behave alike
    /// Upper bound on a serving task's own tail latency; 0: none.
    common::milliseconds tail_latency_target{0};
    std::int64_t max_unavailable = 0; ///< tasks that planned maintenance may stop at a time

    friend bool operator==(const step&, const step&) = default;
};

/// The part of a queue's configuration that applies to its jobs. Each job keeps a copy from the
/// time it was accepted, which is used if the queue is removed later.
struct queue_policy {
    std::string pool;              ///< the VMs of this pool run the tasks
    std::int64_t priority = 0;     ///< 0 is the highest
    std::int64_t max_attempts = 1; ///< failed runs of one task after which the job fails
    double stretch = 1.0; ///< the latency objective is `stretch` * critical path + `target`
    common::milliseconds target{0}; ///< constant part of the latency objective
    bool advised = false;           ///< the advice service says which VMs may run a step

    friend bool operator==(const queue_policy&, const queue_policy&) = default;
};

/// A job as submitted by a caller. Immutable once accepted.
struct job {
    std::string id;
    std::string queue;
    std::string team;
    queue_policy policy;
    std::string payload; ///< passed to each task unchanged
    std::vector<step> steps;
    std::int64_t repeats = 0;      ///< occurrences of a scheduled job; 0: runs once, without delay
    std::int64_t first_due_ms = 0; ///< Unix time of occurrence 0
    common::milliseconds interval{0};
    std::int64_t accepted_ms = 0; ///< Unix time on the accepting node's clock

    friend bool operator==(const job&, const job&) = default;

    /// Returns how many times the steps run. Thread safe.
    [[nodiscard]] std::int64_t occurrences() const
    {
        return this->repeats > 0 ? this->repeats : 1;
    }

    /// Returns the Unix time in milliseconds from which an occurrence may start. Thread safe.
    [[nodiscard]] std::int64_t due_ms(std::int64_t occurrence) const
    {
        if (this->repeats <= 0) {
            return this->accepted_ms;
        }
        return std::min(this->first_due_ms + occurrence * this->interval.count(), max_due_ms);
    }

    /// Tells whether any step is long-running. Thread safe.
    [[nodiscard]] bool is_long_running() const;
};

/// State of a job as reported to callers.
enum class job_state { pending, running, completed, failed, cancelled };

/// Tells whether a state is final. Thread safe.
constexpr bool is_final(job_state state)
{
    return state == job_state::completed || state == job_state::failed ||
           state == job_state::cancelled;
}

/// Returns the name of a state. Thread safe.
std::string_view to_string(job_state state);

/// Identifies one task by its job, occurrence, step and index within the step.
struct task_id {
    std::string job;
    std::int64_t occurrence = 0;
    step_index step = 0;
    std::int64_t index = 0;

    friend auto operator<=>(const task_id&, const task_id&) = default;

    /// Returns JOB.OCCURRENCE.STEP.INDEX. Thread safe.
    [[nodiscard]] std::string to_string() const;
};

/// Parses JOB.OCCURRENCE.STEP.INDEX; returns nothing for text of any other form. Thread safe.
std::optional<task_id> parse_task_id(std::string_view text);

} // namespace chervilslip::jobs
