#pragma once

#include <boost/asio/io_context.hpp>

#include "common/event_log.h"
#include "common/random.h"
#include "daemon/fleet_metrics.h"
#include "daemon/peer_client.h"
#include "daemon/recent_numbers.h"
#include "net/http_path.h"
#include "store/availability_monitor.h"

namespace chervilslip::daemon {

/// Calls the store directly, or via a peer while the store does not serve this node. If a route
/// does not respond in time, or its response stops arriving, the call is also sent over the next
/// route, and the first response is used. Not thread safe: used on the io_context's thread.
class store_transport final : public net::http_path {
public:
    /// Prefix of the targets of peers' calls that are to be forwarded to the store.
    static constexpr std::string_view relay_prefix = "/store/";

    /// Precondition: all references outlive the transport.
    store_transport(boost::asio::io_context& context, net::endpoint store,
                    const common::clock& time, peer_client& peers, fleet_metrics& metrics,
                    const common::event_log& log, std::uint64_t seed);

    void call(net::http_request request, common::milliseconds wait, common::milliseconds limit,
              net::http_answer done) override;

    /// Handles a relayed call from a peer by calling the store directly. A call may arrive twice;
    /// only the latest copy gets a response. A rejection says that no copy has been executed, and
    /// none is executed after it.
    void serve_relayed(const membership::member& peer, const membership::relay_call& call,
                       const membership::response_sender& answer);

    /// Sets a callback for each connection to the store that has gone silent.
    void on_silence(std::function<void(const net::silent_connection&)> callback);

    /// Returns whether the store served this node's most recent direct call.
    [[nodiscard]] bool is_direct_available() const;

    /// Returns whether the store is unreachable on every route.
    [[nodiscard]] bool is_unreachable() const;

private:
    struct pending_call;

    /// The relayed calls of one process of a peer, by number.
    struct relayed_calls {
        std::int64_t incarnation = 0;
        recent_numbers received;
        recent_numbers rejected;
        /// Those under way, with the connection that the latest copy came on.
        std::map<std::uint64_t, membership::response_sender> pending;
    };

    void try_next_route(const std::shared_ptr<pending_call>& pending);
    void schedule_next_route(const std::shared_ptr<pending_call>& pending,
                             common::milliseconds delay);
    void try_direct(const std::shared_ptr<pending_call>& pending, common::milliseconds limit);
    void try_peer(const std::shared_ptr<pending_call>& pending, const std::string& peer,
                  common::milliseconds limit);
    void handle_direct_response(const std::shared_ptr<pending_call>& pending,
                                common::result<net::http_response> answer);
    void handle_peer_response(const std::shared_ptr<pending_call>& pending, const std::string& peer,
                              common::result<membership::relay_response> answer);
    relayed_calls& relayed_calls_of(const membership::member& peer);
    void answer_relayed(const membership::member& peer, std::uint64_t number, bool received_before,
                        common::result<net::http_response> store_response);
    void complete(const std::shared_ptr<pending_call>& pending, const std::string& route,
                  net::http_response&& answer);
    void handle_route_failure(const std::shared_ptr<pending_call>& pending, bool may_have_executed,
                              const std::string& route, const std::string& cause);
    void fail(const std::shared_ptr<pending_call>& pending);
    void record_direct_result(bool served, const std::string& cause);
    void record_call(const pending_call& pending, const std::string& route,
                     const std::string& outcome);

    boost::asio::io_context& context;
    const common::clock& clock;
    net::endpoint address;
    net::http_client client;
    peer_client& peers;
    fleet_metrics& metrics;
    const common::event_log& log;
    common::random_source random;
    store::availability_monitor reachability;
    bool direct_available = true;
    common::steady_time direct_retry_at; ///< peers are tried first until then
    std::string preferred_peer;          ///< the last peer that answered a call; empty: none
    std::map<std::string, relayed_calls> relayed; ///< by the peer that sent them
};

} // namespace chervilslip::daemon
