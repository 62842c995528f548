#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "common/clock.h"
#include "jobs/job.h"

namespace chervilslip::scheduling {

/// A step of one occurrence of a job.
struct step_id {
    std::string job;
    std::int64_t occurrence = 0;
    jobs::step_index step = 0;

    friend auto operator<=>(const step_id&, const step_id&) = default;
};

/// The steps that need tickets, and the calls to the advice service that are under way. The service
/// handles one call at a time and also works on calls that were given up, so calls that wait for it
/// longer than their time limit keep it busy for nothing. Therefore few calls are under way, and
/// the steps wait here. Not thread safe.
class advice_backlog {
public:
    /// Begins a round of dispatch. Steps that are not added in it can't use tickets for now; they
    /// keep their places.
    void begin_round();

    /// Adds a step that could start a task if it had tickets. Has no effect on the place of a step
    /// that waits already.
    void add(const step_id& step, common::steady_time now);

    /// Removes the steps of a job. Its calls that are under way still occupy the service.
    void remove_job(const std::string& job);

    /// Returns whether the service may be called.
    [[nodiscard]] bool may_call(common::steady_time now) const;

    /// Returns the steps to ask for, the one that has waited longest first.
    [[nodiscard]] std::vector<step_id> oldest_first() const;

    /// Returns how many workers the next call may name, as each takes the service time.
    [[nodiscard]] std::size_t max_workers() const;

    /// Records that the service is asked for a step. Precondition: `may_call`, and no
    /// call for the step is under way.
    void handle_request(const step_id& step, common::steady_time now);

    /// Records the end of a call. `answered` is false if the call was rejected, failed or timed
    /// out.
    void handle_response(const step_id& step, bool answered, common::steady_time now);

private:
    struct waiting_step {
        common::steady_time since;
        std::uint64_t round = 0; ///< the last one that added the step
    };

    [[nodiscard]] bool is_quick() const;
    [[nodiscard]] bool is_askable(const step_id& step, const waiting_step& state) const;

    std::map<step_id, waiting_step> waiting;
    std::map<step_id, common::steady_time> sent_at; ///< of the calls under way
    std::uint64_t round = 1;
    std::optional<common::milliseconds> response_time; ///< of the last answered call
    std::int64_t failures = 0;                         ///< since the last answered call
    common::steady_time resume_at; ///< no calls before, because the last one has failed
};

} // namespace chervilslip::scheduling
