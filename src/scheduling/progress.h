#pragma once

#include "common/error.h"
#include "scheduling/messages.h"

namespace chervilslip::scheduling {

/// How far one task has come. `open` means that a run may exist on `worker`.
struct task_progress {
    enum class phase { waiting, open, done };
    phase state = phase::waiting;
    std::int64_t run = 0;      ///< highest run number used
    std::int64_t failures = 0; ///< runs that ended failed
    worker_instance worker;    ///< of the open run
    std::string checkpoint;    ///< latest known; empty: none

    friend bool operator==(const task_progress&, const task_progress&) = default;
};

/// How far a job has come: what the store keeps beside the job.
struct job_progress {
    jobs::job_state state = jobs::job_state::pending;
    std::int64_t ended_ms = 0; ///< Unix time of the final state; 0: none yet
    /// By occurrence, step and index. Empty when nothing has been started.
    std::vector<std::vector<std::vector<task_progress>>> tasks;

    friend bool operator==(const job_progress&, const job_progress&) = default;
};

/// Makes the progress of a job that has not begun. Thread safe.
job_progress initial_progress(const jobs::job& job);

/// Returns the progress in msgpack. Thread safe.
std::string encode_progress(const job_progress& value);

/// Reads progress in msgpack. Thread safe. Errors: `bad_message`.
common::result<job_progress> decode_progress(const std::string& bytes, const std::string& peer);

} // namespace chervilslip::scheduling
