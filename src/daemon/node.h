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

/// One entry node. Not thread safe: everything runs on the single thread of the io_context.
class node {
public:
    /// Precondition: context and clock outlive the node.
    node(boost::asio::io_context& context, const common::clock& clock, node_settings settings,
         std::uint64_t seed);

    /// Opens the ports and starts to follow the store and the VM list. Errors: `connect_failed`
    /// when a port cannot be opened.
    common::result<void> start();

    /// Shuts down gracefully: reports not ready, then accepts no new connections, then waits for
    /// open requests to end, at most for the configured time, and then calls `on_stopped`.
    void stop(std::function<void()> on_stopped);

private:
    void apply(const requests::event& event);
    void execute(const requests::action& action);
    void execute(const requests::start_task& action);
    void execute(const requests::query_task& action);
    void execute(const requests::stop_task& action);
    void execute(const requests::claim_task& action);
    void execute(const requests::adopt_task& action);
    void execute(const requests::send_response& action);
    void execute(const requests::operator_event& action);
    void after(common::milliseconds delay, std::function<void()> action);
    void repeat(common::milliseconds period, std::function<void()> action);
    void poll_vm_list();
    void handle_vm_list(const common::result<net::http_response>& answer);
    void poll_usage();
    void log_leaving_vms(const std::vector<routing::upstream_info>& vms);
    void record_rejection(net::refusal_reason reason, const common::error& cause);
    void check_drained(common::steady_time deadline, const std::function<void()>& on_stopped);
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
    metrics exported_metrics;
    store::etcd_client store;
    settings_repository repository;
    settings_watcher watcher;
    worker_client workers;
    net::http_client platform_client;
    request_api caller_handler;
    peer_manager peer_nodes;
    node_registry registered_nodes;
    operator_api operator_handler;
    net::http_server caller_server;
    net::http_server operator_server;
    std::set<std::string> leaving_vms;
    std::string vm_list_etag; ///< of the VM list in use; an unchanged list is not sent again
    bool has_vm_list = false;
    bool stopping = false;
    bool was_ready = false;
    bool closed = false;
};

} // namespace chervilslip::daemon
