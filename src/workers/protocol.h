#pragma once

#include <nlohmann/json.hpp>

#include "common/error.h"
#include "requests/messages.h"

/// The workers' published interface: its messages and their JSON.
namespace chervilslip::workers {

/// What a worker is asked to start.
struct start_order {
    requests::attempt_id attempt;
    std::string node;
    std::int64_t incarnation = 0; ///< grows with each start of a node of that name
    std::string request;
    std::string team;
    std::string queue;
    std::string body;
    teams::resources need;
    common::milliseconds lease{15000};
    common::milliseconds hold{0}; ///< how long the worker waits for the end before it answers
    bool repeatable = false;

    friend bool operator==(const start_order&, const start_order&) = default;
};

/// What a worker answers to a start, a query or a stop.
struct task_reply {
    requests::reply_kind kind = requests::reply_kind::not_started;
    bool succeeded = false;
    std::string output;
    common::milliseconds run_time{0};

    friend bool operator==(const task_reply&, const task_reply&) = default;
};

/// A task that a worker reports as running.
struct running_task {
    std::string task;
    std::string request;
    int attempt = 0;
    std::string node; ///< that started it
    std::string team;
    teams::resources need;
    common::milliseconds lease_left{0};

    friend bool operator==(const running_task&, const running_task&) = default;
};

/// What a worker reports of its use; it may be older than now.
struct usage_snapshot {
    std::string epoch;
    std::int64_t version = 0; ///< changes with each change of the other fields
    bool draining = false;
    std::vector<running_task> tasks;

    friend bool operator==(const usage_snapshot&, const usage_snapshot&) = default;
};

/// What a worker answers to a claim, or to the question what it knows of a task.
struct claim_reply {
    requests::claim_kind kind = requests::claim_kind::inconclusive;
    std::string epoch;
    int attempt = 0; ///< of the run that it knows; 0 for none
    bool succeeded = false;
    std::string output;
    std::string team;
    std::string queue;
    std::optional<common::milliseconds> forgot_before; ///< how long ago it last lost its memory

    friend bool operator==(const claim_reply&, const claim_reply&) = default;
};

/// Conversions to JSON. Thread safe.
nlohmann::json to_json(const start_order& order);
nlohmann::json to_json(const requests::attempt_id& attempt, const task_reply& reply);
nlohmann::json to_json(const usage_snapshot& usage);
nlohmann::json to_json(const claim_reply& reply);

/// Conversions from JSON. Thread safe. Errors: `bad_message` with the field in `detail`.
common::result<start_order> parse_start_order(const std::string& text, const std::string& peer);
common::result<usage_snapshot> parse_usage(const std::string& text, const std::string& peer);

/// Reads the answer to a claim. Thread safe. Errors: `bad_message`.
common::result<claim_reply> parse_claim_reply(const std::string& text, const std::string& peer);

/// Returns what a reply means to a node that must know of every run in the last `memory`.
/// Thread safe.
requests::claim_replied claim_for_node(const claim_reply& reply, const std::string& task,
                                       const std::string& worker, common::milliseconds memory);

/// Reads a reply and checks that it belongs to `attempt`. Thread safe.
/// Errors: `bad_message` when it is cut short, or names another attempt.
common::result<task_reply> parse_task_reply(const std::string& text,
                                            const requests::attempt_id& attempt);

/// Returns what a node makes of a report: what tasks of other nodes hold. Thread safe.
routing::usage_report report_for_node(const usage_snapshot& usage, const std::string& node);

/// Returns the target of a query or stop. Thread safe.
std::string task_target(const requests::attempt_id& attempt, std::string_view verb,
                        common::milliseconds lease, common::milliseconds hold);

} // namespace chervilslip::workers
