#include "daemon/fleet_metrics.h"

#include <algorithm>

#include <prometheus/gauge.h>
#include <prometheus/text_serializer.h>

namespace chervilslip::daemon {

namespace {

constexpr double ms_per_second = 1000.0;
constexpr double thousandths_per_core = 1000.0;

/// In seconds: from the latency of one store call to the longest time that clients wait.
const prometheus::Histogram::BucketBoundaries latency_buckets{0.002, 0.005, 0.01, 0.025, 0.05,
                                                              0.1,   0.25,  0.5,  1.0,   3.0};

/// Queues whose run times are exported; operators choose their number and names.
constexpr std::size_t max_queue_labels = 32;

double seconds(common::milliseconds time)
{
    return static_cast<double>(time.count()) / ms_per_second;
}

prometheus::MetricFamily make_family(const std::string& name, const std::string& help,
                                     prometheus::MetricType type)
{
    prometheus::MetricFamily family;
    family.name = name;
    family.help = help;
    family.type = type;
    return family;
}

prometheus::ClientMetric labelled(const scheduling::team_share& row)
{
    prometheus::ClientMetric metric;
    metric.label = {{"pool", row.pool}, {"team", row.team}};
    return metric;
}

} // namespace

std::vector<prometheus::MetricFamily>
team_share_metrics(const std::vector<scheduling::team_share>& rows)
{
    std::vector<scheduling::team_share> shown(
        rows.begin(),
        rows.begin() + static_cast<std::ptrdiff_t>(std::min(rows.size(), max_team_rows)));
    if (rows.size() > max_team_rows) {
        shown.push_back({"other", "other"});
        for (std::size_t i = max_team_rows; i < rows.size(); ++i) {
            shown.back().used += rows[i].used;
            shown.back().share += rows[i].share;
            shown.back().below += rows[i].below;
        }
    }
    std::vector<prometheus::MetricFamily> families{
        make_family("chervilslip_team_share", "Part of a pool that a team's weight entitles it to",
                    prometheus::MetricType::Gauge),
        make_family("chervilslip_team_usage", "Part of a pool that a team's runs use",
                    prometheus::MetricType::Gauge),
        make_family("chervilslip_team_below_share_seconds_total",
                    "Time in which a team had waiting work and too little of its share",
                    prometheus::MetricType::Counter)};
    for (const scheduling::team_share& row : shown) {
        prometheus::ClientMetric metric = labelled(row);
        metric.gauge.value = row.share;
        families[0].metric.push_back(metric);
        metric.gauge.value = row.used;
        families[1].metric.push_back(metric);
        metric.counter.value = seconds(row.below);
        families[2].metric.push_back(metric);
    }
    return families;
}

fleet_metrics::fleet_metrics()
    : calls(prometheus::BuildCounter()
                .Name("chervilslip_calls_total")
                .Help("Callers' calls by kind and answer")
                .Register(this->registry)),
      call_seconds(prometheus::BuildHistogram()
                       .Name("chervilslip_call_seconds")
                       .Help("Time from a caller's whole request to its answer")
                       .Register(this->registry)),
      jobs_refused(prometheus::BuildCounter()
                       .Name("chervilslip_jobs_refused_total")
                       .Help("Jobs that this node has refused, by reason")
                       .Register(this->registry)),
      requests_refused(prometheus::BuildCounter()
                           .Name("chervilslip_requests_refused_total")
                           .Help("Connections and requests that were refused before they reached "
                                 "the API, by listener and reason")
                           .Register(this->registry)),
      store_calls(prometheus::BuildCounter()
                      .Name("chervilslip_store_calls_total")
                      .Help("Calls to the store by way and outcome")
                      .Register(this->registry)),
      store_seconds(prometheus::BuildHistogram()
                        .Name("chervilslip_store_seconds")
                        .Help("Time of a call to the store, its own wait aside")
                        .Register(this->registry)),
      store_attempts(prometheus::BuildCounter()
                         .Name("chervilslip_store_attempts_total")
                         .Help("Attempts of calls to the store by way and outcome")
                         .Register(this->registry)),
      silent_connections(prometheus::BuildCounter()
                             .Name("chervilslip_silent_connections_total")
                             .Help("Open connections that were closed because they were silent")
                             .Register(this->registry)),
      node(prometheus::BuildGauge()
               .Name("chervilslip_node")
               .Help("State of this node")
               .Register(this->registry)),
      decisions(prometheus::BuildGauge()
                    .Name("chervilslip_decisions")
                    .Help("Counts of the owner since its claim; zero where another node decides")
                    .Register(this->registry)),
      workers(prometheus::BuildGauge()
                  .Name("chervilslip_workers")
                  .Help("Workers by what the owner knows of them")
                  .Register(this->registry)),
      run_times(prometheus::BuildGauge()
                    .Name("chervilslip_run_time_seconds")
                    .Help("Learned quantiles of the run times of the queues with most runs")
                    .Register(this->registry)),
      reservations(prometheus::BuildGauge()
                       .Name("chervilslip_reservations")
                       .Help("Reservations for large tasks since the owner's claim")
                       .Register(this->registry))
{
}

void fleet_metrics::add_call(const std::string& what, const std::string& outcome,
                             common::milliseconds taken)
{
    this->calls.Add({{"call", what}, {"answer", outcome}}).Increment();
    this->call_seconds.Add({{"call", what}}, latency_buckets).Observe(seconds(taken));
}

void fleet_metrics::add_refused_job(const std::string& reason)
{
    this->jobs_refused.Add({{"reason", reason}}).Increment();
}

void fleet_metrics::add_refused_request(const std::string& listener, const std::string& reason)
{
    this->requests_refused.Add({{"listener", listener}, {"reason", reason}}).Increment();
}

void fleet_metrics::add_store_call(const std::string& route, const std::string& outcome,
                                   common::milliseconds taken)
{
    this->store_calls.Add({{"way", route}, {"outcome", outcome}}).Increment();
    this->store_seconds.Add({{"way", route}}, latency_buckets).Observe(seconds(taken));
}

void fleet_metrics::add_store_attempt(const std::string& route, const std::string& outcome)
{
    this->store_attempts.Add({{"way", route}, {"outcome", outcome}}).Increment();
}

void fleet_metrics::add_silent_connections(const std::string& link, std::size_t count)
{
    this->silent_connections.Add({{"link", link}}).Increment(static_cast<double>(count));
}

void fleet_metrics::set_scheduler_gauges(const scheduling::scheduler* active_scheduler)
{
    const scheduling::scheduler_counters counts = active_scheduler == nullptr
                                                      ? scheduling::scheduler_counters{}
                                                      : active_scheduler->counters();
    const std::vector<std::pair<std::string, std::uint64_t>> rows{
        {"jobs_taken", counts.jobs_taken},
        {"jobs_completed", counts.jobs_completed},
        {"jobs_failed", counts.jobs_failed},
        {"jobs_cancelled", counts.jobs_cancelled},
        {"starts", counts.starts},
        {"starts_refused", counts.starts_refused},
        {"starts_unanswered", counts.starts_unanswered},
        {"runs_unexpected", counts.runs_unexpected},
        {"ends_done", counts.ends_done},
        {"ends_failed", counts.ends_failed},
        {"ends_other", counts.ends_other},
        {"runs_lost", counts.runs_lost},
        {"evacuations_of_unknown_zones", counts.evacuations_of_unknown_zones}};
    for (const auto& [name, count] : rows) {
        this->decisions.Add({{"count", name}}).Set(static_cast<double>(count));
    }
    std::int64_t listed = 0;
    std::int64_t unresponsive = 0;
    std::int64_t runs = 0;
    std::int64_t slow = 0;
    std::int64_t suspected = 0;
    std::int64_t evacuated = 0;
    std::int64_t evacuated_runs = 0;
    std::int64_t cold = 0;
    if (active_scheduler != nullptr) {
        for (const auto& [id, worker] : active_scheduler->all_workers()) {
            listed += worker.listed ? 1 : 0;
            unresponsive += worker.missed_polls > 0 ? 1 : 0;
            runs += static_cast<std::int64_t>(worker.runs.size());
            slow += worker.speed.verdict == scheduling::speed_verdict::slow ? 1 : 0;
            suspected += worker.speed.verdict == scheduling::speed_verdict::suspected ? 1 : 0;
            evacuated += worker.listed && worker.evacuated ? 1 : 0;
            evacuated_runs +=
                worker.evacuated ? static_cast<std::int64_t>(worker.runs.size()) : std::int64_t{0};
            cold += worker.listed && worker.cold_credit ? 1 : 0;
        }
    }
    this->workers.Add({{"state", "listed"}}).Set(static_cast<double>(listed));
    this->workers.Add({{"state", "silent"}}).Set(static_cast<double>(unresponsive));
    this->workers.Add({{"state", "runs"}}).Set(static_cast<double>(runs));
    this->workers.Add({{"state", "slow"}}).Set(static_cast<double>(slow));
    this->workers.Add({{"state", "suspected_slow"}}).Set(static_cast<double>(suspected));
    this->workers.Add({{"state", "evacuated"}}).Set(static_cast<double>(evacuated));
    this->workers.Add({{"state", "evacuated_runs"}}).Set(static_cast<double>(evacuated_runs));
    this->workers.Add({{"state", "cold"}}).Set(static_cast<double>(cold));
    this->set_run_times(active_scheduler);
    this->set_reservation_gauges(active_scheduler);
}

void fleet_metrics::set_run_times(const scheduling::scheduler* active_scheduler)
{
    for (prometheus::Gauge* each : std::exchange(this->run_time_rows, {})) {
        this->run_times.Remove(each);
    }
    if (active_scheduler == nullptr) {
        return;
    }
    for (const auto& row : active_scheduler->run_times().summaries(max_queue_labels)) {
        const std::vector<std::pair<std::string, common::milliseconds>> quantiles{
            {"0.5", row.median}, {"0.95", row.upper}};
        for (const auto& [share, time] : quantiles) {
            prometheus::Gauge& gauge =
                this->run_times.Add({{"queue", row.queue}, {"quantile", share}});
            gauge.Set(seconds(time));
            this->run_time_rows.push_back(&gauge);
        }
    }
}

void fleet_metrics::set_reservation_gauges(const scheduling::scheduler* active_scheduler)
{
    scheduling::reservation_counters counts;
    std::size_t open = 0;
    if (active_scheduler != nullptr) {
        counts = active_scheduler->reserved_places().counters();
        open = active_scheduler->reserved_places().open().size();
    }
    const std::vector<std::pair<std::string, double>> rows{
        {"open", static_cast<double>(open)},
        {"made", static_cast<double>(counts.made)},
        {"used", static_cast<double>(counts.used)},
        {"given_up", static_cast<double>(counts.given_up)},
        {"moved", static_cast<double>(counts.moved)},
        {"held_core_seconds",
         static_cast<double>(counts.held_core_ms) / (thousandths_per_core * ms_per_second)},
        {"start_wait_seconds", static_cast<double>(counts.start_wait_ms) / ms_per_second}};
    for (const auto& [name, value] : rows) {
        this->reservations.Add({{"value", name}}).Set(value);
    }
}

std::string fleet_metrics::text(const state& current)
{
    this->node.Add({{"value", "ready"}}).Set(current.ready ? 1 : 0);
    this->node.Add({{"value", "decides"}}).Set(current.active_scheduler == nullptr ? 0 : 1);
    this->node.Add({{"value", "configuration_version"}})
        .Set(static_cast<double>(current.configuration_version));
    this->node.Add({{"value", "configuration_age_seconds"}})
        .Set(seconds(current.configuration_age));
    this->node.Add({{"value", "store_contact_age_seconds"}})
        .Set(seconds(current.store_contact_age));
    this->node.Add({{"value", "owner_lag_seconds"}}).Set(seconds(current.owner_lag));
    this->node.Add({{"value", "admission_share"}}).Set(current.admission_share);
    this->node.Add({{"value", "owner_start_round_trip_seconds"}})
        .Set(seconds(current.owner_signals.round_trip));
    this->node.Add({{"value", "owner_mean_lag_seconds"}})
        .Set(seconds(current.owner_signals.timer_lag));
    this->set_scheduler_gauges(current.active_scheduler);
    std::vector<prometheus::MetricFamily> families = this->registry.Collect();
    if (current.active_scheduler != nullptr) {
        for (auto& each : team_share_metrics(current.active_scheduler->team_shares())) {
            families.push_back(std::move(each));
        }
    }
    return prometheus::TextSerializer().Serialize(families);
}

} // namespace chervilslip::daemon
