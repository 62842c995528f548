#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "admission/admission_controller.h"
#include "admission/admission_gate.h"
#include "common/event_log.h"
#include "daemon/fleet_configuration.h"
#include "daemon/fleet_controller.h"
#include "daemon/worker_registry_port.h"
#include "ownership/claim_manager.h"
#include "scheduling/batch_window.h"
#include "scheduling/scheduler.h"
#include "scheduling/worker_port.h"
#include "store/prefix_follower.h"

namespace chervilslip::daemon {

/// Dependencies of a scheduler_host. All references must outlive it.
struct scheduler_host_dependencies {
    boost::asio::io_context& context;
    const common::clock& clock;
    const common::event_log& log;
    store::transactional_store& store;
    scheduling::worker_port& workers;
    fleet::vm_control& machines;
    worker_registry_port& registry;
    scheduling::scheduler_options scheduling_options;
    common::milliseconds closed_job_retention; ///< how long the state of a closed job is retained
    /// Returns whether a process is known to have terminated.
    std::function<bool(const process_identity&)> has_ended;
    /// Called with all workers that the owner knows.
    std::function<void(const std::vector<scheduling::worker_entry>&)> on_workers_changed;
    /// Called when the owner's load changes how long commands are to be gathered.
    std::function<void(common::milliseconds)> on_batch_window_changed;
    ownership::claim_options claim;
    fleet_controller_options controller_options;
};

/// Competes for ownership of the fleet, and runs the scheduler while this node holds the claim:
/// restores the state that previous owners persisted, passes events to the scheduler and executes
/// its actions. When the claim is lost, all scheduler state is discarded. Not thread safe: used on
/// the io_context's thread.
class scheduler_host {
public:
    /// `self` identifies this process; `address` is the address at which peers reach it.
    scheduler_host(scheduler_host_dependencies injected, process_identity self, std::string address,
                   std::uint64_t seed);
    scheduler_host(const scheduler_host&) = delete;
    scheduler_host& operator=(const scheduler_host&) = delete;
    ~scheduler_host();

    void start();

    /// Releases the claim and does not compete for it again. Waits a limited time for pending VM
    /// orders first.
    void resign();

    /// Applies a newer configuration. Precondition: its version is higher than the current one.
    void configure(std::shared_ptr<const fleet_configuration> newer);

    /// Sets the maintenance waves that operators have requested.
    void set_waves(std::vector<maintenance::wave_request> waves);

    /// Sets the zones that operators want evacuated.
    void set_evacuated_zones(scheduling::evacuated_zones zones);

    /// Records that the operators' keys as of `as_of` have been passed on.
    void confirm_operator_keys(common::steady_time as_of);

    /// Gives up the claim, if this node holds it, because its state may be inconsistent. The node
    /// competes for the claim again.
    void abandon(const std::string& cause);

    /// Sets the callback for each new holder of the claim.
    void on_owner_change(std::function<void(const ownership::claim_record&)> callback);

    /// Returns the most recently observed claim.
    [[nodiscard]] const std::optional<ownership::claim_record>& owner() const;

    /// Returns the scheduler while this node owns the fleet; null otherwise.
    [[nodiscard]] scheduling::scheduler* active_scheduler();

    /// Returns by how much the owner's timer was late at most since the last call.
    common::milliseconds take_lag();

    /// Returns what entry nodes need to decide about new jobs, kept up to date from the store.
    [[nodiscard]] admission::admission_gate& admission_gate();

    /// Returns the controller of admissions while this node owns the fleet; null otherwise.
    [[nodiscard]] const admission::admission_controller* admission_controller() const;

    /// Passes a notified job or cancellation, written at a revision of the store, to the scheduler.
    /// Does nothing unless this node owns the fleet.
    void handle_job(const jobs::job& accepted, std::int64_t revision);
    void handle_cancel(const std::string& id, std::int64_t revision);

    /// Passes a worker's report on that arrived after its poll was given up. Does nothing unless
    /// this node owns the fleet.
    void handle_late_report(const scheduling::worker_instance& worker,
                            const scheduling::worker_report& report);

private:
    /// Delay before a failed read of the claim, or during a takeover, is retried.
    static constexpr common::milliseconds read_retry_delay{80};

    /// State read from the store since the claim was acquired.
    struct takeover_state {
        std::size_t heads_read = 0; ///< of journal lanes
        bool progress_read = false;
        bool input_read = false;
        store::item_map input;
        std::int64_t input_revision = 0;
        std::map<std::string, common::result<scheduling::job_progress>> progress;
    };

    struct pending_journal_write {
        std::uint64_t batch = 0;
        store::transaction changes;
        std::string head_value; ///< value of the journal head after this write
    };

    void release_claim();
    void tick();
    void schedule_tick();
    void run_claim_actions();
    void open_lease(common::milliseconds time_to_live);
    void put_claim(std::uint64_t lease);
    void renew(std::uint64_t lease);
    void follow_claim();
    void handle_claim(const store::item_map& items, std::int64_t revision);
    void revoke_stale_claim(const store::item& claim, const ownership::claim_record& record);

    void begin_takeover(std::int64_t token);
    void retry_read(std::function<void()> read);
    void read_journal_head(std::size_t lane);
    [[nodiscard]] std::size_t lane_count() const;
    void read_progress(const std::string& after);
    void follow_input();
    /// `items` is all of the input as of `revision`, `changed` the part of it that may be new.
    void handle_input(const store::item_map& items, const store::item_map& changed,
                      std::int64_t revision);
    void finish_takeover_if_ready();
    void discard_scheduler();

    void purge_closed_jobs();
    void handle_closed_page(common::result<store::range_page> page);
    void delete_closed_jobs(std::vector<std::string> keys);

    void observe_admission(const store::item_map& items, std::int64_t revision);
    void control_admission(common::steady_time due);
    void note_job(const jobs::job& received);
    void publish_share(double share);
    void send_start(const scheduling::start_command& command);

    void react();
    void observe_lag(common::steady_time due);
    void execute_actions();
    void execute(scheduling::action&& what);
    void write_journal(scheduling::journal_write&& order);
    void send_journal_write(std::size_t lane);
    void handle_journal_result(std::size_t lane, common::result<store::commit_outcome> outcome);
    void log_decision(const scheduling::decision_record& decision);

    [[nodiscard]] common::steady_time now() const;
    [[nodiscard]] std::int64_t unix_ms() const;

    /// Wraps a handler so that it is ignored once the claim under which it was created has ended.
    template <typename Handler>
    auto bind_to_claim(Handler handler)
    {
        return [this, alive = std::weak_ptr<int>(this->claim_lifetime),
                handler = std::move(handler)](auto&&... arguments) mutable {
            if (!alive.expired()) {
                handler(std::forward<decltype(arguments)>(arguments)...);
            }
        };
    }

    scheduler_host_dependencies dependencies;
    process_identity self;
    std::string address;
    ownership::claim_manager ownership_claim;
    boost::asio::steady_timer timer;
    std::unique_ptr<store::prefix_follower> claim_follower;
    std::unique_ptr<store::prefix_follower> input_follower;
    std::function<void(const ownership::claim_record&)> owner_callback;
    std::shared_ptr<const fleet_configuration> configuration;
    std::vector<maintenance::wave_request> waves;
    scheduling::evacuated_zones zones_to_evacuate;
    std::optional<common::steady_time> operator_keys_as_of; ///< unset: not read yet
    std::vector<scheduling::worker_entry> worker_entries;
    bool worker_entries_read = false;

    /// Replaced with each claim; wrapped handlers hold a weak reference.
    std::shared_ptr<int> claim_lifetime;
    std::int64_t token = 0;
    common::steady_time claimed_at;
    std::unique_ptr<takeover_state> takeover;
    std::unique_ptr<scheduling::scheduler> scheduler;
    std::unique_ptr<fleet_controller> controller;
    admission::admission_gate gate;
    std::unique_ptr<admission::admission_controller> admission_control;
    bool publishing_share = false;
    /// Events that the owner has handled since it last reported its lag.
    struct handled_events {
        std::int64_t polls = 0;
        std::int64_t starts = 0;
        std::int64_t jobs = 0;
        std::int64_t commits = 0;
    };
    handled_events handled;
    scheduling::batch_window gathering;
    common::steady_time tick_due; ///< when the pending tick should run
    common::steady_time next_lag_report;
    common::milliseconds max_lag{0};        ///< since the metrics were last read
    common::steady_time input_requested_at; ///< when the latest read of the input was sent
    std::map<std::size_t, std::int64_t> journal_revisions;       ///< of the heads, by lane
    std::map<std::size_t, pending_journal_write> pending_writes; ///< by lane
    std::string purge_cursor; ///< the purge continues after this key
    common::steady_time next_purge;
    bool resigning = false;
    bool stopped = false;
};

} // namespace chervilslip::daemon
