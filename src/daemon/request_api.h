#pragma once

#include <map>

#include "daemon/task_lookup.h"
#include "net/http_server.h"
#include "requests/engine.h"

namespace chervilslip::daemon {

/// Callbacks of the request API into its node.
struct request_api_hooks {
    std::function<void(const requests::event&)> apply;
    std::function<const requests::record*(const std::string& id)> find;
    std::function<std::shared_ptr<const settings::snapshot>()> in_force;
    std::function<bool()> is_ready;
    std::function<void(common::milliseconds, std::function<void()>)> after;
    /// Relays a request to another node; returns false when there is no connection to it.
    std::function<bool(const std::string& node, const net::http_request& request,
                       std::shared_ptr<net::http_exchange> exchange)>
        forward;
    /// Returns the node responsible for a keyed task, or nothing when it cannot be reached.
    std::function<std::optional<std::string>(const std::string& task)> home_of;
    /// Tells whether another node may already have started the keyed task, so that it must be
    /// claimed first.
    std::function<bool(const std::string& task)> must_claim;
    /// Asks all upstreams for a task.
    std::function<void(const std::string& task, lookup_handler handler)> look_up;
};

/// The HTTP API for callers, described in docs/API.md. Not thread safe: to be used on the
/// io_context's thread only.
class request_api {
public:
    request_api(std::string node, common::milliseconds longest_wait, request_api_hooks hooks);

    /// Handles one request.
    void handle(const net::http_request& request, std::shared_ptr<net::http_exchange> exchange);

    /// Sends an answer to all callers that wait for it.
    void deliver(const std::string& id, const requests::response& response);

    /// Answers all waiting callers at once with "pending" and the request's id.
    void release_waiters();

    /// Returns the number of requests that callers wait for.
    [[nodiscard]] std::size_t waiters() const;

private:
    struct waiter {
        std::shared_ptr<net::http_exchange> exchange;
        std::uint64_t number = 0;
    };

    void submit(const net::http_request& request, const std::string& queue,
                const std::shared_ptr<net::http_exchange>& exchange);
    void show(const net::http_request& request, const std::string& id,
              const std::shared_ptr<net::http_exchange>& exchange);
    void cancel(const net::http_request& request, const std::string& id,
                const std::shared_ptr<net::http_exchange>& exchange);
    void cancel_many(const net::http_request& request, net::http_exchange& exchange);
    bool relay_to_home(const net::http_request& request, requests::request_submitted& submission,
                       const std::shared_ptr<net::http_exchange>& exchange);
    bool relay_to_owner(const net::http_request& request, const std::string& id,
                        const std::shared_ptr<net::http_exchange>& exchange);
    void show_from_workers(const net::http_request& request, const std::string& id,
                           const std::shared_ptr<net::http_exchange>& exchange);
    [[nodiscard]] bool is_authorized(const net::http_request& request, const std::string& team,
                                     const std::string& queue) const;
    [[nodiscard]] const requests::record* find_authorized(const net::http_request& request,
                                                          const std::string& id) const;
    void add_waiter(const std::string& id, common::milliseconds time,
                    const std::shared_ptr<net::http_exchange>& exchange);
    void answer_pending(const std::string& id, std::uint64_t number);

    std::string node;
    common::milliseconds longest_wait;
    request_api_hooks hooks;
    std::map<std::string, std::vector<waiter>> waiters_by_request;
    std::uint64_t last_waiter_number = 0;
};

} // namespace chervilslip::daemon
