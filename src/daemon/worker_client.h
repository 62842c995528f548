#pragma once

#include "net/http_client.h"
#include "workers/protocol.h"

namespace chervilslip::daemon {

using reply_handler = std::function<void(const requests::worker_replied& reply)>;
using claim_handler = std::function<void(const requests::claim_replied& reply)>;
using usage_handler = std::function<void(const requests::usage_received& usage)>;

/// HTTP client of the workers' API. Not thread safe: used on the io_context's thread.
class worker_client {
public:
    /// Precondition: `incarnation` is higher than that of every earlier node of this name.
    worker_client(boost::asio::io_context& context, std::string node, std::int64_t incarnation,
                  reply_handler on_reply, claim_handler on_claim, usage_handler on_usage);

    /// Starts a task. The reply arrives when the task ends, or after the hold time if it is still
    /// running.
    void start(const requests::start_task& action, bool repeatable,
               common::milliseconds task_lease);

    /// Queries the state of an attempt and renews its lease.
    void query(const requests::query_task& action, common::milliseconds task_lease);

    /// Stops an attempt. Its end is reported by the reply to the pending start or query.
    void stop(const requests::stop_task& action);

    /// Claims a task; `on_claim` receives what the worker knows of it.
    void claim(const requests::claim_task& action, common::milliseconds memory);

    /// Takes over a running task.
    void adopt(const requests::adopt_task& action, common::milliseconds task_lease);

    /// Requests what a worker knows of a task.
    void show(const std::string& task, const std::string& vm, const std::string& address,
              std::function<void(common::result<workers::claim_reply>)> handler);

    /// Requests a worker's usage unless a request is pending. The worker responds when its usage
    /// changes, or after a hold time, which is longer for a worker that runs nothing.
    void poll_usage(const std::string& vm, const std::string& address);

private:
    void handle_usage(const std::string& vm, const common::result<net::http_response>& response);
    void request_claim_reply(const std::string& target, const std::string& vm,
                             const std::string& address,
                             std::function<void(common::result<workers::claim_reply>)> handler);
    void call(const requests::attempt_id& attempt, const std::string& address,
              net::http_request request, bool is_query);

    /// State of the usage poll of a worker.
    struct usage_state {
        std::string address;
        std::int64_t seen_version = 0;
        bool idle = false;
        bool poll_in_flight = false;
    };

    std::string node;
    std::int64_t incarnation;
    std::map<std::string, usage_state> usage_by_vm;
    reply_handler on_reply;
    claim_handler on_claim;
    usage_handler on_usage;
    net::http_client client;
};

} // namespace chervilslip::daemon
