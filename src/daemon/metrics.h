#pragma once

#include <prometheus/collectable.h>

#include "requests/engine.h"
#include "store/store.h"

namespace chervilslip::daemon {

/// Sources of the metric values, called on each collection.
struct metrics_sources {
    std::function<const requests::node_engine&()> engine;
    std::function<const common::invariant_monitor&()> invariants;
    std::function<std::int64_t()> settings_number;
    std::function<bool()> is_ready;
    std::function<std::size_t()> connections;
};

/// Exports the node's counters and gauges as Prometheus metrics. Not thread safe: to be used on the
/// io_context's thread only.
class metrics final : public prometheus::Collectable {
public:
    explicit metrics(metrics_sources value_sources);

    /// Counts a call to the store.
    void count_store_call(store::purpose purpose);

    /// Counts a rejected connection or request.
    void count_rejected();

    /// Returns all metrics.
    [[nodiscard]] std::vector<prometheus::MetricFamily> Collect() const override;

    /// Returns all metrics in the Prometheus text exposition format.
    [[nodiscard]] std::string text() const;

private:
    metrics_sources sources;
    std::map<store::purpose, std::uint64_t> store_calls;
    std::uint64_t rejected = 0;
};

} // namespace chervilslip::daemon
