#pragma once

#include <deque>
#include <map>
#include <set>
#include <sstream>

#include "common/random.h"
#include "fakes/run_model.h"
#include "scheduling/scheduler.h"

namespace chervilslip::soak {

/// Faults that are planted to show that a check fires.
enum class fleet_fault {
    none,
    skip_journal,        ///< what must be durable is not written
    no_inherited_wait,   ///< a new owner does not wait for silent workers
    acknowledge_early,   ///< ends are acknowledged before they are durable
    ignore_fences,       ///< workers obey older owners
    oversold_capacity,   ///< workers claim to have more than they have
    raised_limit,        ///< the cell is told a higher limit
    dropped_dependency,  ///< the cell is told that steps wait for nothing
    raised_attempts,     ///< the cell is told of more attempts
    lost_jobs,           ///< accepted jobs are not handed to owners
    lost_cancels,        ///< acknowledged cancellations are not stored
    held_up_orders,      ///< orders reach a later instance of their worker, however late they are
    stale_notifications, ///< owners use notifications however old they are
    forgotten_crashes,   ///< a new owner is not told of earlier crashes
    invented_crashes,    ///< a new owner is told of crashes that did not happen
    unseen_shrinking,    ///< the owner is not told of shrunk capacities
    foreign_successors,  ///< entries of other writers look like those of later instances
    shared_tokens,       ///< owners use one token for all instances of a worker
    hidden_ends,         ///< reports do not say that more ends follow
};

/// What is run.
struct fleet_world_options {
    std::uint64_t seed = 1;
    std::int64_t duration_ms = 60'000; ///< of trouble; a calm time follows
    int workers = 6;
    bool crashing_tasks = false;    ///< some tasks crash each worker that starts them
    bool changing_capacity = false; ///< workers' capacities shrink and grow
    /// Workers start again within a second, the registry names the new instance late, and many are
    /// cut off soon after.
    bool quick_restarts = false;
    /// Workers leave orders unanswered and carry them out seconds later, most of them soon after a
    /// restart.
    bool late_orders = false;
    /// Workers answer late, and owners send orders and handle events with jitter.
    bool slow_answers = false;
    fleet_fault fault = fleet_fault::none;
    std::string follow; ///< events that name this job, task or worker are reported; empty: none

    friend bool operator==(const fleet_world_options&, const fleet_world_options&) = default;
};

/// What was seen.
struct fleet_world_report {
    std::map<std::string, std::uint64_t> checks;
    std::map<std::string, std::uint64_t> violations;
    std::vector<std::string> first_violations;
    std::vector<std::string> followed;
    std::uint64_t starts = 0;
    std::uint64_t owners = 0;
    std::uint64_t jobs = 0;

    friend bool operator==(const fleet_world_report&, const fleet_world_report&) = default;
};

/// Cells of successive owners over models of the store and of workers, in virtual time: answers are
/// lost, orders are carried out late, workers are cut off, crash and start anew, owners are deposed
/// without knowing. Not thread safe.
class fleet_world {
public:
    explicit fleet_world(fleet_world_options wanted);

    /// Runs to the end. Precondition: called once.
    fleet_world_report run();

private:
    struct worker_model {
        fakes::run_model runs;
        bool alive = true;
        scheduling::worker_instance listed; ///< by the registry
        std::int64_t listed_until = 0;      ///< while it is not alive
        std::int64_t cut_until = 0;
        std::int64_t postpones_until = 0;    ///< most orders
        std::int64_t earlier_processors = 0; ///< before the capacity shrank
        std::int64_t shrunk_at = 0;
    };

    struct owner_model {
        std::unique_ptr<scheduling::scheduler> scheduler;
        std::int64_t token = 0;
        std::int64_t authority_until = 0;
        std::int64_t next_read = 0; ///< of the stored jobs and cancellations
        std::map<std::size_t, std::int64_t> journal_revisions;    ///< by lane
        std::map<std::size_t, scheduling::journal_write> writing; ///< by lane
        bool gone = false;
    };

    struct job_truth {
        jobs::job job;
        std::optional<std::int64_t> cancelled_at; ///< when its cancellation was acknowledged
        bool hopeless = false;
        bool crashes = false; ///< its first task crashes its workers
        std::map<jobs::task_id, std::int64_t> crash_count;
        std::map<jobs::task_id, std::int64_t> starts_after_crashes;
        std::map<jobs::task_id, std::int64_t> failures; ///< that were acknowledged
        std::set<jobs::task_id> done;
        std::map<jobs::task_id, std::int64_t> all_failures;
        std::set<jobs::task_id> done_noted;
        std::map<jobs::task_id, std::int64_t> done_seen; ///< when an owner noted it, lapse or not
    };

    using owner = std::shared_ptr<owner_model>;

    static constexpr std::int64_t vm_processors = 6000;
    static constexpr std::int64_t max_attempts = 3;

    /// Virtual milliseconds as a time of the steady clock.
    static common::steady_time steady(std::int64_t ms)
    {
        return common::steady_time(std::chrono::hours(1) + common::milliseconds(ms));
    }

    void at(std::int64_t time, std::function<void()> action);
    void advance_to(std::int64_t time);
    void check(const std::string& name, bool holds, const std::string& detail);

    /// Reports an event if it is followed.
    template <typename... Parts>
    void trace(const Parts&... parts)
    {
        if (this->options.follow.empty()) {
            return;
        }
        std::ostringstream line;
        line << this->now << " ms: ";
        (line << ... << parts);
        if (line.str().find(this->options.follow) != std::string::npos) {
            this->report.followed.push_back(line.str());
        }
    }

    void make_workers();
    void hand_in_job();
    void cancel_some_job();
    void cancel_job(const std::string& id);
    void check_gone(const std::string& id);
    void trouble_worker();
    void crash_worker(worker_model& which);
    void register_worker(worker_model& which);
    void register_late(const worker_model& which);
    void crash_soon(const std::string& worker, const jobs::task_id& task, std::int64_t run);
    void change_capacity();
    void restore_capacities();
    [[nodiscard]] bool is_crashing(const jobs::task_id& task) const;
    [[nodiscard]] std::int64_t counted_processors(const worker_model& which) const;
    void change_owner();
    void tick_owner(const owner& which);
    void notify(std::function<void(scheduling::scheduler&)> deliver);
    void read_input(const owner& which);
    void tell_workers(const owner& which);
    [[nodiscard]] scheduling::worker_entry make_foreign_entry();
    void run_cell(const owner& which);
    void carry_out(const owner& which, scheduling::action&& what);

    [[nodiscard]] std::int64_t answer_delay();
    [[nodiscard]] std::int64_t owner_jitter();
    [[nodiscard]] bool is_postponed(const std::string& worker);
    void postpone(const std::string& worker, std::function<void()> carry_out);
    void send_look(const owner& which, const scheduling::poll_command& order);
    void give_look_up(const owner& which, const scheduling::poll_command& order, std::int64_t sent,
                      std::int64_t answer_by);
    void do_look(const owner& which, scheduling::poll_command order, std::int64_t sent,
                 std::int64_t answer_by, bool answered);
    void send_start(const owner& which, const scheduling::start_command& order);
    scheduling::command_outcome do_start(std::int64_t token, const scheduling::start_command& order,
                                         std::int64_t sent, bool received);
    void send_stop(const owner& which, const scheduling::stop_command& order);
    scheduling::command_outcome do_stop(std::int64_t token, const scheduling::stop_command& order,
                                        bool received);
    void write_journal(const owner& which, std::size_t lane);
    bool commit(std::int64_t token, std::int64_t revision, const scheduling::journal_write& order);

    void choose_end(fakes::run_request& request);
    void note_end(const scheduling::finished_run& row, bool lapsed);
    void check_start(const fakes::run_model& at, const jobs::task_id& task);
    void check_calm();
    void check_crash_budget(const jobs::task_id& task);
    void check_given_up(const std::string& job, jobs::job_state state);
    [[nodiscard]] scheduling::job_progress progress_for_owner(const std::string& job) const;
    [[nodiscard]] worker_model& worker_of(const std::string& id);
    [[nodiscard]] bool reaches(const worker_model& which) const;
    [[nodiscard]] bool is_dropped(const worker_model& at, const scheduling::worker_instance& meant,
                                  std::int64_t sent, std::int64_t limit_ms) const;
    [[nodiscard]] bool calm() const;
    [[nodiscard]] scheduling::policy policy_for_cell() const;

    fleet_world_options options;
    common::random_source random;
    // Of their own, so that the seeds of other trouble stay the same.
    common::random_source crash_random;
    common::random_source entry_random;
    common::random_source late_random;
    fleet_world_report report;
    std::int64_t now = 0;
    bool carries_out_late = false; ///< a worker carries out an order that it received seconds ago
    std::uint64_t sequence = 0;
    using event_key = std::pair<std::int64_t, std::uint64_t>;
    std::map<event_key, std::function<void()>> events;

    std::deque<worker_model> workers;
    std::map<std::string, job_truth> jobs;
    std::map<std::string, std::string> stored_progress;
    std::map<std::string, jobs::job_state> stored_closed;
    std::set<std::string> stored_cancels;
    std::int64_t claim_token = 0;
    std::int64_t revision = 0;
    std::map<std::size_t, std::int64_t> journal_revisions; ///< by lane
    std::map<std::size_t, std::string> journal_marks;      ///< by lane
    owner current;
};

} // namespace chervilslip::soak
