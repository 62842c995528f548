#include "fakes/fake_store.h"

#include "store/etcd_codec.h"

namespace chervilslip::fakes {

namespace {

using nlohmann::json;

constexpr std::uint64_t gate_seed = 11;

} // namespace

fake_store::fake_store(boost::asio::io_context& context, const common::clock& time_source)
    : clock(time_source), gate(context, gate_seed),
      server(
          context, net::http_limits{.total_bytes = net::no_total_limit},
          [this](const net::http_request& request, std::shared_ptr<net::http_exchange> exchange) {
              this->handle(request, std::move(exchange));
          },
          [](net::refusal_reason, const common::error&) {})
{
}

common::result<net::endpoint> fake_store::listen(const net::endpoint& address)
{
    return this->server.listen(address);
}

void fake_store::close()
{
    this->watchers.clear();
    this->server.stop_accepting();
    this->server.close_all();
}

void fake_store::handle(const net::http_request& request,
                        std::shared_ptr<net::http_exchange> exchange)
{
    if (request.path() == "/fake") {
        this->handle_switches(request, *exchange);
        return;
    }
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object()) {
        exchange->respond(net::error_response(400, "parse body", "not a JSON object"));
        return;
    }
    ++this->calls[request.path()];
    this->model.lapse_leases(this->clock.steady_now());
    if (request.path() == "/v3/watch" && !this->gate.switches.down) {
        this->open_watch(body, std::move(exchange));
        return;
    }
    this->gate.pass(exchange,
                    [this, &request, &body] { return this->answer(request.path(), body); });
    this->feed_watchers();
}

net::http_response fake_store::answer(const std::string& target, const json& body)
{
    const auto now = this->clock.steady_now();
    try {
        if (target == "/v3/kv/range") {
            return net::json_response(200, this->model.range(body));
        }
        if (target == "/v3/kv/txn") {
            return net::json_response(200, this->model.transaction(body));
        }
        if (target == "/v3/lease/grant") {
            return net::json_response(200, this->model.grant_lease(body, now));
        }
        if (target == "/v3/lease/keepalive") {
            return net::json_response(200, this->model.keep_lease_alive(body, now));
        }
        if (target == "/v3/lease/revoke") {
            return net::json_response(200, this->model.revoke_lease(body));
        }
    } catch (const json::exception& failure) {
        return net::error_response(400, "read body", failure.what());
    }
    return net::error_response(404, "find call", target);
}

void fake_store::handle_switches(const net::http_request& request, net::http_exchange& exchange)
{
    if (request.method == "POST") {
        const json wanted = json::parse(request.body, nullptr, false);
        if (!wanted.is_object()) {
            exchange.respond(net::error_response(400, "parse switches", "not a JSON object"));
            return;
        }
        this->gate.set(wanted);
        if (this->gate.switches.down) {
            for (const watcher& each : this->watchers) {
                each.exchange->drop();
            }
            this->watchers.clear();
        }
        if (wanted.value("lapse_leases", false)) {
            this->model.lapse_all_leases();
            this->feed_watchers();
        }
    }
    exchange.respond(net::json_response(200, {{"calls", this->calls},
                                              {"watchers", this->watchers.size()},
                                              {"revision", this->model.revision()}}));
}

void fake_store::open_watch(const json& body, std::shared_ptr<net::http_exchange> exchange)
{
    const json request = body.value("create_request", json::object());
    watcher each;
    each.key = request.value("key", std::string{});
    each.next_revision = store::etcd::parse_int64(request, "start_revision");
    if (each.next_revision == 0) {
        each.next_revision = this->model.revision() + 1;
    }
    exchange->begin_stream("application/json");
    exchange->write_chunk(this->model.watch_created());
    each.exchange = std::move(exchange);
    this->watchers.push_back(std::move(each));
    this->feed_watchers();
}

void fake_store::feed_watchers()
{
    std::erase_if(this->watchers, [this](watcher& each) {
        bool open = true;
        for (const std::string& message : this->model.events_since(each.key, each.next_revision)) {
            open = open && each.exchange->write_chunk(message);
        }
        return !open;
    });
}

} // namespace chervilslip::fakes
