#pragma once

#include <deque>
#include <queue>

#include "fakes/worker_model.h"
#include "membership/view.h"
#include "requests/engine.h"
#include "teams/authenticator.h"

/// Runs the decisions of many nodes in virtual time from a seed, under faults.
namespace chervilslip::soak {

namespace detail {

/// Homes and claims are remembered so long: longer than a pause and a late second try.
inline constexpr common::milliseconds home_memory{40'000};
inline constexpr double lost_messages = 0.01;

} // namespace detail

/// What one run is made of.
struct world_options {
    std::uint64_t seed = 1;
    std::uint64_t steps = 200'000;
    int nodes = 8;
    int zones = 3;
    int workers = 24;
    requests::injected_fault fault = requests::injected_fault::none;
    std::string follow; ///< a word, such as a request's id, whose events are all kept

    friend bool operator==(const world_options&, const world_options&) = default;
};

/// How a run ended.
struct world_report {
    std::uint64_t steps = 0;
    std::uint64_t checks = 0;
    std::map<std::string, std::uint64_t> checks_by_name;
    std::map<std::string, std::uint64_t> violations_by_name;
    std::uint64_t violations = 0;
    std::uint64_t first_violation_step = 0; ///< the shortest prefix that shows it
    std::vector<std::string> trace;         ///< the events before the first violation
    std::vector<std::string> followed;
    std::map<std::string, std::uint64_t> fates;
    std::uint64_t starts = 0;
    std::uint64_t claims = 0;     ///< keyed requests that asked the workers first
    std::uint64_t adopted = 0;    ///< of those, found running
    std::uint64_t taken_over = 0; ///< tasks whose node was gone
};

/// The nodes, workers, callers and the network between them. Not thread safe.
class world {
public:
    explicit world(world_options wanted);

    /// Runs all steps, lets everything settle, and compares answers with the workers' logs.
    world_report run();

private:
    using closure = std::function<void()>;

    struct scheduled {
        common::steady_time at;
        std::uint64_t order = 0;
        closure action;
    };

    struct later {
        bool operator()(const scheduled& left, const scheduled& right) const
        {
            return std::tie(left.at, left.order) > std::tie(right.at, right.order);
        }
    };

    /// One node; a crash replaces its engine and starts a new incarnation.
    struct node_state {
        std::string name;
        std::string zone;
        int incarnation = 0;
        std::unique_ptr<common::random_source> random;
        std::unique_ptr<common::invariant_monitor> invariants;
        std::unique_ptr<requests::node_engine> engine;
        std::unique_ptr<membership::view> view;
        common::steady_time paused_until;
        bool up = false;
    };

    /// What a caller handed in, and what it was told.
    struct request_truth {
        std::string id;
        std::string team;
        std::string body;
        std::size_t node = 0;
        int incarnation = 0;
        bool repeatable = false;
        bool cancelled = false;
        std::string idempotency_key;
        std::optional<requests::response> response;
    };

    void schedule(common::milliseconds delay, closure action);
    void every(common::milliseconds mean, closure action);
    bool step();
    void check(const std::string& name, bool holds, const std::function<std::string()>& describe);
    void violate(const std::string& name, const std::string& detail);
    void trace_line(const std::string& text);

    // Nodes and messages.
    void boot(std::size_t index);
    void crash(std::size_t index);
    void deliver(std::size_t index, int incarnation, requests::event what);
    void apply(std::size_t index, const requests::event& what);
    void execute(std::size_t index, const requests::action& what);
    void send_start(std::size_t index, const requests::start_task& wanted);
    void arrive_start(std::size_t index, int incarnation, const requests::start_task& wanted,
                      bool answer);
    void send_query(std::size_t index, const requests::query_task& wanted);
    void send_stop(const requests::stop_task& wanted);
    void reply(std::size_t index, int incarnation, const requests::attempt_id& attempt,
               bool was_query, const fakes::task_reply& said);
    void reply_when_ended(std::size_t index, int incarnation, const requests::attempt_id& attempt,
                          common::steady_time until);
    void lose(std::size_t index, int incarnation, const requests::attempt_id& attempt,
              bool was_query, requests::reply_kind kind);
    void send_claim(std::size_t index, const requests::claim_task& wanted);
    void send_adopt(std::size_t index, const requests::adopt_task& wanted);
    void beat(std::size_t index, int incarnation);
    [[nodiscard]] common::milliseconds latency();
    [[nodiscard]] bool is_cut(std::size_t index, const std::string& vm) const;
    [[nodiscard]] bool are_cut(std::size_t left, std::size_t right) const;
    [[nodiscard]] bool is_zone_cut(const std::string& zone) const;
    [[nodiscard]] bool is_unreachable(std::size_t index, const std::string& vm) const;

    // Callers, operators and faults.
    void make_settings();
    void publish_settings();
    void hand_in();
    void send_request(std::size_t index, requests::request_submitted wanted);
    void relay(std::size_t index, const std::string& home, requests::request_submitted wanted);
    void settle_truth(const std::string& id, requests::request_outcome result);
    void take_answer(const requests::send_response& given);
    void cancel_some();
    void change_keys();
    void change_limits();
    void disturb();
    void poll(std::size_t index, int incarnation);
    void check_limits(const std::string& team);
    void settle();
    void check_truths();
    [[nodiscard]] std::vector<routing::upstream_info> vm_list() const;

    world_options options;
    common::random_source random;
    common::steady_time now;
    std::priority_queue<scheduled, std::vector<scheduled>, later> agenda;
    std::uint64_t scheduled_count = 0;
    std::uint64_t request_count = 0;
    std::vector<node_state> nodes;
    std::map<std::string, std::unique_ptr<fakes::worker_model>> workers;
    std::map<std::string, std::string> zone_of_worker;
    std::vector<std::string> zone_names;
    std::set<std::string> leaving;
    std::map<std::string, common::steady_time> worker_down_until;
    std::map<std::pair<std::size_t, std::string>, common::steady_time> cut_until;
    std::map<std::string, common::steady_time> zone_cut_until;
    std::shared_ptr<const settings::snapshot> in_force;
    std::map<std::string, std::vector<std::string>> secrets; ///< by team: presented keys
    std::map<std::string, std::int64_t> highest_limit;       ///< by team, over the run
    std::map<std::string, request_truth> truths;
    std::vector<std::string> recent; ///< ids, for cancellations and repeats
    std::deque<std::string> trace;
    world_report report;
    bool quiet = false; ///< no new work and no new faults, so that everything ends
};

} // namespace chervilslip::soak
