#pragma once

#include "daemon/fleet_metrics.h"
#include "daemon/job_frontend.h"
#include "daemon/scheduler_host.h"
#include "daemon/store_transport.h"
#include "daemon/worker_relay.h"

namespace chervilslip::daemon {

/// Identity of a node, and the endpoint at which peers reach it.
struct node_identity {
    std::string name;
    std::int64_t incarnation = 0; ///< increases each time a node of this name restarts
    std::string zone;
    net::endpoint peer_endpoint;
    bool is_ample = true;             ///< has processor and network to relay for many workers
    std::vector<net::endpoint> seeds; ///< where peers may be found; may be stale

    friend bool operator==(const node_identity&, const node_identity&) = default;
};

/// Dependencies of a fleet_node. All references must outlive it.
struct fleet_node_dependencies {
    boost::asio::io_context& context;
    const common::clock& clock;
    const common::event_log& log;
    membership::peer_network& network;
    peer_client& peers;
    store_transport& transport;
    store::transactional_store& store;
    scheduling::worker_port& workers;
    fleet::vm_control& machines;
    worker_registry_port& registry;
    fleet_metrics& metrics;
    scheduling::scheduler_options scheduling_options;
    ownership::claim_options claim;
    fleet_controller_options controller_options;
    common::milliseconds closed_job_retention; ///< how long the state of a closed job is retained
};

/// One entry node: accepts jobs from clients, and schedules for the whole fleet while it holds the
/// claim. Not thread safe: used on the io_context's thread.
class fleet_node final : public owner_client {
public:
    fleet_node(fleet_node_dependencies injected, node_identity own_identity, std::uint64_t seed);

    /// Starts the node. Errors: `connect_failed` when the peer port cannot be opened.
    common::result<void> start();

    /// Connects to additional endpoints where peers may be found.
    void add_seeds(const std::vector<net::endpoint>& seeds);

    /// Returns the node's metrics in the Prometheus text format.
    [[nodiscard]] std::string metrics_text();

    /// Starts a graceful stop: releases the claim and makes `is_ready` false. Calls are still
    /// served.
    void begin_stop();

    /// Applies a configuration if it is newer than the current one.
    void configure(fleet_configuration newer);
    void see_waves(std::vector<maintenance::wave_request> waves);
    void see_evacuated_zones(scheduling::evacuated_zones zones);

    /// Records that the operators' keys as of `as_of` have been passed on.
    void confirm_operator_keys(common::steady_time as_of);

    /// Records that the store has responded, directly or via a peer.
    void note_store_contact();

    /// Records that the configuration in force was the operators' newest one at `as_of`.
    void confirm_configuration(common::steady_time as_of);

    /// Returns how long ago the configuration in force was known to be the operators' newest one.
    /// Precondition: a configuration is in force.
    [[nodiscard]] common::milliseconds configuration_age() const;

    /// Returns whether the configuration in force is recent enough to deny that a queue or a key
    /// exists. Precondition: a configuration is in force.
    [[nodiscard]] bool is_configuration_recent() const;

    /// Returns whether clients should be routed to this node.
    [[nodiscard]] bool is_ready() const;

    /// Returns the configuration in force; null before the first.
    [[nodiscard]] std::shared_ptr<const fleet_configuration> configuration() const;

    [[nodiscard]] job_frontend& frontend();
    [[nodiscard]] scheduler_host& host();

    /// Records that the connection to a peer was established or lost.
    void peer_connected(const membership::member& peer);
    void peer_lost(const membership::member& peer);

    /// Records that a peer does not respond on its connection.
    void peer_silent(const std::string& peer);

    /// Handles a message from a peer.
    void handle_message(const membership::member& peer, const membership::message& value,
                        const membership::response_sender& answer);

    void notify_job(const jobs::job& accepted, std::int64_t revision) override;
    void notify_cancel(const std::string& id, std::int64_t revision) override;
    void query_state(const std::string& id, const jobs::job_scope& caller,
                     store::handler<std::optional<jobs::job_state>> done) override;
    void query_waiting(const std::string& queue, store::handler<std::int64_t> done) override;

private:
    [[nodiscard]] bool has_ended(const process_identity& process) const;
    [[nodiscard]] static membership::relay_call
    make_announcement(const std::vector<std::string>& ids);
    void announce_unconfirmed(const std::vector<std::string>& ids);
    void handle_unconfirmed(const std::string& peer, const std::string& body);
    bool handle_order_message(const membership::member& peer, const membership::relay_call& call);
    membership::relay_response handle_owner_call(const membership::relay_call& call);
    void call_owner(membership::relay_call call, peer_response_handler done);

    fleet_node_dependencies dependencies;
    node_identity identity;
    std::map<std::string, std::int64_t> incarnations; ///< of the latest connection, by node
    worker_relay workers;
    scheduler_host owner_host;
    admission::unconfirmed_submissions unconfirmed;
    job_frontend client_frontend;
    std::shared_ptr<const fleet_configuration> active_configuration;
    common::steady_time configuration_confirmed_as_of;
    common::steady_time last_store_contact;
    bool store_contacted = false;
    bool stopping = false;
};

} // namespace chervilslip::daemon
