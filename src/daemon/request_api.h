#pragma once

#include <map>

#include "daemon/task_lookup.h"
#include "net/http_server.h"
#include "requests/engine.h"

namespace chervilslip::daemon {

/// What the request API asks of its node.
struct request_api_hooks {
    std::function<void(const requests::event&)> apply;
    std::function<const requests::record*(const std::string& id)> find;
    std::function<std::shared_ptr<const settings::snapshot>()> in_force;
    std::function<bool()> is_ready;
    std::function<void(common::milliseconds, std::function<void()>)> after;
    /// Passes a request to another node; false when there is no connection to it.
    std::function<bool(const std::string& node, const net::http_request& request,
                       std::shared_ptr<net::http_exchange> exchange)>
        pass_on;
    /// Names the node that decides about an idempotency key; nothing when it cannot be reached.
    std::function<std::optional<std::string>(const std::string& task)> home_of;
    /// Tells whether another node may have started a task under this idempotency key.
    std::function<bool(const std::string& task)> must_claim;
    /// Asks all upstreams what they know of a task.
    std::function<void(const std::string& task, lookup_handler handler)> look_up;
};

/// The callers' HTTP API, as docs/API.md describes. Not thread safe: used on the io_context's
/// thread.
class request_api {
public:
    request_api(std::string node, common::milliseconds longest_wait, request_api_hooks hooks);

    /// Handles one request.
    void handle(const net::http_request& request, std::shared_ptr<net::http_exchange> exchange);

    /// Gives an answer to all callers that wait for it.
    void deliver(const std::string& id, const requests::response& whole);

    /// Tells all callers that wait that their requests go on, with their ids.
    void release_waiters();

    /// Returns how many callers wait.
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
    bool submit_elsewhere(const net::http_request& request, requests::request_submitted& wanted,
                          const std::shared_ptr<net::http_exchange>& exchange);
    bool ask_elsewhere(const net::http_request& request, const std::string& id,
                       const std::shared_ptr<net::http_exchange>& exchange);
    void show_from_workers(const net::http_request& request, const std::string& id,
                           const std::shared_ptr<net::http_exchange>& exchange);
    [[nodiscard]] bool may_see(const net::http_request& request, const std::string& team,
                               const std::string& queue) const;
    [[nodiscard]] const requests::record* find_allowed(const net::http_request& request,
                                                       const std::string& id) const;
    void wait(const std::string& id, common::milliseconds time,
              const std::shared_ptr<net::http_exchange>& exchange);
    void end_wait(const std::string& id, std::uint64_t number);

    std::string node;
    common::milliseconds longest_wait;
    request_api_hooks hooks;
    std::map<std::string, std::vector<waiter>> waiting;
    std::uint64_t last_number = 0;
};

} // namespace chervilslip::daemon
