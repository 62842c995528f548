#include "load/load_report.h"

#include <iomanip>
#include <sstream>

#include <boost/histogram.hpp>

namespace chervilslip::load {

namespace {

namespace histograms = boost::histogram;

constexpr double shortest_ms = 0.05;
constexpr double longest_ms = 120'000.0;
constexpr unsigned latency_bins = 1500; ///< about 1 % wide each
constexpr int plot_width = 900;
constexpr int plot_height = 260;

/// Latencies in logarithmic bins.
class latency_histogram {
public:
    void add(std::chrono::microseconds latency)
    {
        this->bins(std::max(shortest_ms, static_cast<double>(latency.count()) / 1000.0));
        ++this->total;
    }

    [[nodiscard]] double percentile(double part) const
    {
        const double wanted = part * static_cast<double>(this->total);
        double seen = 0.0;
        for (const auto& bin : histograms::indexed(this->bins, histograms::coverage::all)) {
            seen += *bin;
            if (seen >= wanted && *bin > 0) {
                return std::min(bin.bin().upper(), longest_ms);
            }
        }
        return 0.0;
    }

    [[nodiscard]] latency_summary summary() const
    {
        return {this->total, this->percentile(0.5), this->percentile(0.99),
                this->percentile(0.999)};
    }

private:
    using log_axis = histograms::axis::regular<double, histograms::axis::transform::log>;
    decltype(histograms::make_histogram(log_axis(latency_bins, shortest_ms, longest_ms))) bins =
        histograms::make_histogram(log_axis(latency_bins, shortest_ms, longest_ms));
    std::uint64_t total = 0;
};

nlohmann::json to_json(const latency_summary& summary)
{
    return {{"count", summary.count},
            {"p50_ms", summary.p50_ms},
            {"p99_ms", summary.p99_ms},
            {"p99.9_ms", summary.p999_ms}};
}

std::string to_text(const std::string& name, const latency_summary& summary)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(2) << name << ": " << summary.count << " answers, p50 "
         << summary.p50_ms << " ms, p99 " << summary.p99_ms << " ms, p99.9 " << summary.p999_ms
         << " ms\n";
    return text.str();
}

std::uint64_t count_of(const load_report& report, request_end end)
{
    const auto found = report.ends.find(end);
    return found == report.ends.end() ? 0 : found->second;
}

std::size_t second_of(const request_fate& fate)
{
    return static_cast<std::size_t>(fate.sent.count() / 1000);
}

/// One line of a plot over the seconds of a run.
std::string polyline(const std::vector<double>& values, double most, const std::string& colour)
{
    std::ostringstream points;
    for (std::size_t i = 0; i < values.size(); ++i) {
        const double x = plot_width * static_cast<double>(i) /
                         static_cast<double>(std::max<std::size_t>(1, values.size() - 1));
        const double y = plot_height * (1.0 - values[i] / std::max(most, 1e-9));
        points << x << "," << y << " ";
    }
    return "<polyline fill='none' stroke-width='2' stroke='" + colour + "' points='" +
           points.str() + "'/>\n";
}

std::string plot(const std::string& title, const std::map<std::string, std::vector<double>>& lines)
{
    static const std::vector<std::string> colours{"#1f77b4", "#ff7f0e", "#2ca02c", "#d62728",
                                                  "#9467bd", "#8c564b", "#e377c2", "#7f7f7f"};
    double most = 0.0;
    for (const auto& [name, values] : lines) {
        for (const double value : values) {
            most = std::max(most, value);
        }
    }
    std::ostringstream html;
    html << "<h2>" << title << " (top: " << most << ")</h2><svg width='" << plot_width
         << "' height='" << plot_height << "' style='border:1px solid #999'>\n";
    std::string legend;
    std::size_t next = 0;
    for (const auto& [name, values] : lines) {
        const std::string& colour = colours[next++ % colours.size()];
        html << polyline(values, most, colour);
        legend += "<span style='color:" + colour + "'>&#9632; " + name + "</span> ";
    }
    html << "</svg><p>" << legend << "</p>\n";
    return html.str();
}

} // namespace

std::string_view to_string(request_end value)
{
    switch (value) {
    case request_end::none:
        return "none";
    case request_end::done:
        return "done";
    case request_end::failed:
        return "failed";
    case request_end::refused:
        return "refused";
    case request_end::unknown:
        return "unknown";
    case request_end::cut:
        return "cut";
    }
    return "none";
}

load_report summarize(const load_plan& plan, const std::vector<request_fate>& fates)
{
    load_report report;
    latency_histogram through_system;
    latency_histogram direct;
    for (const request_fate& fate : fates) {
        if (fate.direct) {
            direct.add(fate.latency);
            continue;
        }
        const load_stream& stream = plan.streams[fate.stream];
        ++report.sent;
        ++report.ends[fate.end];
        report.lost += fate.end == request_end::none ? 1 : 0;
        report.crossed += fate.crossed ? 1 : 0;
        const bool keyed = stream.repeated_part > 0;
        report.doubled += !stream.repeatable && fate.starts > 1 ? 1 : 0;
        // Under an idempotency key the other of two requests may have run.
        report.false_refusals +=
            !keyed && fate.end == request_end::refused && fate.starts > 0 ? 1 : 0;
        if (fate.end == request_end::refused) {
            ++report.refusals[fate.reason];
        }
        if (fate.end == request_end::done) {
            through_system.add(fate.latency);
            report.in_time += fate.latency <= stream.deadline ? 1 : 0;
        }
    }
    report.through_system = through_system.summary();
    report.direct = direct.summary();
    return report;
}

std::string to_text(const load_report& report)
{
    std::ostringstream text;
    for (const auto& [end, count] : report.ends) {
        text << to_string(end) << ": " << count << "\n";
    }
    for (const auto& [reason, count] : report.refusals) {
        text << "refused as " << reason << ": " << count << "\n";
    }
    text << "done before the deadline: " << report.in_time << "\n";
    text << to_text("through the system", report.through_system);
    if (report.direct.count > 0) {
        text << to_text("direct to a worker", report.direct);
    }
    const std::uint64_t refused = count_of(report, request_end::refused);
    text << "load: sent=" << report.sent
         << " answered=" << report.sent - refused - report.lost - count_of(report, request_end::cut)
         << " refused=" << refused << " lost=" << report.lost << " doubled=" << report.doubled
         << " crossed=" << report.crossed << " cut=" << count_of(report, request_end::cut)
         << " false_refusals=" << report.false_refusals << "\n";
    return text.str();
}

nlohmann::json to_json(const load_report& report)
{
    nlohmann::json ends = nlohmann::json::object();
    for (const auto& [end, count] : report.ends) {
        ends[std::string(to_string(end))] = count;
    }
    return {{"sent", report.sent},
            {"ends", ends},
            {"refusals", report.refusals},
            {"lost", report.lost},
            {"doubled", report.doubled},
            {"crossed", report.crossed},
            {"cut", count_of(report, request_end::cut)},
            {"false_refusals", report.false_refusals},
            {"in_time", report.in_time},
            {"through_system", to_json(report.through_system)},
            {"direct", to_json(report.direct)}};
}

std::string to_html(const load_plan& plan, const std::vector<request_fate>& fates)
{
    std::size_t seconds = 1;
    for (const request_fate& fate : fates) {
        seconds = std::max(seconds, second_of(fate) + 1);
    }
    std::map<std::string, std::vector<double>> finished;
    std::vector<latency_histogram> latencies(seconds);
    for (const request_fate& fate : fates) {
        if (fate.direct || fate.end != request_end::done) {
            continue;
        }
        auto& line = finished[plan.streams[fate.stream].team];
        line.resize(seconds);
        line[second_of(fate)] += 1.0;
        latencies[second_of(fate)].add(fate.latency);
    }
    std::map<std::string, std::vector<double>> percentiles;
    for (const latency_histogram& each : latencies) {
        percentiles["p50"].push_back(each.percentile(0.5));
        percentiles["p99"].push_back(each.percentile(0.99));
    }
    return "<!doctype html><meta charset='utf-8'><title>chervilslip-load</title>"
           "<h1>chervilslip-load</h1>\n" +
           plot("Latency in ms by second of the run", percentiles) +
           plot("Requests done by team and second", finished);
}

bool is_clean(const load_report& report)
{
    return report.lost == 0 && report.doubled == 0 && report.crossed == 0 &&
           report.false_refusals == 0;
}

} // namespace chervilslip::load
