#pragma once

#include <list>

#include "fakes/fault_gate.h"
#include "fakes/worker_model.h"

namespace chervilslip::fakes {

/// Serves a worker model over HTTP, as docs/WORKER-API.md describes. Not thread safe.
class fake_worker {
public:
    fake_worker(boost::asio::io_context& context, const common::clock& clock, std::string vm,
                teams::resources size, std::size_t connections);

    /// Opens the port. Errors: as of `http_server::listen`.
    common::result<net::endpoint> listen(const net::endpoint& address);

    /// Answers calls that wait for a task's end. Called every few milliseconds.
    void tick();

    /// Ends all connections, as a VM that dies.
    void close();

    /// Returns the model, for the switches of the program.
    worker_model& worker();

private:
    struct waiting_call {
        requests::attempt_id attempt;
        common::milliseconds lease;
        common::steady_time until;
        std::shared_ptr<net::http_exchange> exchange;
    };

    /// A call for the worker's use that waits for a change.
    struct waiting_usage {
        std::string node;
        std::int64_t incarnation = 0;
        std::int64_t seen_version = 0;
        common::steady_time until;
        std::shared_ptr<net::http_exchange> exchange;
    };

    bool answer_usage(const waiting_usage& call, common::steady_time now);
    void handle_usage(const net::http_request& request,
                      std::shared_ptr<net::http_exchange> exchange);
    void handle(const net::http_request& request, std::shared_ptr<net::http_exchange> exchange);
    void handle_start(const net::http_request& request,
                      std::shared_ptr<net::http_exchange> exchange);
    void handle_task(const net::http_request& request, const std::vector<std::string>& segments,
                     std::shared_ptr<net::http_exchange> exchange);
    net::http_response handle_other(const net::http_request& request);
    void answer_or_wait(const task_reply& reply, waiting_call call, common::milliseconds hold);
    net::http_response response_of(const requests::attempt_id& attempt, const task_reply& reply);

    const common::clock& clock;
    fault_gate gate;
    worker_model model;
    net::http_server server;
    std::list<waiting_call> waiting;
    std::list<waiting_usage> waiting_for_change;
};

} // namespace chervilslip::fakes
