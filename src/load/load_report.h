#pragma once

#include "load/load_plan.h"

namespace chervilslip::load {

/// How one request ended for its caller.
enum class request_end {
    none, ///< no answer came at all
    done,
    failed,
    refused, ///< with the word that nothing was run
    unknown, ///< with the word that it may have run
    cut,     ///< the connection ended, or timed out, after the request was sent
};

/// Returns the name of an end. Thread safe.
std::string_view to_string(request_end value);

/// What is known of one request.
struct request_fate {
    std::size_t stream = 0;
    std::size_t nonce = 0;        ///< two requests under one idempotency key have the same
    bool direct = false;          ///< sent to a worker without the system
    common::milliseconds sent{0}; ///< since the run began
    std::chrono::microseconds latency{0};
    request_end end = request_end::none;
    std::string reason;
    bool crossed = false; ///< the output belongs to another request
    int starts = 0;       ///< in the workers' logs

    friend bool operator==(const request_fate&, const request_fate&) = default;
};

/// Percentiles of latencies.
struct latency_summary {
    std::uint64_t count = 0;
    double p50_ms = 0.0;
    double p99_ms = 0.0;
    double p999_ms = 0.0;

    friend bool operator==(const latency_summary&, const latency_summary&) = default;
};

/// The result of a run.
struct load_report {
    std::uint64_t sent = 0;
    std::map<request_end, std::uint64_t> ends;
    std::map<std::string, std::uint64_t> refusals;
    std::uint64_t lost = 0;    ///< without any answer
    std::uint64_t doubled = 0; ///< unrepeatable, and started more than once
    std::uint64_t crossed = 0;
    std::uint64_t false_refusals = 0; ///< refused as not run, and started
    std::uint64_t in_time = 0;        ///< done before the deadline
    latency_summary through_system;
    latency_summary direct;

    friend bool operator==(const load_report&, const load_report&) = default;
};

/// Sums up a run. Thread safe.
load_report summarize(const load_plan& plan, const std::vector<request_fate>& fates);

/// Returns the report for people, the last line of which names every fault counted. Thread safe.
std::string to_text(const load_report& report);

/// Returns the report for programs. Thread safe.
nlohmann::json to_json(const load_report& report);

/// Returns one HTML page with plots of latency and of each team's finished work. Thread safe.
std::string to_html(const load_plan& plan, const std::vector<request_fate>& fates);

/// Tells whether no promise was broken. Thread safe.
bool is_clean(const load_report& report);

} // namespace chervilslip::load
