#pragma once

#include <deque>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "common/clock.h"

namespace chervilslip::admission {

/// Knows which jobs may be stored, or may yet be, although their callers were not told so: the
/// store has not responded to a write, here or at a peer. Refusing such a job must not promise that
/// it never runs. Not thread safe.
class unconfirmed_submissions {
public:
    /// Callers repeat a submission without an answer within this time.
    static constexpr common::milliseconds repeat_window{10'000};

    /// Jobs that are remembered at most.
    static constexpr std::size_t max_jobs = 65'536;

    /// A new process has not been told what its peers know.
    explicit unconfirmed_submissions(common::steady_time started_at);

    /// Remembers a job of which a write got no response. Precondition: time does not go back.
    void add(const std::string& id, common::steady_time now);

    /// Returns the jobs that are remembered, for a peer that may not have been told of them.
    [[nodiscard]] std::vector<std::string> remembered(common::steady_time now) const;

    /// Handles that a peer was lost: nobody tells of its writes that got no response.
    void handle_peer_lost(const std::string& peer, common::steady_time now);

    /// Handles that a peer was connected. One that returns has told others in the meantime.
    void handle_peer_connected(const std::string& peer, common::steady_time now);

    /// Returns whether it is known that no earlier submission of a job may have been stored.
    [[nodiscard]] bool excludes(const std::string& id, common::steady_time now) const;

private:
    struct entry {
        std::string id;
        common::steady_time ends_at;
    };

    std::deque<entry> in_order;
    std::unordered_map<std::string, common::steady_time> end_by_id;
    std::set<std::string> lost_peers;
    common::steady_time gap_ends_at; ///< until then, jobs may be missing here
};

} // namespace chervilslip::admission
