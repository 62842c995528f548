#include "daemon/metrics.h"

#include <prometheus/text_serializer.h>

namespace chervilslip::daemon {

namespace {

using labels = std::vector<std::pair<std::string, std::string>>;

prometheus::MetricFamily make_family(const std::string& name, const std::string& help,
                                     prometheus::MetricType type)
{
    prometheus::MetricFamily family;
    family.name = "chervilslip_" + name;
    family.help = help;
    family.type = type;
    return family;
}

void add_sample(prometheus::MetricFamily& family, const labels& label_pairs, double value)
{
    prometheus::ClientMetric metric;
    for (const auto& [label_name, label_value] : label_pairs) {
        metric.label.push_back({label_name, label_value});
    }
    if (family.type == prometheus::MetricType::Counter) {
        metric.counter.value = value;
    } else {
        metric.gauge.value = value;
    }
    family.metric.push_back(std::move(metric));
}

prometheus::MetricFamily make_metric(const std::string& name, const std::string& help,
                                     prometheus::MetricType type, double value)
{
    auto family = make_family(name, help, type);
    add_sample(family, {}, value);
    return family;
}

constexpr auto counter = prometheus::MetricType::Counter;
constexpr auto gauge = prometheus::MetricType::Gauge;

void add_request_families(std::vector<prometheus::MetricFamily>& all,
                          const requests::engine_counters& counts)
{
    auto ended = make_family("requests_ended_total", "Ended requests by fate", counter);
    for (const auto& [fate, count] : counts.ended) {
        add_sample(ended, {{"fate", std::string(requests::to_string(fate))}},
                   static_cast<double>(count));
    }
    auto refused = make_family("requests_refused_total", "Refused requests by reason", counter);
    for (const auto& [reason, count] : counts.refused) {
        add_sample(refused, {{"reason", std::string(requests::to_string(reason))}},
                   static_cast<double>(count));
    }
    all.push_back(std::move(ended));
    all.push_back(std::move(refused));
    const auto add = [&all](const std::string& name, const std::string& help, std::uint64_t value) {
        all.push_back(make_metric(name, help, counter, static_cast<double>(value)));
    };
    add("requests_submitted_total", "Requests received", counts.submitted);
    add("requests_joined_total",
        "Requests that joined an earlier request with the same idempotency key", counts.joined);
    add("task_starts_total", "Task starts sent to upstreams", counts.starts);
    add("task_retries_total", "Task starts that retry an earlier start", counts.retries);
    add("starts_resolved_not_started_total", "Unanswered task starts later found not to have run",
        counts.resolved_not_started);
    add("answers_dropped_total", "Discarded answers: late, duplicate or of another attempt",
        counts.dropped_replies);
    add("requests_overflowed_total", "Task starts placed in the spare pool", counts.overflowed);
}

void add_team_families(std::vector<prometheus::MetricFamily>& all,
                       const std::map<std::string, requests::team_load>& loads)
{
    auto waiting = make_family("team_waiting", "Queued requests by team", gauge);
    auto running = make_family("team_running", "Running tasks by team", gauge);
    auto allowed =
        make_family("team_allowed", "This node's share of the team's upper limit", gauge);
    for (const auto& [team, load] : loads) {
        add_sample(waiting, {{"team", team}}, static_cast<double>(load.waiting));
        add_sample(running, {{"team", team}}, static_cast<double>(load.running));
        add_sample(allowed, {{"team", team}}, static_cast<double>(load.allowed));
    }
    all.push_back(std::move(waiting));
    all.push_back(std::move(running));
    all.push_back(std::move(allowed));
}

} // namespace

metrics::metrics(metrics_sources value_sources) : sources(std::move(value_sources))
{
}

void metrics::count_store_call(store::purpose purpose)
{
    ++this->store_calls[purpose];
}

void metrics::count_rejected()
{
    ++this->rejected;
}

std::vector<prometheus::MetricFamily> metrics::Collect() const
{
    std::vector<prometheus::MetricFamily> all;
    const auto& engine = this->sources.engine();
    add_request_families(all, engine.counters());
    add_team_families(all, engine.loads());
    all.push_back(make_metric("requests_open", "Requests that have not ended", gauge,
                              static_cast<double>(engine.open_requests())));
    all.push_back(make_metric("settings_number", "Version number of the settings in force", gauge,
                              static_cast<double>(this->sources.settings_number())));
    all.push_back(make_metric("ready", "1 while the node accepts requests", gauge,
                              this->sources.is_ready() ? 1.0 : 0.0));
    all.push_back(make_metric("connections_open", "Open connections from callers", gauge,
                              static_cast<double>(this->sources.connections())));
    all.push_back(make_metric("connections_rejected_total", "Rejected connections and requests",
                              counter, static_cast<double>(this->rejected)));
    auto calls = make_family("store_calls_total", "Store calls by purpose", counter);
    for (const auto& [purpose, count] : this->store_calls) {
        add_sample(calls, {{"purpose", std::string(store::to_string(purpose))}},
                   static_cast<double>(count));
    }
    all.push_back(std::move(calls));
    auto checks = make_family("invariant_checks_total", "Invariant checks by invariant", counter);
    const auto& invariants = this->sources.invariants();
    for (std::size_t i = 0; i < common::invariant_count; ++i) {
        const auto invariant = static_cast<common::invariant>(i);
        add_sample(checks, {{"invariant", std::string(common::to_string(invariant))}},
                   static_cast<double>(invariants.check_count(invariant)));
    }
    all.push_back(std::move(checks));
    all.push_back(make_metric("invariant_violations_total", "Invariant violations", counter,
                              static_cast<double>(invariants.violation_count())));
    return all;
}

std::string metrics::text() const
{
    return prometheus::TextSerializer{}.Serialize(this->Collect());
}

} // namespace chervilslip::daemon
