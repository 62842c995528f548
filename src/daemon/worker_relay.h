#pragma once

#include <set>
#include <unordered_map>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "common/event_log.h"
#include "membership/peer_network.h"
#include "scheduling/command_codec.h"
#include "scheduling/worker_port.h"

namespace chervilslip::daemon {

/// When peers carry orders to workers.
struct relay_options {
    /// The owner calls so many workers itself: each takes a thousandth of a core.
    std::size_t most_direct = 100;

    common::milliseconds start_time{
        800}; ///< a worker's own limit, and the way to the peer and back
    common::milliseconds look_margin{900}; ///< beyond the look's own wait
    common::milliseconds avoid_time{2000}; ///< a peer that did not answer carries nothing so long

    friend bool operator==(const relay_options&, const relay_options&) = default;
};

/// Carries the owner's orders to workers: itself in a small fleet, over its peers in a large one,
/// so that the owner's processor bounds the decisions only. Each worker has one peer, in its own
/// zone where there is one. An order that a peer does not answer counts as unanswered, and
/// everything in an order that must not happen late bears its own bound, so a peer that is slow
/// does no more harm than a slow link. Not thread safe: used on the io_context's thread.
class worker_relay final : public scheduling::worker_port {
public:
    /// Targets of peers' calls that belong here.
    static constexpr std::string_view orders_target = "/workers/orders";
    static constexpr std::string_view results_target = "/workers/results";

    /// Precondition: all references outlive this.
    worker_relay(boost::asio::io_context& context, const common::clock& clock,
                 const common::event_log& log, membership::peer_network& network,
                 scheduling::worker_port& direct, relay_options wanted = {});

    /// Takes the workers that the owner knows.
    void update_workers(const std::vector<scheduling::worker_entry>& entries);

    /// Notes that a peer can be called, or that its connection ended.
    void on_peer_connected(const membership::member& peer);
    void on_peer_lost(const std::string& peer);

    /// Carries a peer's orders out.
    void handle_orders(const std::string& peer, const std::string& body);

    /// Takes the results of orders that a peer has carried out.
    void handle_results(const std::string& peer, const std::string& body);

    void
    poll(const scheduling::poll_command& order, std::int64_t token,
         std::function<void(scheduling::command_outcome, scheduling::worker_report)> done) override;
    void start(const scheduling::start_command& order, std::int64_t token,
               std::function<void(scheduling::command_result)> done) override;
    void stop(const scheduling::stop_command& order, std::int64_t token,
              std::function<void(scheduling::command_result)> done) override;
    void throttle(const scheduling::throttle_command& order, std::int64_t token) override;
    void advise(const scheduling::advice_request& order,
                std::function<void(scheduling::advice_response)> done) override;

private:
    struct open_order {
        std::string peer;
        common::steady_time until;
        std::function<void(scheduling::numbered_result)> done;
    };

    /// Returns the peer that carries orders to a worker; empty: this node itself.
    const std::string& peer_for(const std::string& worker);
    std::string choose_peer(const std::string& worker) const;

    template <typename Order>
    void send(const std::string& peer, const Order& order, std::int64_t token,
              common::milliseconds limit, std::function<void(scheduling::numbered_result)> done);
    template <typename Order>
    void send_for_answer(const std::string& peer, const Order& order, std::int64_t token,
                         std::function<void(scheduling::command_result)> done);
    void schedule_flush();
    void flush();
    void finish(std::uint64_t number, scheduling::numbered_result result);
    void finish_late();
    void watch_time();
    void avoid(const std::string& peer, std::string_view cause);
    void reply(const std::string& peer, scheduling::numbered_result result);
    void run_order(const std::string& peer, const scheduling::numbered_command& order,
                   std::int64_t token);

    boost::asio::io_context& context;
    const common::clock& clock;
    const common::event_log& log;
    membership::peer_network& network;
    scheduling::worker_port& direct;
    relay_options options;
    std::map<std::string, std::string> zone_of_peer;
    std::map<std::string, common::steady_time> avoided; ///< peers, until when
    std::map<std::string, std::string> zone_of_worker;
    std::unordered_map<std::string, std::string> peer_of_worker; ///< chosen, until peers change
    std::map<std::string, scheduling::command_batch> outgoing;
    std::map<std::string, std::vector<scheduling::numbered_result>> results;
    std::map<std::uint64_t, open_order> open; ///< by number
    std::uint64_t last_number;
    bool flush_due = false;
    bool watching = false;
    boost::asio::steady_timer timer;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace chervilslip::daemon
