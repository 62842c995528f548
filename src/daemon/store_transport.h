#pragma once

#include <boost/asio/io_context.hpp>

#include "common/event_log.h"
#include "common/random.h"
#include "daemon/fleet_metrics.h"
#include "daemon/peer_client.h"
#include "net/http_path.h"
#include "store/availability_monitor.h"

namespace chervilslip::daemon {

/// The way to the store: direct, or over a peer while the store does not serve this node. A way
/// that is silent is joined by the next one, and the first answer counts. Not thread safe: used on
/// the io_context's thread.
class store_transport final : public net::http_path {
public:
    /// Targets of peers' calls that are meant for the store begin so.
    static constexpr std::string_view relay_prefix = "/store/";

    /// Precondition: all references outlive the path.
    store_transport(boost::asio::io_context& context, net::endpoint store,
                    const common::clock& time, peer_client& peers, fleet_metrics& metrics,
                    const common::event_log& log, std::uint64_t seed);

    void call(net::http_request request, common::milliseconds wait, common::milliseconds limit,
              net::http_answer done) override;

    /// Answers a peer's call by calling the store directly.
    void serve(const membership::relay_call& call, const membership::answer_sender& answer);

    /// Tells whether the store served this node's latest direct call.
    [[nodiscard]] bool serves_directly() const;

    /// Tells whether the store answers on no way.
    [[nodiscard]] bool is_unavailable() const;

private:
    struct pending_call;

    void next_way(const std::shared_ptr<pending_call>& which);
    void try_direct(const std::shared_ptr<pending_call>& which, common::milliseconds limit);
    void try_peer(const std::shared_ptr<pending_call>& which, const std::string& peer,
                  common::milliseconds limit);
    void take_direct(const std::shared_ptr<pending_call>& which,
                     common::result<net::http_response> answer);
    void take_peer(const std::shared_ptr<pending_call>& which, const std::string& peer,
                   common::result<membership::relay_answer> answer);
    void finish(const std::shared_ptr<pending_call>& which, const std::string& way,
                net::http_response&& answer);
    void fail_way(const std::shared_ptr<pending_call>& which, bool maybe_done, std::string cause);
    void give_up(const std::shared_ptr<pending_call>& which);
    void note_direct(bool served, const std::string& cause);
    void count(const pending_call& which, const std::string& way, const std::string& outcome);

    boost::asio::io_context& context;
    const common::clock& clock;
    net::endpoint address;
    net::http_client client;
    peer_client& peers;
    fleet_metrics& metrics;
    const common::event_log& log;
    common::random_source random;
    store::availability_monitor reach;
    bool direct_works = true;
    common::steady_time direct_again; ///< until then peers are asked first
    std::string serving_peer;         ///< answered a call last; empty: none
};

} // namespace chervilslip::daemon
