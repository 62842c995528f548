#pragma once

#include <prometheus/counter.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include "scheduling/scheduler.h"

namespace chervilslip::daemon {

/// Counters and latency histograms of an entry node, in Prometheus' form. Not thread safe.
class fleet_metrics {
public:
    fleet_metrics();

    /// Notes how a call of callers was answered. `what` names the call, `outcome` the answer.
    void add_call(const std::string& what, const std::string& outcome, common::milliseconds taken);

    /// Notes a call to the store or its failure.
    void add_store_call(const std::string& way, const std::string& outcome,
                        common::milliseconds taken);

    /// What is shown beside the counters.
    struct state {
        bool ready = false;
        std::int64_t configuration_version = 0;
        common::milliseconds store_contact_age{0};
        const scheduling::scheduler* deciding = nullptr; ///< null when another node decides

        friend bool operator==(const state&, const state&) = default;
    };

    /// Returns all metrics as text.
    [[nodiscard]] std::string text(const state& now);

private:
    void set_cell_gauges(const scheduling::scheduler* deciding);

    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter>& calls;
    prometheus::Family<prometheus::Histogram>& call_seconds;
    prometheus::Family<prometheus::Counter>& store_calls;
    prometheus::Family<prometheus::Histogram>& store_seconds;
    prometheus::Family<prometheus::Gauge>& node;
    prometheus::Family<prometheus::Gauge>& decisions;
    prometheus::Family<prometheus::Gauge>& workers;
};

} // namespace chervilslip::daemon
