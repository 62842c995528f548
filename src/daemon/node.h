#pragma once

#include <unordered_map>

#include <boost/asio/steady_timer.hpp>

#include "daemon/metrics.h"
#include "daemon/node_registry.h"
#include "daemon/node_settings.h"
#include "daemon/operator_api.h"
#include "daemon/peer_manager.h"
#include "daemon/request_api.h"
#include "daemon/settings_watcher.h"
#include "daemon/worker_client.h"

namespace chervilslip::daemon {

/// One entry node. Not thread safe: everything runs on the io_context's one thread.
class node {
public:
    /// Precondition: context and clock outlive the node.
    node(boost::asio::io_context& context, const common::clock& clock, node_settings settings,
         std::uint64_t seed);

    /// Opens the ports and starts to follow store and VM list. Errors: `connect_failed` when a port
    /// is not to be had.
    common::result<void> start();

    /// Stops gracefully: not ready, then no new connections, then what is held is finished within
    /// the stated limit; then `on_stopped` is called.
    void stop(std::function<void()> on_stopped);

private:
    void apply(const requests::event& what);
    void execute(const requests::action& what);
    void execute(const requests::start_task& wanted);
    void execute(const requests::query_task& wanted);
    void execute(const requests::stop_task& wanted);
    void execute(const requests::claim_task& wanted);
    void execute(const requests::adopt_task& wanted);
    void execute(const requests::send_response& wanted);
    void execute(const requests::operator_event& wanted);
    void after(common::milliseconds delay, std::function<void()> action);
    void repeat(common::milliseconds period, std::function<void()> action);
    void poll_vm_list();
    void take_vm_list(const common::result<net::http_response>& answer);
    void poll_usage();
    void note_leaving(const std::vector<routing::upstream_info>& vms);
    void reject(const common::error& cause);
    void check_drained(common::steady_time until, const std::function<void()>& on_stopped);
    void finish_stop(const std::function<void()>& on_stopped);
    [[nodiscard]] bool is_ready() const;
    [[nodiscard]] nlohmann::json status() const;
    [[nodiscard]] operator_api_hooks operator_hooks();
    [[nodiscard]] request_api_hooks request_hooks();
    [[nodiscard]] peer_manager_hooks peer_hooks();
    [[nodiscard]] metrics_sources sources();

    boost::asio::io_context& context;
    const common::clock& clock;
    node_settings settings;
    membership::member self;
    common::event_log log;
    common::random_source random;
    common::invariant_monitor invariants;
    requests::engine_options options;
    requests::node_engine engine;
    metrics counts;
    store::etcd_client store;
    settings_repository repository;
    settings_watcher watcher;
    worker_client workers;
    net::http_client platform;
    request_api callers;
    peer_manager others;
    node_registry nodes;
    operator_api operators;
    net::http_server caller_server;
    net::http_server operator_server;
    std::set<std::string> leaving;
    std::string vm_list_tag; ///< of the list in use, so that an unchanged one is not sent again
    bool vm_list_seen = false;
    bool stopping = false;
    bool was_ready = false;
    bool closed = false;
};

} // namespace chervilslip::daemon
