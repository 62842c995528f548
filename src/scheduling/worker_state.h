#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>

#include "scheduling/messages.h"
#include "scheduling/worker_speed.h"

namespace chervilslip::scheduling {

/// A start is in flight for at most this long: relays drop those that were held up, and a direct
/// call that is given up resets its connection.
inline constexpr common::milliseconds max_start_flight{1100};

/// A worker that leaves a command unanswered may carry it out this much later, beside newer ones.
/// Delays of 2 to 12 s were observed.
inline constexpr common::milliseconds max_execution_delay{12'000};

/// An ended run that a worker has reported. It must be durable before it is acknowledged.
struct pending_end {
    std::int64_t number = 0;
    std::string job;
    std::uint64_t batch = 0; ///< journal batch that contains it; 0: none yet
    bool durable = false;

    friend bool operator==(const pending_end&, const pending_end&) = default;
};

/// One run of a task.
struct run_id {
    jobs::task_id task;
    std::int64_t run = 0;

    friend auto operator<=>(const run_id&, const run_id&) = default;
};

/// Which instance of a worker answered a command, as far as the clock in the answer tells.
enum class answering_instance {
    known,
    next,    ///< a later one: its clock has started anew
    unclear, ///< either
};

/// The owner's view of one worker instance.
struct worker_state {
    worker_entry entry;
    std::int64_t token = 0;          ///< fencing token of the commands to this instance
    bool listed = true;              ///< present in the registry
    std::uint64_t listing = 0;       ///< the latest listing that contained it
    bool token_seen = false;         ///< has answered a poll with `token`
    bool cordoned = false;           ///< gets no new tasks; its VM is about to be moved or serviced
    common::steady_time cordoned_at; ///< valid if `cordoned`; known to this owner only
    bool evacuated = false;          ///< gets no new tasks; its zone is under evacuation

    bool poll_in_flight = false;
    common::steady_time poll_sent_at;
    common::steady_time next_poll;
    std::int64_t missed_polls = 0;
    common::steady_time missed_poll_sent_at; ///< when the latest poll without a response was sent
    common::milliseconds poll_wait{60000};   ///< maximum wait of the next poll

    /// The worker's clock in a response, and when that response was handled. Of all responses, the
    /// one that gives the latest `clock_at` is kept: a response that was handled late shows a clock
    /// that has gone on since.
    std::int64_t clock_ms = 0;
    std::optional<common::steady_time> clock_read_at; ///< unset: no response yet
    common::steady_time clock_polled_at;              ///< when the poll with that response was sent
    common::steady_time alive_at;         ///< when the latest poll with a response was sent
    common::steady_time last_response_at; ///< when the latest response was handled
    common::steady_time reported_at;      ///< upper estimate of when the latest report was written
    /// Unless a further command extends the leases, no run exists there after this time.
    common::steady_time leases_end_by;
    common::steady_time deadline_sent_at; ///< when the latest command that extends leases was sent

    std::int64_t last_handled_end = 0;            ///< highest number of a handled end
    std::int64_t acknowledged = 0;                ///< highest number of a durable end
    std::optional<std::int64_t> first_listed_end; ///< in the latest report; unset: none
    std::deque<pending_end> pending_ends;

    teams::resources used; ///< by all runs that may exist there
    std::set<jobs::task_id> runs;
    std::set<run_id> unexpected_runs; ///< in the latest report
    std::size_t lasting_runs = 0;     ///< those of `runs` that end only with their job
    std::set<jobs::task_id> suspects; ///< runs of tasks under which workers have crashed
    /// The worker gets no other new task until this one has survived its start.
    std::optional<jobs::task_id> isolated_task;
    common::steady_time isolated_since;

    /// Runs that ended `failed` since the last `done`, except by the fault of their tasks.
    std::int64_t consecutive_failures = 0;
    /// Gets one task at a time, beside those that last, until one succeeds. Set by each round of
    /// dispatch.
    bool on_probation = false;
    common::steady_time last_success;
    common::steady_time last_failure;
    common::steady_time blocked_until; ///< gets no new tasks before this time
    /// Starts that the worker may still get while it is cold; unset: it is warm. Updated by each
    /// round of dispatch.
    std::optional<double> cold_credit;
    common::steady_time idle_since;
    speed_record speed;

    /// Returns the lowest value that the worker's clock may have at `now`; 0 before any response.
    [[nodiscard]] std::int64_t clock_at(common::steady_time now) const;

    /// Returns a deadline on the worker's clock that is reached no later than `time` after `now`,
    /// also if that clock runs slow.
    [[nodiscard]] std::int64_t deadline_within(common::steady_time now,
                                               common::milliseconds time) const;

    /// Records the worker's clock in the response to a poll, which is handled at `now`.
    void observe_clock(std::int64_t shown_ms, common::steady_time sent_at, common::steady_time now);

    /// Returns which instance answered a command that was sent at `sent_at` and whose answer, with
    /// the clock at `shown_ms`, is handled at `now`.
    [[nodiscard]] answering_instance answered_by(std::int64_t shown_ms, common::steady_time sent_at,
                                                 common::steady_time now) const;

    /// Records that a command that is sent at `now` extends leases to `deadline_ms` on the worker's
    /// clock.
    void extend_leases(std::int64_t deadline_ms, common::steady_time now);

    /// Returns the free capacity by the owner's own accounting.
    [[nodiscard]] teams::resources free() const;

    /// Returns whether that capacity holds `size`. Inline, because placement asks it of all workers
    /// of a pool for each task.
    [[nodiscard]] bool has_room_for(const teams::resources& size) const
    {
        const teams::resources& all = this->entry.capacity;
        return size.processors <= all.processors - this->used.processors &&
               size.memory_mb <= all.memory_mb - this->used.memory_mb &&
               size.accelerators <= all.accelerators - this->used.accelerators &&
               size.slots <= all.slots - this->used.slots;
    }

    /// Returns whether the latest report listed ends that may be acknowledged.
    [[nodiscard]] bool lists_durable_ends() const
    {
        return this->first_listed_end && *this->first_listed_end <= this->acknowledged;
    }

    /// Advances `acknowledged` over the leading ends that are durable.
    void acknowledge_durable();
};

/// Returns the capacity that one task of a step occupies on a worker. Best-effort tasks occupy no
/// processors. Thread safe.
teams::resources footprint(const jobs::step& step);

/// Returns what `count` tasks of a size occupy. Thread safe.
teams::resources total_of(const teams::resources& size, std::int64_t count);

/// Workers by id. Not thread safe.
using worker_map = std::map<std::string, worker_state>;

} // namespace chervilslip::scheduling
