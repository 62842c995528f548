#include "daemon/peer_relay.h"

namespace chervilslip::daemon {

namespace {

const std::string relayed_by_header = "X-Chervilslip-Relayed-By";

/// Sends the response of a handler to the peer that forwarded the request.
class relayed_exchange final : public net::http_exchange {
public:
    relayed_exchange(std::uint64_t call, membership::response_sender sender)
        : number(call), send(std::move(sender))
    {
    }

    void respond(net::http_response response) override
    {
        this->send(
            membership::relay_response{this->number, response.status, std::move(response.body)});
    }

    void begin_stream(const std::string& /*content_type*/) override
    {
        this->respond(net::error_response(501, "relay call", "streams are not relayed"));
    }

    bool write_chunk(const std::string& /*text*/) override
    {
        return false;
    }

    void drop() override
    {
    }

private:
    std::uint64_t number;
    membership::response_sender send;
};

} // namespace

bool was_relayed(const net::http_request& request)
{
    return !request.field(relayed_by_header).empty();
}

peer_relay::peer_relay(membership::peer_network& peers, local_handler local)
    : network(peers), handler(std::move(local))
{
}

bool peer_relay::forward(const std::string& peer, const net::http_request& request,
                         std::shared_ptr<net::http_exchange> exchange)
{
    const std::uint64_t number = ++this->last_number;
    const membership::relay_call call{number,
                                      request.method,
                                      request.target,
                                      request.field("Authorization"),
                                      request.field("Idempotency-Key"),
                                      request.body};
    if (!this->network.send(peer, call)) {
        return false;
    }
    this->calls[number] = {peer, request.method == "POST", std::move(exchange)};
    return true;
}

void peer_relay::handle_call(const membership::member& peer, const membership::relay_call& call,
                             const membership::response_sender& answer)
{
    net::http_request request;
    request.method = call.method;
    request.target = call.target;
    request.body = call.body;
    request.peer = peer.name;
    request.fields = {{relayed_by_header, peer.name}};
    if (!call.authorization.empty()) {
        request.fields.push_back({"Authorization", call.authorization});
    }
    if (!call.idempotency_key.empty()) {
        request.fields.push_back({"Idempotency-Key", call.idempotency_key});
    }
    this->handler(request, std::make_shared<relayed_exchange>(call.number, answer));
}

void peer_relay::handle_response(const membership::relay_response& relayed)
{
    const auto found = this->calls.find(relayed.number);
    if (found == this->calls.end()) {
        return;
    }
    net::http_response response;
    response.status = relayed.status;
    response.body = relayed.body;
    found->second.exchange->respond(std::move(response));
    this->calls.erase(found);
}

std::size_t peer_relay::pending_calls() const
{
    return this->calls.size();
}

void peer_relay::on_peer_lost(const std::string& peer)
{
    std::erase_if(this->calls, [&peer](const auto& entry) {
        const pending_call& call = entry.second;
        if (call.peer != peer) {
            return false;
        }
        const std::string cause = "node \"" + peer + "\" was lost before its answer";
        if (call.may_run) {
            call.exchange->respond(net::json_response(
                504, {{"fate", "unknown"}, {"error", {{"step", "relay call"}, {"cause", cause}}}}));
        } else {
            call.exchange->respond(net::error_response(503, "relay call", cause));
        }
        return true;
    });
}

} // namespace chervilslip::daemon
