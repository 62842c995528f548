#pragma once

#include <list>

#include "fakes/fault_gate.h"
#include "fakes/store_model.h"

namespace chervilslip::fakes {

/// Serves the store model over HTTP. `POST /fake` sets fault switches and `GET /fake` shows the
/// calls counted. Not thread safe.
class fake_store {
public:
    fake_store(boost::asio::io_context& context, const common::clock& clock);

    /// Opens the port. Errors: as of `http_server::listen`.
    common::result<net::endpoint> listen(const net::endpoint& address);

    /// Ends all connections.
    void close();

private:
    struct watcher {
        std::string key;
        std::int64_t next_revision = 0;
        std::shared_ptr<net::http_exchange> exchange;
    };

    void handle(const net::http_request& request, std::shared_ptr<net::http_exchange> exchange);
    net::http_response answer(const std::string& target, const nlohmann::json& body);
    void handle_switches(const net::http_request& request, net::http_exchange& exchange);
    void open_watch(const nlohmann::json& body, std::shared_ptr<net::http_exchange> exchange);
    void feed_watchers();

    const common::clock& clock;
    fault_gate gate;
    store_model model;
    net::http_server server;
    std::list<watcher> watchers;
    std::map<std::string, std::int64_t> calls; ///< by target
};

} // namespace chervilslip::fakes
