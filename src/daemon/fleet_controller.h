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

/// One process of an entry node; a later one of the same node has a higher incarnation.
struct process_name {
    std::string node;
    std::int64_t incarnation = 0;

    friend bool operator==(const process_name&, const process_name&) = default;
};

/// Times of the platform that the keeper follows.
struct fleet_controller_options {
    common::milliseconds service_time{2000};   ///< how long an upkeep takes
    common::milliseconds handover_delay{3300}; ///< between the orders of holders that take turns

    friend bool operator==(const fleet_controller_options&,
                           const fleet_controller_options&) = default;
};

/// What the keeper needs of the host; all outlive the keeper.
struct fleet_parts {
    boost::asio::io_context& context;
    const common::clock& clock;
    const common::event_log& log;
    store::transactional_store& store;
    fleet::vm_control& machines;
    scheduling::scheduler& scheduler;
    std::function<bool(const process_name&)>
        has_ended; ///< whether a process is known to have ended
    fleet_controller_options options;
};

/// Orders VMs into upkeep and between pools while its node owns the fleet. Lives as long as one
/// claim. Not thread safe: used on the io_context's thread.
class fleet_controller {
public:
    /// `claimed_at` is when the claim was won. Orders wait until an earlier holder's have ended.
    fleet_controller(fleet_parts with, process_name self, std::int64_t token,
                     common::steady_time claimed_at);

    void configure(std::shared_ptr<const fleet_configuration> newer);
    void see_waves(const std::vector<maintenance::wave_request>& asked);

    /// Gives no more orders, and calls `closed` once none is under way and the store says so. The
    /// next holder may then begin at once.
    void close(std::function<void()> closed);

    /// Decides what is due. Orders are given until `authority_until`.
    void tick(common::steady_time now, common::steady_time authority_until);

private:
    void read_last_holder();
    void take_last_holder(const std::optional<store::item>& last);
    template <typename Action>
    void later(common::milliseconds delay, Action action);
    [[nodiscard]] std::string mark_of(std::string_view state) const;
    void close_if_done();
    void finish_close();
    void order_answered();
    void read_earlier(const std::string& after);
    void take_earlier(const store::item& stored);
    void keep_progress(std::int64_t wave, bool completed);
    void write_progress();
    void read_list(common::steady_time now);
    void carry_out(const maintenance::wave_step& step, common::steady_time now);
    void order_service(const maintenance::wave_step& step);
    void plan_pools(common::steady_time now);
    void order_move(const fleet::vm_move& move);
    void evacuate_vm(const std::string& vm, common::steady_time now);
    void cordon_vm(const std::string& vm, bool cordoned);
    [[nodiscard]] std::map<std::string, fleet::pool_vm> facts() const;
    void report(const maintenance::wave_step& step);
    [[nodiscard]] std::map<std::string, maintenance::vm_snapshot> view() const;

    fleet_parts parts;
    process_name self;
    fleet::order_fence fence;
    std::optional<process_name> holder_before; ///< may still have orders under way
    common::steady_time won_at;
    std::optional<common::steady_time> orders_from; ///< nothing: not known yet
    std::int64_t open_orders = 0;
    std::function<void()> on_closed;
    bool closing = false;
    std::map<std::int64_t, bool> progress_to_write; ///< by wave: whether it is completed
    bool writing_progress = false;
    std::shared_ptr<const fleet_configuration> configuration;
    maintenance::wave_planner planner;
    std::vector<maintenance::wave_request> waves;
    bool earlier_read = false; ///< what an earlier holder has done is known
    fleet::pool_planner pools;
    std::vector<fleet::fleet_vm> vms;
    common::steady_time list_asked_at;
    common::steady_time next_list;
    common::steady_time next_plan;
    bool list_open = false;
    std::shared_ptr<int> life = std::make_shared<int>(0);
};

} // namespace chervilslip::daemon
