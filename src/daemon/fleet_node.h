#pragma once

#include "daemon/fleet_metrics.h"
#include "daemon/job_frontend.h"
#include "daemon/scheduler_host.h"
#include "daemon/store_transport.h"
#include "daemon/worker_relay.h"

namespace chervilslip::daemon {

/// Who a node is and how its peers reach it.
struct node_identity {
    std::string name;
    std::int64_t incarnation = 0; ///< grows when a node of the same name starts anew
    std::string zone;
    net::endpoint peer_endpoint;
    std::vector<net::endpoint> seeds; ///< where peers may be found; may be out of date

    friend bool operator==(const node_identity&, const node_identity&) = default;
};

/// What a node is made of beside its own parts; all outlive the node.
struct node_parts {
    boost::asio::io_context& context;
    const common::clock& clock;
    const common::event_log& log;
    membership::peer_network& network;
    peer_client& peers;
    store_transport& path;
    store::transactional_store& store;
    scheduling::worker_port& workers;
    fleet::vm_control& machines;
    worker_registry_port& registry;
    fleet_metrics& metrics;
    scheduling::scheduler_options scheduler;
    ownership::claim_options claim;
    fleet_controller_options keeper;
    common::milliseconds state_time; ///< how long a closed job's state is kept
};

/// One entry node: takes callers' jobs, and decides for the fleet while it holds the claim. Not
/// thread safe: used on the io_context's thread.
class fleet_node final : public owner_client {
public:
    fleet_node(node_parts with, node_identity who, std::uint64_t seed);

    /// Begins to work. Errors: `connect_failed` when the peers' port is not to be had.
    common::result<void> start();

    /// Connects to further addresses where peers may be found.
    void add_seeds(const std::vector<net::endpoint>& seeds);

    /// Returns the node's metrics as text.
    [[nodiscard]] std::string metrics_text();

    /// Gives the claim up; `is_ready` is false from now on. Calls go on being served.
    void begin_stop();

    /// Follows a newer configuration; an older one is not followed.
    void configure(fleet_configuration newer);
    void see_waves(std::vector<maintenance::wave_request> waves);

    /// Notes that the store answered, directly or over a peer.
    void note_store_contact();

    /// Tells whether callers should come to this node.
    [[nodiscard]] bool is_ready() const;

    /// Returns the configuration in force; null before the first.
    [[nodiscard]] std::shared_ptr<const fleet_configuration> configuration() const;

    [[nodiscard]] job_frontend& frontend();
    [[nodiscard]] scheduler_host& host();

    /// Notes that a peer can be called, or that its connection ended.
    void peer_connected(const membership::member& peer);
    void peer_lost(const membership::member& peer);

    /// Handles a message of a peer.
    void handle_message(const membership::member& peer, const membership::message& value,
                        const membership::response_sender& answer);

    void hint_job(const jobs::job& accepted) override;
    void hint_cancel(const std::string& id) override;
    void ask_state(const std::string& id,
                   store::handler<std::optional<jobs::job_state>> done) override;
    void ask_waiting(const std::string& queue, store::handler<std::int64_t> done) override;

private:
    [[nodiscard]] bool has_ended(const process_name& process) const;
    bool take_order_message(const membership::member& peer, const membership::relay_call& call);
    membership::relay_response answer_peer(const membership::relay_call& call);
    void call_owner(membership::relay_call call, peer_response_handler done);

    node_parts parts;
    node_identity identity;
    std::map<std::string, std::int64_t> incarnations; ///< of the latest connection, by node
    worker_relay workers;
    scheduler_host owner_host;
    job_frontend callers_desk;
    std::shared_ptr<const fleet_configuration> in_force;
    common::steady_time last_contact;
    bool contacted = false;
    bool stopping = false;
};

} // namespace chervilslip::daemon
