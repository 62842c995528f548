#pragma once

#include "net/http_client.h"
#include "workers/protocol.h"

namespace chervilslip::daemon {

using reply_handler = std::function<void(const requests::worker_replied& reply)>;
using claim_handler = std::function<void(const requests::claim_replied& reply)>;
using usage_handler = std::function<void(const requests::usage_received& usage)>;

/// Calls workers over their published interface. Not thread safe: used on the io_context's thread.
class worker_client {
public:
    /// Precondition: `incarnation` is higher than that of every earlier node of this name.
    worker_client(boost::asio::io_context& context, std::string node, std::int64_t incarnation,
                  reply_handler on_reply, claim_handler on_claim, usage_handler on_usage);

    /// Starts a task; the reply comes when the task ends, or when it still runs after a while.
    void start(const requests::start_task& wanted, bool repeatable,
               common::milliseconds task_lease);

    /// Asks about an attempt, renewing its lease.
    void query(const requests::query_task& wanted, common::milliseconds task_lease);

    /// Stops an attempt; its end comes as the reply to the pending start or query.
    void stop(const requests::stop_task& wanted);

    /// Claims a task; `on_claim` gets what the worker knows of it.
    void claim(const requests::claim_task& wanted, common::milliseconds memory);

    /// Takes over a running task.
    void adopt(const requests::adopt_task& wanted, common::milliseconds task_lease);

    /// Asks what a worker knows of a task.
    void show(const std::string& task, const std::string& vm, const std::string& address,
              std::function<void(common::result<workers::claim_reply>)> handler);

    /// Asks a worker for its use, unless it is being asked. The worker answers when its use
    /// changes, or after a while, which is longer for a worker that runs nothing.
    void poll_usage(const std::string& vm, const std::string& address);

private:
    void take_usage(const std::string& vm, const common::result<net::http_response>& answer);
    void ask(const std::string& target, const std::string& vm, const std::string& address,
             std::function<void(common::result<workers::claim_reply>)> handler);
    void call(const requests::attempt_id& attempt, const std::string& address,
              net::http_request request, bool is_query);

    /// What was last heard of a worker's use.
    struct usage_state {
        std::string address;
        std::int64_t seen_version = 0;
        bool idle = false;
        bool asking = false;
    };

    std::string node;
    std::int64_t incarnation;
    std::map<std::string, usage_state> usage_of; ///< by VM
    reply_handler on_reply;
    claim_handler on_claim;
    usage_handler on_usage;
    net::http_client client;
};

} // namespace chervilslip::daemon
