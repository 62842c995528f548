#pragma once

#include <set>
#include <unordered_map>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "common/event_log.h"
#include "daemon/message_delay.h"
#include "daemon/reading_time.h"
#include "daemon/recent_numbers.h"
#include "membership/peer_network.h"
#include "scheduling/command_codec.h"
#include "scheduling/worker_port.h"

namespace chervilslip::daemon {

/// When peers relay commands to workers, and the timeouts for it.
struct relay_options {
    /// Up to this many workers the owner calls directly; each costs it a thousandth of a core.
    std::size_t max_direct_workers = 100;

    /// Covers a worker's own timeout and the round trip to the peer.
    common::milliseconds command_timeout{800};
    common::milliseconds poll_timeout_margin{900}; ///< added to the wait of the poll itself
    /// A peer drops commands that reach it later than this: the owner has given them up, and starts
    /// have passed their deadline.
    common::milliseconds max_command_delay{1000};
    common::milliseconds max_poll_delay{2500};
    /// A poll that reaches a peer later than this acknowledges no ends: by then the worker may have
    /// restarted under its id, and its next instance would forget ends of the same numbers.
    common::milliseconds max_acknowledgement_delay{400};
    common::milliseconds avoid_interval{2000}; ///< a peer that did not respond is avoided this long
    /// The report of a poll is still passed on for this time after the poll was given up. Longer
    /// than any lease, because the end of a run that is missed is mistaken for a lapsed lease.
    common::milliseconds late_report_interval{12000};

    /// So many workers of a zone share one relay. More of them make larger batches, which cost the
    /// owner less; fewer make the loss of one relay matter less.
    std::size_t workers_per_relay = 10;
    std::size_t workers_per_ample_relay = 30;
    common::milliseconds result_delay{8}; ///< results that arrive within it are sent together

    friend bool operator==(const relay_options&, const relay_options&) = default;
};

/// Sends the owner's commands to workers: directly in a small fleet, through peers in a large one,
/// so that the owner's processor time limits only its decisions. Each worker is assigned one peer,
/// in its own zone if there is one. A command without a response from the peer has an unknown
/// outcome. Everything in a command that must not happen late carries its own deadline, on the
/// clock of the worker instance that it is meant for. A peer drops commands that were held up,
/// because they may reach the next instance. Not thread safe: used on the io_context's thread.
class worker_relay final : public scheduling::worker_port {
public:
    /// Targets of the calls between peers that belong here.
    static constexpr std::string_view orders_target = "/workers/orders";
    static constexpr std::string_view results_target = "/workers/results";

    /// Precondition: all references outlive this object.
    worker_relay(boost::asio::io_context& context, const common::clock& clock,
                 const common::event_log& log, membership::peer_network& network,
                 scheduling::worker_port& direct, relay_options tuning = {});

    /// Replaces the list of workers that the owner knows.
    void update_workers(const std::vector<scheduling::worker_entry>& entries);

    /// Sets for how long commands are gathered, and results by the relays beyond their own delay;
    /// zero: commands are sent after the current handler.
    void set_batch_window(common::milliseconds window);

    /// Sets the callback for reports that arrive after their poll was completed as unknown. A
    /// worker may list the end of a run only in such a report.
    void on_late_report(
        std::function<void(const scheduling::worker_instance&, const scheduling::worker_report&)>
            callback);

    /// Adds or removes a peer that can relay commands.
    void on_peer_connected(const membership::member& peer);
    void on_peer_lost(const std::string& peer);

    /// Executes the commands that a peer sent.
    void handle_orders(const std::string& peer, const std::string& body);

    /// Handles the results of commands that a peer executed.
    void handle_results(const std::string& peer, const std::string& body);

    void
    poll(const scheduling::poll_command& command,
         std::function<void(scheduling::command_outcome, scheduling::worker_report)> done) override;
    void start(const scheduling::start_command& command,
               std::function<void(scheduling::command_result)> done) override;
    void stop(const scheduling::stop_command& command,
              std::function<void(scheduling::command_result)> done) override;
    void throttle(const scheduling::throttle_command& command) override;
    void advise(const scheduling::advice_request& request,
                std::function<void(scheduling::advice_response)> done) override;

private:
    struct pending_command {
        std::string peer;
        common::steady_time deadline;        ///< in reading time
        common::steady_time latest_deadline; ///< however late this process is
        std::function<void(scheduling::numbered_result)> done;
        std::optional<scheduling::worker_instance> polled; ///< set if the command is a poll
    };

    /// A poll that was completed as unknown.
    struct unanswered_poll {
        std::string peer;
        scheduling::worker_instance worker;
        common::steady_time forget_at;
    };

    /// Returns the peer that relays commands to a worker; empty: this node sends them itself.
    const std::string& peer_for(const std::string& worker);
    std::string choose_peer(const std::string& worker) const;
    void choose_relays();
    [[nodiscard]] std::vector<std::string> relays_for(const std::string& zone,
                                                      std::size_t worker_count) const;
    void reset_assignment();

    template <typename Command>
    void send(const std::string& peer, const Command& command, common::milliseconds timeout,
              std::function<void(scheduling::numbered_result)> done);
    template <typename Command>
    void send_for_result(const std::string& peer, const Command& command,
                         std::function<void(scheduling::command_result)> done);
    void schedule_flush();
    void flush();
    void schedule_result_flush();
    void flush_results();
    void complete(std::uint64_t number, scheduling::numbered_result result);
    void give_up(std::uint64_t number);
    void handle_late_result(const std::string& peer, const scheduling::numbered_result& result);
    void expire_commands();
    void schedule_timeout_check();
    void avoid_peer(const std::string& peer, std::string_view cause);
    void queue_result(const std::string& peer, scheduling::numbered_result result);
    void execute_command(const std::string& peer, const scheduling::numbered_command& numbered,
                         common::milliseconds delay);
    common::milliseconds observe_delay(const std::string& peer,
                                       const scheduling::command_batch& batch);
    [[nodiscard]] bool is_too_late(const scheduling::numbered_command& numbered,
                                   common::milliseconds delay) const;

    boost::asio::io_context& context;
    const common::clock& clock;
    const common::event_log& log;
    membership::peer_network& network;
    scheduling::worker_port& direct;
    relay_options options;
    struct relay_peer {
        std::string zone;
        bool is_ample = false;
    };

    std::map<std::string, relay_peer> peers;
    std::map<std::string, common::steady_time> avoided_until; ///< by peer
    std::unordered_map<std::string, std::string> zone_of_worker;
    std::unordered_map<std::string, std::string> peer_of_worker; ///< cleared when peers change
    /// The peers that relay commands to the workers of a zone; empty until they are chosen.
    std::map<std::string, std::vector<std::string>> relays_of_zone;
    std::map<std::string, scheduling::command_batch> outgoing;
    std::map<std::string, message_delay> delays;    ///< of the batches that peers send
    std::map<std::string, recent_numbers> executed; ///< commands, by the peer that sent them
    std::map<std::string, std::vector<scheduling::numbered_result>> results;
    std::map<std::uint64_t, pending_command> pending;          ///< by number
    std::map<std::uint64_t, unanswered_poll> unanswered_polls; ///< by number
    std::function<void(const scheduling::worker_instance&, const scheduling::worker_report&)>
        late_report_callback;
    std::uint64_t last_number;
    bool flush_scheduled = false;
    bool result_flush_scheduled = false;
    bool timeout_check_scheduled = false;
    common::steady_time timeout_check_due;
    reading_time reading;
    boost::asio::steady_timer timer;
    boost::asio::steady_timer result_timer;
    boost::asio::steady_timer flush_timer;
    common::milliseconds batch_window{0};
    common::milliseconds requested_delay{0}; ///< of results, by the owner that sent last
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace chervilslip::daemon
