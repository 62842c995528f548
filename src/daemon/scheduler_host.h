#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "common/event_log.h"
#include "daemon/fleet_configuration.h"
#include "daemon/fleet_controller.h"
#include "daemon/worker_registry_port.h"
#include "ownership/claim_manager.h"
#include "scheduling/scheduler.h"
#include "scheduling/worker_port.h"
#include "store/prefix_follower.h"

namespace chervilslip::daemon {

/// What the host needs of its node; all outlive the host.
struct host_parts {
    boost::asio::io_context& context;
    const common::clock& clock;
    const common::event_log& log;
    store::transactional_store& store;
    scheduling::worker_port& workers;
    fleet::vm_control& machines;
    worker_registry_port& registry;
    scheduling::scheduler_options scheduler;
    common::milliseconds state_time; ///< how long a closed job's state is kept
    std::function<bool(const process_name&)>
        has_ended; ///< whether a process is known to have ended
    std::function<void(const std::vector<scheduling::worker_entry>&)>
        on_workers; ///< is told of the workers of which the owner knows
    ownership::claim_options claim;
    fleet_controller_options keeper;
};

/// Holds the claim when it can, and then runs the fleet's decisions: reads what an earlier owner
/// left, feeds events to the cell and carries its actions out. Without the claim it drops all that
/// it believed. Not thread safe: used on the io_context's thread.
class scheduler_host {
public:
    /// `self` names the node; `address` is where its peers reach it.
    scheduler_host(host_parts with, process_name self, std::string address, std::uint64_t seed);
    scheduler_host(const scheduler_host&) = delete;
    scheduler_host& operator=(const scheduler_host&) = delete;
    ~scheduler_host();

    void start();

    /// Gives the claim up, once no order for a VM is under way, and does not try again.
    void resign();

    /// Follows a newer configuration. Precondition: its version is higher than the one before.
    void configure(std::shared_ptr<const fleet_configuration> newer);

    /// Takes the waves of upkeep that operators have asked for.
    void see_waves(std::vector<maintenance::wave_request> waves);

    /// Is told of each new holder of the claim.
    void on_owner(std::function<void(const ownership::claim_record&)> told);

    /// Returns the claim as last seen.
    [[nodiscard]] const std::optional<ownership::claim_record>& owner() const;

    /// Returns the cell while this node decides; null otherwise.
    [[nodiscard]] scheduling::scheduler* deciding();

    /// Takes a durable job or cancel; nothing happens unless this node decides.
    void take_job(const jobs::job& accepted);
    void take_cancel(const std::string& id);

private:
    /// A failed read of a takeover or of the claim is repeated after this time.
    static constexpr common::milliseconds read_retry{80};

    /// What has been read since the claim was won.
    struct takeover {
        bool head_read = false;
        bool progress_read = false;
        bool input_read = false;
        store::item_map input;
        std::map<std::string, scheduling::job_progress> progress;
    };

    struct write_under_way {
        std::uint64_t batch = 0;
        store::transaction changes;
        std::string mark; ///< the journal head's value that this write sets
    };

    void give_up_claim();
    void tick();
    void schedule_tick();
    void run_claim_actions();
    void open_lease(common::milliseconds time_to_live);
    void put_claim(std::uint64_t lease);
    void renew(std::uint64_t lease);
    void follow_claim();
    void see_claim(const store::item_map& items);
    void end_earlier_claim(const store::item& claim, const ownership::claim_record& record);

    void begin_takeover(std::int64_t token);
    void retry_read(std::function<void()> read);
    void read_journal_head();
    void read_progress(const std::string& after);
    void follow_input();
    void see_input(const store::item_map& items);
    void finish_takeover_if_read();
    void drop_cell();

    void clean_closed();
    void take_closed_page(common::result<store::range_page> page);
    void remove_closed(std::vector<std::string> keys);

    void run_cell();
    void carry_out(scheduling::action&& what);
    void write_journal(scheduling::journal_write&& order);
    void send_write();
    void take_write(common::result<store::commit_outcome> outcome);
    void log_note(const scheduling::decision_record& note);

    [[nodiscard]] common::steady_time now() const;
    [[nodiscard]] std::int64_t unix_ms() const;

    /// Wraps a handler so that it is dropped once the cell that asked is gone.
    template <typename Handler>
    auto for_this_cell(Handler handler)
    {
        return [this, alive = std::weak_ptr<int>(this->cell_life),
                handler = std::move(handler)](auto&&... arguments) mutable {
            if (!alive.expired()) {
                handler(std::forward<decltype(arguments)>(arguments)...);
            }
        };
    }

    host_parts parts;
    process_name self;
    std::string address;
    ownership::claim_manager keeper;
    boost::asio::steady_timer timer;
    std::unique_ptr<store::prefix_follower> claim_follower;
    std::unique_ptr<store::prefix_follower> input_follower;
    std::function<void(const ownership::claim_record&)> owner_told;
    std::shared_ptr<const fleet_configuration> configuration;
    std::vector<maintenance::wave_request> waves;
    std::vector<scheduling::worker_entry> entries;
    bool entries_read = false;

    std::shared_ptr<int> cell_life; ///< changes with each claim
    std::int64_t token = 0;
    common::steady_time claim_won_at;
    std::unique_ptr<takeover> reading;
    std::unique_ptr<scheduling::scheduler> scheduler;
    std::unique_ptr<fleet_controller> fleet;
    std::set<std::string> input_seen;
    std::int64_t journal_revision = 0;
    std::unique_ptr<write_under_way> write;
    std::string closed_after; ///< the cleaning goes on behind this key
    common::steady_time next_cleaning;
    bool resigning = false;
    bool stopped = false;
};

} // namespace chervilslip::daemon
