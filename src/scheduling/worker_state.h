#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>

#include "scheduling/messages.h"

namespace chervilslip::scheduling {

/// An ended run that a worker has reported. It must be durable before it is acknowledged.
struct pending_end {
    std::int64_t number = 0;
    std::string job;
    std::uint64_t batch = 0; ///< journal batch that contains it; 0: none yet
    bool durable = false;

    friend bool operator==(const pending_end&, const pending_end&) = default;
};

/// The owner's view of one worker instance.
struct worker_state {
    worker_entry entry;
    bool listed = true;        ///< present in the registry
    std::uint64_t listing = 0; ///< the latest listing that contained it
    bool token_seen = false;   ///< has answered a poll with this owner's token
    bool cordoned = false;     ///< gets no new tasks; its VM is about to be moved or serviced

    bool poll_in_flight = false;
    common::steady_time poll_sent_at;
    common::steady_time next_poll;
    std::int64_t missed_polls = 0;
    common::milliseconds poll_wait{60000}; ///< maximum wait of the next poll

    std::int64_t clock_ms = 0;         ///< the worker's clock at its latest response
    common::steady_time clock_read_at; ///< when that response arrived
    /// Unless a further command extends the leases, no run exists there after this time.
    common::steady_time leases_end_by;

    std::int64_t last_handled_end = 0; ///< highest number of a handled end
    std::int64_t acknowledged = 0;     ///< highest number of a durable end
    std::deque<pending_end> pending_ends;

    teams::resources used; ///< by all runs that may exist there
    std::set<jobs::task_id> runs;
    std::set<jobs::task_id> suspects; ///< runs of tasks under which workers have crashed
    /// The worker gets no other new task until this one has survived its start.
    std::optional<jobs::task_id> isolated_task;
    common::steady_time isolated_since;

    std::int64_t consecutive_failures = 0; ///< runs that ended `failed` since the last `done`
    common::steady_time last_success;
    common::steady_time last_failure;
    common::steady_time blocked_until; ///< gets no new tasks before this time
    common::steady_time idle_since;

    /// Returns an estimate of the worker's clock at `now`. It lags behind by at most the latency of
    /// the last response.
    [[nodiscard]] std::int64_t clock_at(common::steady_time now) const;

    /// Records that a command extends leases to `deadline_ms` on the worker's clock.
    void extend_leases(std::int64_t deadline_ms);

    /// Returns the free capacity by the owner's own accounting.
    [[nodiscard]] teams::resources free() const;

    /// Advances `acknowledged` over the leading ends that are durable.
    void acknowledge_durable();
};

/// Returns the capacity that one task of a step occupies on a worker. Best-effort tasks occupy no
/// processors. Thread safe.
teams::resources footprint(const jobs::step& step);

/// Workers by id. Not thread safe.
using worker_map = std::map<std::string, worker_state>;

} // namespace chervilslip::scheduling
