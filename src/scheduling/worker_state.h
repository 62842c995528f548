#pragma once

#include <deque>
#include <map>
#include <set>

#include "scheduling/messages.h"

namespace chervilslip::scheduling {

/// An end that a worker has listed and that must be durable before it is acknowledged.
struct pending_end {
    std::int64_t number = 0;
    std::string job;
    std::uint64_t batch = 0; ///< journal batch that carries it; 0: none yet
    bool durable = false;

    friend bool operator==(const pending_end&, const pending_end&) = default;
};

/// What the owner knows of one life of a worker.
struct worker_state {
    worker_entry entry;
    bool listed = true;      ///< stands in the registry
    bool token_seen = false; ///< has seen this owner's token
    bool cordoned = false;   ///< takes nothing new, because its VM is about to be moved or serviced

    bool poll_in_flight = false;
    common::steady_time poll_sent_at;
    common::steady_time next_poll;
    std::int64_t missed_polls = 0;
    common::milliseconds poll_wait{60000}; ///< most that the next look may wait for an end

    std::int64_t clock_ms = 0;         ///< the worker's clock at its latest answer
    common::steady_time clock_read_at; ///< when that answer came
    /// Without a further order nothing runs there after this time.
    common::steady_time leases_end_by;

    std::int64_t last_handled_end = 0; ///< highest end that was handled
    std::int64_t acknowledged = 0;     ///< highest end that is durable
    std::deque<pending_end> pending_ends;

    teams::resources used; ///< by every run that may exist there
    std::set<jobs::task_id> runs;

    std::int64_t consecutive_failures = 0; ///< ends `failed` since the last `done`
    common::steady_time last_success;
    common::steady_time last_failure;
    common::steady_time blocked_until; ///< takes nothing before this time
    common::steady_time idle_since;

    /// Returns the worker's clock at `now`, at most late by the answer's way.
    [[nodiscard]] std::int64_t clock_at(common::steady_time now) const;

    /// Notes that an order extends leases to `deadline_ms` on the worker's clock.
    void extend_leases(std::int64_t deadline_ms);

    /// Returns what is free by the owner's own count.
    [[nodiscard]] teams::resources free() const;

    /// Moves the acknowledged number over the ends that are durable.
    void acknowledge_durable();
};

/// Returns what of a step's task counts against a VM: fillers take no processors. Thread safe.
teams::resources footprint(const jobs::step& step);

/// All workers, by id. Not thread safe.
using worker_map = std::map<std::string, worker_state>;

} // namespace chervilslip::scheduling
