#pragma once

#include "common/error.h"
#include "scheduling/messages.h"

namespace chervilslip::scheduling {

/// After more crashes in all, each counts against the task, also those that events explain.
inline constexpr std::int64_t max_excused_crashes = 2;

/// Progress of one task. `open` means that a run may exist on `worker`. One may also exist for a
/// task that is `done` and has a worker: an earlier run has completed after all, so it is
/// redundant.
struct task_progress {
    enum class phase { waiting, open, done };
    phase state = phase::waiting;
    std::int64_t run = 0;      ///< highest run number used so far
    std::int64_t failures = 0; ///< runs that ended `failed`
    worker_instance worker;    ///< of the open or redundant run
    std::string checkpoint;    ///< latest known; empty: none
    std::int64_t crashes = 0;  ///< workers that crashed while starting it; 0 once it survives
    std::int64_t certain_crashes = 0;  ///< of these, under runs that had surely begun
    std::int64_t last_crashed_run = 0; ///< the latest run that is counted there
    /// Losses that this owner can not explain yet. Stored as crashes, because a later owner can not
    /// explain them any more.
    std::int64_t unexplained_losses = 0;
    bool survived = false; ///< the open run of a long-running task has survived its start
    /// Of `crashes`, those that were part of an event that hit many workers.
    std::int64_t event_crashes = 0;
    /// The start was meant for an earlier instance of the worker. This one may carry it out
    /// `max_execution_delay` after it was sent.
    bool may_begin_late = false;

    [[nodiscard]] bool has_redundant_run() const
    {
        return this->state == phase::done && !this->worker.id.empty();
    }

    friend bool operator==(const task_progress&, const task_progress&) = default;
};

/// Returns how many crashes speak against a task of a step. Thread safe.
std::int64_t crash_evidence(const task_progress& task, const jobs::step& step);

/// Forgets the crashes under a task, which has survived its start.
void reset_crashes(task_progress& task);

/// Progress of a job, stored in a document of its own beside the job.
struct job_progress {
    jobs::job_state state = jobs::job_state::pending;
    std::int64_t ended_ms = 0; ///< Unix time of the final state; 0: not final yet
    /// By occurrence, step and task index. Empty if nothing has been started.
    std::vector<std::vector<std::vector<task_progress>>> tasks;

    friend bool operator==(const job_progress&, const job_progress&) = default;
};

/// Returns the progress of a job that has not started. Thread safe.
job_progress initial_progress(const jobs::job& job);

/// Checks that progress has the occurrences, steps and tasks of a job that passes `check_job`, or
/// no tasks at all. Thread safe. Errors: `bad_message` with what differs.
common::result<void> check_progress(const job_progress& value, const jobs::job& of);

/// Encodes progress as MessagePack. Thread safe.
std::string encode_progress(const job_progress& value);

/// Decodes progress from MessagePack. Thread safe. Errors: `bad_message`.
common::result<job_progress> decode_progress(const std::string& bytes, const std::string& peer);

} // namespace chervilslip::scheduling
