#include "daemon/fleet_metrics.h"

#include <prometheus/gauge.h>
#include <prometheus/text_serializer.h>

namespace chervilslip::daemon {

namespace {

constexpr double ms_per_second = 1000.0;

/// In seconds: from the latency of one store call to the longest time that clients wait.
const prometheus::Histogram::BucketBoundaries latency_buckets{0.002, 0.005, 0.01, 0.025, 0.05,
                                                              0.1,   0.25,  0.5,  1.0,   3.0};

double seconds(common::milliseconds time)
{
    return static_cast<double>(time.count()) / ms_per_second;
}

} // namespace

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
    std::int64_t evacuated = 0;
    std::int64_t evacuated_runs = 0;
    std::int64_t cold = 0;
    if (active_scheduler != nullptr) {
        for (const auto& [id, worker] : active_scheduler->all_workers()) {
            listed += worker.listed ? 1 : 0;
            unresponsive += worker.missed_polls > 0 ? 1 : 0;
            runs += static_cast<std::int64_t>(worker.runs.size());
            evacuated += worker.listed && worker.evacuated ? 1 : 0;
            evacuated_runs +=
                worker.evacuated ? static_cast<std::int64_t>(worker.runs.size()) : std::int64_t{0};
            cold += worker.listed && worker.cold_credit ? 1 : 0;
        }
    }
    this->workers.Add({{"state", "listed"}}).Set(static_cast<double>(listed));
    this->workers.Add({{"state", "silent"}}).Set(static_cast<double>(unresponsive));
    this->workers.Add({{"state", "runs"}}).Set(static_cast<double>(runs));
    this->workers.Add({{"state", "evacuated"}}).Set(static_cast<double>(evacuated));
    this->workers.Add({{"state", "evacuated_runs"}}).Set(static_cast<double>(evacuated_runs));
    this->workers.Add({{"state", "cold"}}).Set(static_cast<double>(cold));
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
    return prometheus::TextSerializer().Serialize(this->registry.Collect());
}

} // namespace chervilslip::daemon
