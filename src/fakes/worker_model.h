#pragma once

#include <map>
#include <string>
#include <vector>

#include "workers/protocol.h"

/// Small stand-ins of the platform for tests, trials and the demo: store, VM list and workers.
namespace chervilslip::fakes {

/// One line of a worker's log of starts: the truth that tests compare with.
struct start_entry {
    std::int64_t at_ms = 0;
    std::string vm;
    std::string epoch;
    std::string task;
    std::string request;
    std::string node;
    std::string team;
    std::string queue;
    std::string body;
    int attempt = 0;

    friend bool operator==(const start_entry&, const start_entry&) = default;
};

using workers::start_order;
using workers::task_reply;
using workers::usage_snapshot;

/// How a task behaves; the fake reads it from the task's body.
struct task_behaviour {
    common::milliseconds run_time{0};
    bool fails = false; ///< wherever it runs

    friend bool operator==(const task_behaviour&, const task_behaviour&) = default;
};

/// The switches of a worker's faults.
struct worker_switches {
    bool fails_everything = false;
    common::milliseconds usage_lag{500};
    double slowness = 1.0; ///< factor on every run time

    friend bool operator==(const worker_switches&, const worker_switches&) = default;
};

/// One worker without I/O: tasks in slots under leases. Not thread safe. Precondition: time never
/// goes back.
class worker_model {
public:
    worker_model(std::string vm, teams::resources size);

    /// Starts a task, or says why not. A task that is known already is not started again, unless
    /// it is repeatable and the order is a later attempt.
    task_reply start(const start_order& order, const task_behaviour& behaviour,
                     common::steady_time now);

    /// Says what became of an attempt, and renews its lease. An attempt that is not known will
    /// never be started.
    task_reply query(const requests::attempt_id& attempt, common::milliseconds lease,
                     common::steady_time now);

    /// Stops an attempt; one that is not known will never be started.
    task_reply stop(const requests::attempt_id& attempt, common::steady_time now);

    /// Tells what is known of a task and, for a node, keeps other nodes from starting it. Of two
    /// nodes that claim the same task, the later incarnation gets it.
    workers::claim_reply claim(const std::string& task, const std::string& node,
                               std::int64_t incarnation, common::steady_time now);

    /// Hands a running task over to a node, which renews its lease from now on. Returns false when
    /// it does not run.
    bool adopt(const std::string& task, const std::string& node, common::milliseconds lease,
               common::steady_time now);

    /// Tells what is known of a task, named by itself or by its request.
    workers::claim_reply show(const std::string& task, common::steady_time now);

    /// Saves a running task's progress. Returns false when it does not run.
    bool checkpoint(const std::string& task, common::steady_time now);

    /// Makes a running task slower by `factor` >= 1. Returns false when it does not run.
    bool throttle(const std::string& task, double factor, common::steady_time now);

    /// Ends tasks whose run time or lease is over.
    void advance(common::steady_time now);

    /// Takes no new tasks until `undrain` or `reboot`.
    void drain();
    void undrain();

    /// Starts anew: running tasks are lost and everything is forgotten but the log.
    void reboot(common::steady_time now);

    /// Returns the last report, which lags behind. A node's first call under a new incarnation gets
    /// a report of this moment, and fences off the starts of its earlier incarnations.
    usage_snapshot usage(const std::string& node, std::int64_t incarnation,
                         common::steady_time now);

    [[nodiscard]] std::int64_t running() const;
    [[nodiscard]] std::int64_t running_of(const std::string& team) const;
    [[nodiscard]] bool is_draining() const;
    [[nodiscard]] const std::string& vm() const;
    [[nodiscard]] const std::string& epoch() const;
    [[nodiscard]] const std::vector<start_entry>& log() const;
    [[nodiscard]] const teams::resources& size() const;

    worker_switches switches;

private:
    enum class task_state { running, succeeded, failed };

    struct task {
        start_order order;
        bool fails = false;
        task_state state = task_state::running;
        common::steady_time started;
        common::steady_time ends;
        common::steady_time lease_until;
        common::steady_time ended;
        common::steady_time checkpointed;
        std::string output;
    };

    [[nodiscard]] task_reply reply_of(const task& each) const;
    void end(task& each, task_state state, std::string output, common::steady_time now);
    void forget_old(common::steady_time now);

    std::string name;
    teams::resources capacity;
    teams::resources used;
    std::int64_t epoch_number = 1;
    std::string epoch_text;
    bool draining = false;
    std::map<std::string, task> tasks;
    std::set<std::pair<std::string, int>> forbidden;                    ///< task and attempt
    std::map<std::string, std::pair<std::int64_t, std::string>> claims; ///< incarnation and node
    std::optional<common::steady_time> forgot_at;
    std::vector<start_entry> starts;
    std::map<std::string, std::int64_t> incarnations; ///< by node, the newest seen
    usage_snapshot reported;
    std::optional<common::steady_time> reported_at;
    std::int64_t version = 1; ///< counts what changes a report
};

} // namespace chervilslip::fakes
