#pragma once

#include <prometheus/counter.h>
#include <prometheus/histogram.h>
#include <prometheus/metric_family.h>
#include <prometheus/registry.h>

#include "admission/admission_controller.h"
#include "scheduling/scheduler.h"

namespace chervilslip::daemon {

/// Returns metrics of what teams have of their pools, by pool and team. Rows beyond the first
/// `max_team_rows` are added up under "other", to bound the number of series. Thread safe.
std::vector<prometheus::MetricFamily>
team_share_metrics(const std::vector<scheduling::team_share>& rows);

inline constexpr std::size_t max_team_rows = 128;

/// Prometheus counters, gauges and latency histograms of an entry node. Not thread safe.
class fleet_metrics {
public:
    fleet_metrics();

    /// Records a client's call. `what` is the HTTP method, `outcome` the status of the response.
    void add_call(const std::string& what, const std::string& outcome, common::milliseconds taken);

    /// Records a job that was refused.
    void add_refused_job(const std::string& reason);

    /// Records a connection or request that was refused before it reached the API.
    void add_refused_request(const std::string& listener, const std::string& reason);

    /// Records a call to the store. `route` is the route that answered, or "none".
    void add_store_call(const std::string& route, const std::string& outcome,
                        common::milliseconds taken);

    /// Records one attempt of a call to the store on one route.
    void add_store_attempt(const std::string& route, const std::string& outcome);

    /// Records connections that went silent. `link` names what they led to.
    void add_silent_connections(const std::string& link, std::size_t count);

    /// Current values that are exported as gauges.
    struct state {
        bool ready = false;
        std::int64_t configuration_version = 0;
        /// Since the version in force was known to be the newest one.
        common::milliseconds configuration_age{0};
        common::milliseconds store_contact_age{0};
        common::milliseconds owner_lag{0}; ///< of its timer, at most since the last reading
        double admission_share = 1.0;      ///< that this node applies to new jobs
        admission::controller_signals owner_signals; ///< zero unless this node owns the fleet
        /// Null unless this node owns the fleet.
        const scheduling::scheduler* active_scheduler = nullptr;

        friend bool operator==(const state&, const state&) = default;
    };

    /// Returns all metrics in the Prometheus text format.
    [[nodiscard]] std::string text(const state& current);

private:
    void set_scheduler_gauges(const scheduling::scheduler* active_scheduler);
    void set_run_times(const scheduling::scheduler* active_scheduler);
    void set_reservation_gauges(const scheduling::scheduler* active_scheduler);

    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter>& calls;
    prometheus::Family<prometheus::Histogram>& call_seconds;
    prometheus::Family<prometheus::Counter>& jobs_refused;
    prometheus::Family<prometheus::Counter>& requests_refused;
    prometheus::Family<prometheus::Counter>& store_calls;
    prometheus::Family<prometheus::Histogram>& store_seconds;
    prometheus::Family<prometheus::Counter>& store_attempts;
    prometheus::Family<prometheus::Counter>& silent_connections;
    prometheus::Family<prometheus::Gauge>& node;
    prometheus::Family<prometheus::Gauge>& decisions;
    prometheus::Family<prometheus::Gauge>& workers;
    prometheus::Family<prometheus::Gauge>& run_times;
    /// Gauges that are exported, so that those of queues without a row can be removed.
    std::vector<prometheus::Gauge*> run_time_rows;
    prometheus::Family<prometheus::Gauge>& reservations;
};

} // namespace chervilslip::daemon
