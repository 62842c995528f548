#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "common/clock.h"
#include "teams/fair_share.h"

/// Jobs: steps of equal tasks that depend on each other.
namespace chervilslip::jobs {

/// The index of a step that has not been given.
using step_index = std::size_t;

/// Equal tasks that become due together.
struct step {
    std::int64_t count = 1;
    teams::resources task_resources; ///< what one task takes; processors in thousandths, no slots
    common::milliseconds estimate{0};
    std::vector<step_index> after; ///< earlier steps whose tasks must all be done first
    bool checkpoints = false;
    bool gang = false;         ///< the tasks work only together
    bool same_rack = false;    ///< a gang that is slower across racks
    bool speculative = false;  ///< tasks may run more than once at a time
    bool long_running = false; ///< runs until the job is cancelled
    bool best_effort = false;  ///< takes processors that the VM's other tasks leave over
    std::string required_label;
    std::string preferred_rack;                  ///< where the data is; slower elsewhere
    std::int64_t max_per_vm = 0;                 ///< 0: no bound
    std::string image;                           ///< tasks of one image behave alike
    common::milliseconds tail_latency_target{0}; ///< bound on a serving task's own latency; 0: none
    std::int64_t max_unavailable = 0; ///< tasks that planned actions may take away at a time

    friend bool operator==(const step&, const step&) = default;
};

/// What a queue's configuration said when a job was accepted; it holds for the job when the queue
/// is removed later.
struct queue_policy {
    std::string pool;               ///< whose VMs run the tasks
    std::int64_t priority = 0;      ///< 0 comes first
    std::int64_t max_attempts = 1;  ///< runs of one task that may end failed
    double stretch = 1.0;           ///< the objective's share of the longest chain of work
    common::milliseconds target{0}; ///< the objective's fixed part
    bool advised = false;           ///< an outside policy says which VMs may run a step

    friend bool operator==(const queue_policy&, const queue_policy&) = default;
};

/// What a caller hands in under one id. Immutable once accepted.
struct job {
    std::string id;
    std::string queue;
    std::string team;
    queue_policy policy;
    std::string payload; ///< handed to each task unread
    std::vector<step> steps;
    std::int64_t repeats = 0;      ///< occurrences of a timed job; 0: runs once, at once
    std::int64_t first_due_ms = 0; ///< Unix time of occurrence 0
    common::milliseconds interval{0};
    std::int64_t accepted_ms = 0; ///< Unix time at the accepting node

    friend bool operator==(const job&, const job&) = default;

    /// Returns how often the steps run. Thread safe.
    [[nodiscard]] std::int64_t occurrences() const
    {
        return this->repeats > 0 ? this->repeats : 1;
    }

    /// Returns the Unix millisecond at which an occurrence may start. Thread safe.
    [[nodiscard]] std::int64_t due_ms(std::int64_t occurrence) const
    {
        if (this->repeats <= 0) {
            return this->accepted_ms;
        }
        return this->first_due_ms + occurrence * this->interval.count();
    }

    /// Tells whether any step runs until the job is cancelled. Thread safe.
    [[nodiscard]] bool is_long_running() const;
};

/// How far a job has come, as callers see it.
enum class job_state { pending, running, completed, failed, cancelled };

/// Tells whether a state is final. Thread safe.
constexpr bool is_final(job_state state)
{
    return state == job_state::completed || state == job_state::failed ||
           state == job_state::cancelled;
}

/// Returns the name of a state. Thread safe.
std::string_view to_string(job_state state);

/// Names one task: the job, the occurrence, the step and the position in it.
struct task_id {
    std::string job;
    std::int64_t occurrence = 0;
    step_index step = 0;
    std::int64_t index = 0;

    friend auto operator<=>(const task_id&, const task_id&) = default;

    /// Returns JOB.OCCURRENCE.STEP.INDEX. Thread safe.
    [[nodiscard]] std::string to_string() const;
};

/// Reads JOB.OCCURRENCE.STEP.INDEX; nothing when the text is not of that form. Thread safe.
std::optional<task_id> parse_task_id(std::string_view text);

} // namespace chervilslip::jobs
