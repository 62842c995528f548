#include "store/etcd_client.h"

#include <boost/asio/steady_timer.hpp>

namespace chervilslip::store {

namespace {

using common::errc;
using common::make_error;

constexpr std::size_t max_idle_connections = 4;
constexpr std::size_t max_body_bytes = std::size_t{8} * 1024 * 1024;
constexpr common::milliseconds no_idle_timeout{0};

/// Returns the body of a successful response, or the error of a failed call.
common::result<std::string> success_body(common::result<net::http_response> response,
                                         const std::string& step, const std::string& peer)
{
    if (!response) {
        auto cause = response.error();
        cause.step = step + ", " + cause.step;
        return boost::outcome_v2::failure(cause);
    }
    if (response.value().status != 200) {
        return boost::outcome_v2::failure(make_error(
            errc::unavailable, step, peer, "status " + std::to_string(response.value().status)));
    }
    return boost::outcome_v2::success(std::move(response.value().body));
}

/// Returns an HTTP handler that parses the body of a successful response with `parse` and passes
/// the result, or the error, to `handler`.
template <typename Handler, typename Parse>
net::http_answer parse_and_handle(const std::string& step, const std::string& peer, Parse parse,
                                  Handler handler)
{
    return [step, peer, parse,
            handler = std::move(handler)](common::result<net::http_response> response) {
        const auto body = success_body(std::move(response), step, peer);
        if (!body) {
            handler(body.error());
            return;
        }
        handler(parse(body.value(), peer));
    };
}

} // namespace

etcd_client::etcd_client(boost::asio::io_context& io, net::endpoint store_peer,
                         common::milliseconds timeout, call_observer on_call)
    : context(io), peer(std::move(store_peer)), call_timeout(timeout), observer(std::move(on_call)),
      client(io, max_idle_connections, max_body_bytes)
{
}

void etcd_client::post(const std::string& target, const nlohmann::json& body, purpose call_purpose,
                       net::http_answer handler)
{
    this->observer(call_purpose);
    net::http_request request;
    request.method = "POST";
    request.target = target;
    request.body = body.dump();
    this->client.call(this->peer, std::move(request), this->call_timeout, std::move(handler));
}

void etcd_client::read(const std::string& key, purpose call_purpose, read_handler handler)
{
    this->post("/v3/kv/range", etcd::range_request(key), call_purpose,
               parse_and_handle("read key", this->peer.to_string(), etcd::parse_range,
                                std::move(handler)));
}

void etcd_client::read_revision(const std::string& key, purpose call_purpose,
                                number_handler handler)
{
    const auto parse = [](const std::string& body,
                          const std::string& store_peer) -> common::result<std::int64_t> {
        const auto found = etcd::parse_range(body, store_peer);
        if (!found) {
            return found.error();
        }
        return found.value() ? found.value()->revision : no_revision;
    };
    this->post(
        "/v3/kv/range", etcd::revision_request(key), call_purpose,
        parse_and_handle("read revision", this->peer.to_string(), parse, std::move(handler)));
}

void etcd_client::compare_and_swap(const swap_request& request, purpose call_purpose,
                                   swap_handler handler)
{
    this->post("/v3/kv/txn", etcd::transaction_request(request), call_purpose,
               parse_and_handle("compare and swap", this->peer.to_string(), etcd::parse_swap,
                                std::move(handler)));
}

void etcd_client::grant_lease(std::chrono::seconds time_to_live, purpose call_purpose,
                              number_handler handler)
{
    this->post("/v3/lease/grant", {{"TTL", std::to_string(time_to_live.count())}, {"ID", "0"}},
               call_purpose,
               parse_and_handle("grant lease", this->peer.to_string(), etcd::parse_lease,
                                std::move(handler)));
}

void etcd_client::renew_lease(std::int64_t lease, purpose call_purpose, number_handler handler)
{
    const auto parse = [](const std::string& body,
                          const std::string& store_peer) -> common::result<std::int64_t> {
        const auto message = nlohmann::json::parse(body, nullptr, false);
        if (!message.is_object() || !message.contains("result")) {
            return make_error(errc::bad_message, "renew lease", store_peer,
                              "response has no field \"result\"");
        }
        return etcd::parse_int64(message.at("result"), "TTL");
    };
    this->post("/v3/lease/keepalive", {{"ID", std::to_string(lease)}}, call_purpose,
               parse_and_handle("renew lease", this->peer.to_string(), parse, std::move(handler)));
}

void etcd_client::revoke_lease(std::int64_t lease, purpose call_purpose, number_handler handler)
{
    const auto parse = [lease](const std::string&,
                               const std::string&) -> common::result<std::int64_t> {
        return lease;
    };
    this->post("/v3/lease/revoke", {{"ID", std::to_string(lease)}}, call_purpose,
               parse_and_handle("revoke lease", this->peer.to_string(), parse, std::move(handler)));
}

void etcd_client::after(common::milliseconds delay, std::function<void()> action)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(this->context, delay);
    timer->async_wait(
        [timer, action = std::move(action)](const boost::system::error_code&) { action(); });
}

std::unique_ptr<net::http_stream> etcd_client::watch(const std::string& key,
                                                     std::int64_t start_revision,
                                                     purpose call_purpose, value_handler on_value,
                                                     net::stream_end_handler on_end)
{
    this->observer(call_purpose);
    net::http_request request;
    request.method = "POST";
    request.target = "/v3/watch";
    request.body = etcd::watch_request(key, start_revision).dump();
    const auto on_line = [on_value = std::move(on_value),
                          name = this->peer.to_string()](const std::string& line) {
        const auto message = etcd::parse_watch(line, name);
        if (!message) {
            return;
        }
        for (const etcd::watch_event& event : message.value().events) {
            if (event.value) {
                on_value(*event.value);
            }
        }
    };
    return std::make_unique<net::http_stream>(this->context, this->peer, std::move(request),
                                              this->call_timeout, no_idle_timeout, on_line,
                                              std::move(on_end));
}

} // namespace chervilslip::store
