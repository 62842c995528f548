#pragma once

#include <optional>

#include "scheduling/worker_state.h"

namespace chervilslip::scheduling {

/// Limits the starts on workers that are slow for some time after their own start. Each has a
/// credit of starts that grows with the starts in its pool, in proportion to its processors, and
/// never beyond the slack: so the limit holds over every interval, and a zone that returns cold
/// is not flooded because only its workers have room. Not thread safe.
class cold_workers {
public:
    /// Unset limits: no worker is regarded as cold.
    explicit cold_workers(std::optional<cold_limits> allowed);

    /// Updates the credit of all workers. Called once a dispatch round.
    void begin_round(worker_map& workers, common::steady_time now);

    /// Returns whether a worker may get one more task beside `claimed`, the capacity that members
    /// of the same gang take there.
    [[nodiscard]] static bool allows(const worker_state& worker, const teams::resources& size,
                                     const teams::resources& claimed);

    /// Records that a task is planned for a worker.
    static void handle_planned_start(worker_state& worker);

    /// Records that a start was sent to a worker of a pool.
    void handle_sent_start(const std::string& pool);

private:
    std::optional<cold_limits> limits;
    std::map<std::string, std::int64_t> starts; ///< since the latest round, by pool
};

} // namespace chervilslip::scheduling
