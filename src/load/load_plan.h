#pragma once

#include "common/error.h"
#include "net/http_message.h"
#include "settings/documents.h"

/// The open-loop load and experiment tool.
namespace chervilslip::load {

/// How arrivals vary over time.
enum class arrival_profile {
    steady, ///< every queue at its mean
    burst,  ///< each queue in turn at five times its mean, and a twentieth of it in between
};

/// The requests of one queue under one key.
struct load_stream {
    std::string queue;
    std::string team;
    std::string key; ///< empty on an open queue
    double mean_per_second = 1.0;
    common::milliseconds run_time{20};
    common::milliseconds deadline{10000};
    bool repeatable = false;
    double urgent_part = 0.0;
    double repeated_part = 0.0; ///< sent twice, under one idempotency key, to any two nodes

    friend bool operator==(const load_stream&, const load_stream&) = default;
};

/// One experiment.
struct load_plan {
    std::vector<net::endpoint> nodes; ///< the balancer's targets
    net::endpoint vm_list;            ///< where the workers and their logs are found
    arrival_profile profile = arrival_profile::steady;
    std::chrono::seconds length{10};
    std::chrono::seconds turn{4};   ///< how long each queue's burst lasts
    double direct_per_second = 0.0; ///< calls that go to workers without the system
    std::uint64_t seed = 1;
    std::vector<load_stream> streams;

    friend bool operator==(const load_plan&, const load_plan&) = default;
};

/// Reads a plan's file, JSON with comments. Thread safe. Errors: `bad_message`, `invalid`.
common::result<load_plan> load_plan_file(const std::string& file);

/// Returns the rate of a stream at a moment of the run, in requests a second. Thread safe.
double rate_at(const load_plan& plan, std::size_t stream, common::milliseconds since_start);

} // namespace chervilslip::load
