#pragma once

#include <functional>
#include <optional>

#include <boost/asio/io_context.hpp>

#include "common/event_log.h"
#include "daemon/fleet_configuration.h"
#include "fleet/pool_planner.h"
#include "fleet/vm_control.h"
#include "maintenance/wave_planner.h"
#include "scheduling/scheduler.h"
#include "store/transactional_store.h"

namespace chervilslip::daemon {

/// Identifies one process of an entry node. A later process of the same node has a higher
/// incarnation.
struct process_identity {
    std::string node;
    std::int64_t incarnation = 0;

    friend bool operator==(const process_identity&, const process_identity&) = default;
};

/// Platform timings that the controller relies on.
struct fleet_controller_options {
    /// Duration of the maintenance of a VM.
    common::milliseconds service_time{2000};

    /// Time between the VM orders of consecutive claim holders.
    common::milliseconds handover_delay{3300};

    friend bool operator==(const fleet_controller_options&,
                           const fleet_controller_options&) = default;
};

/// Dependencies of a fleet_controller. All references must outlive it.
struct fleet_controller_dependencies {
    boost::asio::io_context& context;
    const common::clock& clock;
    const common::event_log& log;
    store::transactional_store& store;
    fleet::vm_control& machines;
    scheduling::scheduler& scheduler;
    /// Returns whether a process is known to have terminated.
    std::function<bool(const process_identity&)> has_ended;
    fleet_controller_options options;
};

/// Orders VMs into maintenance and moves them between pools while this node owns the fleet. Exists
/// for the duration of one claim. Not thread safe: used on the io_context's thread.
class fleet_controller {
public:
    /// `claim_time` is the time at which the claim was acquired. No orders are sent until those of
    /// the previous holder have ended.
    fleet_controller(fleet_controller_dependencies injected, process_identity self,
                     std::int64_t token, common::steady_time claim_time);

    void configure(std::shared_ptr<const fleet_configuration> newer);
    void set_waves(const std::vector<maintenance::wave_request>& requested);

    /// Sets the zones whose VMs are no supply of their pools and are not moved.
    void set_evacuated_zones(scheduling::evacuated_zones zones);

    /// Stops sending orders, and calls `closed` once none is pending and the store records this.
    /// The next holder may then start immediately, unless an order got no response.
    void close(std::function<void()> closed);

    /// Plans and sends the orders that are due. No orders are sent after `authority_until`.
    void tick(common::steady_time now, common::steady_time authority_until);

private:
    /// A cordoned worker of a VM. One that the registry does not list may be listed again.
    enum class cordoned_worker { none, unlisted, listed };

    void read_previous_holder();
    void handle_previous_holder(const std::optional<store::item>& previous);
    template <typename Action>
    void run_after(common::milliseconds delay, Action action);
    [[nodiscard]] std::string encode_holder_record(std::string_view state) const;
    void close_if_done();
    void finish_close();
    void finish_order(fleet::vm_order_outcome outcome);
    void read_wave_progress(const std::string& after);
    void restore_wave_progress(const store::item& stored);
    void save_progress(std::int64_t wave, bool completed);
    void write_progress();
    /// Returns whether nothing is left to be written.
    bool handle_progress_result(const std::map<std::int64_t, bool>& written,
                                const common::result<store::commit_outcome>& outcome);
    void read_vm_list(common::steady_time now);
    void execute(const maintenance::wave_step& step, common::steady_time now);
    void log_maintenance_seen(const maintenance::wave_step& step, common::steady_time now) const;
    void order_maintenance(const maintenance::wave_step& step);
    void plan_pools(common::steady_time now);
    void order_move(const fleet::vm_move& move);
    void send_move(const fleet::vm_move& move, bool repeated);
    void repeat_unanswered_moves(common::steady_time now);
    [[nodiscard]] cordoned_worker find_cordoned_worker(const std::string& vm) const;
    [[nodiscard]] bool has_unanswered_move(const std::string& vm) const;
    [[nodiscard]] bool is_evacuated(const std::string& vm) const;
    void report_vm_zones();
    void evacuate_vm(const std::string& vm, common::steady_time now);
    void cordon_vm(const std::string& vm, bool cordoned);
    [[nodiscard]] std::map<std::string, fleet::pool_vm> pool_view() const;
    void report(const maintenance::wave_step& step);
    /// Returns the VMs of the latest list by the ids of their workers.
    [[nodiscard]] std::map<std::string_view, std::string_view> listed_workers() const;
    [[nodiscard]] std::map<std::string, maintenance::vm_snapshot> maintenance_view() const;

    fleet_controller_dependencies dependencies;
    process_identity self;
    fleet::order_fence fence;
    std::optional<process_identity> previous_holder; ///< may still have orders in flight
    common::steady_time claimed_at;
    std::optional<common::steady_time> orders_allowed_from; ///< empty: not known yet
    std::int64_t pending_orders = 0;
    common::steady_time orders_in_flight_until; ///< orders that got no response may be executed
    std::function<void()> on_closed;
    bool closing = false;
    /// Whether each wave is completed, by wave number.
    std::map<std::int64_t, bool> unsaved_progress;
    std::map<std::int64_t, std::int64_t> progress_revisions; ///< in the store, by wave number
    bool writing_progress = false;
    std::shared_ptr<const fleet_configuration> configuration;
    maintenance::wave_planner planner;
    std::vector<maintenance::wave_request> waves;
    std::set<std::int64_t> blocked_waves; ///< that were logged as such
    scheduling::evacuated_zones zones_to_evacuate;
    bool progress_restored = false; ///< the progress made under earlier holders has been read
    fleet::pool_planner pools;
    /// Moves that may or may not have been carried out.
    std::vector<fleet::vm_move> unanswered_moves;
    common::steady_time next_repeat;
    std::vector<fleet::fleet_vm> vms;
    common::steady_time vm_list_requested_at;
    common::steady_time next_list;
    common::steady_time next_plan;
    bool list_pending = false;
    std::shared_ptr<int> lifetime = std::make_shared<int>(0);
};

} // namespace chervilslip::daemon
