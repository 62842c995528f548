#include "daemon/store_transport.h"
#include "daemon/route_plan.h"
#include "net/http_status.h"

#include <charconv>

#include <boost/asio/steady_timer.hpp>

namespace chervilslip::daemon {

namespace {

/// Maximum size of a response from the store: one page of a range.
constexpr std::size_t max_response_size = std::size_t{8} * 1024 * 1024;

/// Idle connections that are kept: as many as one node has concurrent watches and calls.
constexpr std::size_t max_idle_connections = 8;

/// How long peers are tried first after a failed direct call.
constexpr common::milliseconds direct_retry_delay{1500};

/// Timeout of a relayed call. A slow store responds within 250 ms.
constexpr common::milliseconds relay_timeout{600};

/// Delay before a call without a response is also sent over the next route. A slow store responds
/// just below it.
constexpr common::milliseconds hedge_delay{300};

/// A kept connection to the store without a response after this time is silent. Before the next
/// route is tried, the call is sent again on a new connection.
constexpr common::milliseconds silence_delay{260};

/// Time that a peer needs in addition to its own call to the store.
constexpr common::milliseconds peer_margin{50};

/// Sent when the peer got no response from the store: its call may have been executed.
constexpr unsigned status_no_answer = 0;

bool is_rejected(const net::http_response& answer)
{
    return answer.status == net::status_too_many_requests ||
           answer.status == net::status_unavailable;
}

/// Returns the target of a relayed call: the store's wait time in ms, then the store's own target.
std::string relay_target(common::milliseconds wait, const std::string& target)
{
    return std::string(store_transport::relay_prefix) + std::to_string(wait.count()) + target;
}

} // namespace

struct store_transport::pending_call {
    explicit pending_call(route_plan plan) : routes(std::move(plan))
    {
    }

    route_plan routes;
    net::http_request request;
    common::milliseconds wait{0};
    common::steady_time started_at;
    common::steady_time deadline;
    net::http_answer done; ///< empty once called
    int pending_attempts = 0;
    bool may_have_executed = false; ///< some attempt may have been executed
    std::string causes;             ///< why each attempt failed
    std::shared_ptr<boost::asio::steady_timer> hedge_timer;
};

store_transport::store_transport(boost::asio::io_context& io, net::endpoint store,
                                 const common::clock& time, peer_client& node_peers,
                                 fleet_metrics& store_metrics, const common::event_log& logger,
                                 std::uint64_t seed)
    : context(io), clock(time), address(std::move(store)),
      client(io, max_idle_connections, max_response_size), peers(node_peers),
      metrics(store_metrics), log(logger), random(seed)
{
}

void store_transport::on_silence(std::function<void(const net::silent_connection&)> callback)
{
    this->client.on_silence(std::move(callback));
}

bool store_transport::is_direct_available() const
{
    return this->direct_available;
}

bool store_transport::is_unreachable() const
{
    return this->reachability.is_unavailable(this->clock.steady_now());
}

void store_transport::call(net::http_request request, common::milliseconds wait,
                           common::milliseconds limit, net::http_answer done)
{
    const bool direct_last = this->clock.steady_now() < this->direct_retry_at;
    auto pending = std::make_shared<pending_call>(route_plan(direct_last));
    pending->request = std::move(request);
    pending->wait = wait;
    pending->started_at = this->clock.steady_now();
    pending->deadline = pending->started_at + wait + limit;
    pending->done = std::move(done);
    pending->hedge_timer = std::make_shared<boost::asio::steady_timer>(this->context);
    this->try_next_route(pending);
}

void store_transport::try_next_route(const std::shared_ptr<pending_call>& pending)
{
    const auto remaining = std::chrono::duration_cast<common::milliseconds>(
        pending->deadline - this->clock.steady_now());
    if (!pending->done) {
        return;
    }
    std::optional<std::string> route;
    if (remaining > peer_margin) {
        route =
            pending->routes.next(this->peers.reachable_peers(), this->preferred_peer, this->random);
    }
    if (!route) {
        if (pending->pending_attempts == 0) {
            this->fail(pending);
        }
        return;
    }
    ++pending->pending_attempts;
    if (*route == route_plan::direct_route) {
        this->try_direct(pending, remaining);
    } else {
        this->try_peer(pending, *route, remaining);
    }
    this->schedule_next_route(pending, pending->wait + hedge_delay);
}

/// A route that does not respond must not delay the call: the next one is tried in parallel.
void store_transport::schedule_next_route(const std::shared_ptr<pending_call>& pending,
                                          common::milliseconds delay)
{
    pending->hedge_timer->expires_after(delay);
    pending->hedge_timer->async_wait([this, pending](const boost::system::error_code& failure) {
        if (!failure) {
            this->try_next_route(pending);
        }
    });
}

void store_transport::complete(const std::shared_ptr<pending_call>& pending,
                               const std::string& route, net::http_response&& answer)
{
    if (!pending->done) {
        return; // another route responded first
    }
    pending->hedge_timer->cancel();
    this->record_call(*pending, route, "answered");
    this->reachability.record_response(this->clock.steady_now());
    std::exchange(pending->done, nullptr)(std::move(answer));
}

void store_transport::handle_route_failure(const std::shared_ptr<pending_call>& pending,
                                           bool may_have_executed, const std::string& route,
                                           const std::string& cause)
{
    const auto elapsed = std::chrono::duration_cast<common::milliseconds>(this->clock.steady_now() -
                                                                          pending->started_at);
    pending->may_have_executed = pending->may_have_executed || may_have_executed;
    pending->causes += (pending->causes.empty() ? "" : "; ") + route + " at " +
                       std::to_string(elapsed.count()) + " ms: " + cause;
    this->try_next_route(pending);
}

void store_transport::try_direct(const std::shared_ptr<pending_call>& pending,
                                 common::milliseconds limit)
{
    this->client.call(
        this->address, pending->request, limit,
        {pending->wait + silence_delay, true, std::nullopt, {}},
        [this, pending](common::result<net::http_response> answer) {
            --pending->pending_attempts;
            this->handle_direct_response(pending, std::move(answer));
        },
        [this, pending] {
            // The same response over another route would compete for this node's
            // link with the one that is arriving.
            if (pending->done) {
                this->schedule_next_route(pending, hedge_delay);
            }
        });
}

void store_transport::handle_direct_response(const std::shared_ptr<pending_call>& pending,
                                             common::result<net::http_response> answer)
{
    if (answer.has_value() && !is_rejected(answer.value())) {
        this->record_direct_result(true, {});
        this->metrics.add_store_attempt("direct", "answered");
        this->complete(pending, "direct", std::move(answer.value()));
        return;
    }
    const std::string cause = answer.has_value() ? "status " + std::to_string(answer.value().status)
                                                 : answer.error().to_string();
    this->record_direct_result(false, cause);
    const bool may_have_executed = !answer.has_value() && answer.error().may_have_reached_peer();
    this->metrics.add_store_attempt("direct", answer.has_value()  ? "rejected"
                                              : may_have_executed ? "no_response"
                                                                  : "not_sent");
    this->handle_route_failure(pending, may_have_executed, "direct", cause);
}

void store_transport::record_direct_result(bool served, const std::string& cause)
{
    if (served != this->direct_available) {
        this->log.write(served ? common::event_id::store_regained : common::event_id::store_lost,
                        {{"cause", cause}});
    }
    this->direct_available = served;
    this->direct_retry_at =
        served ? common::steady_time{} : this->clock.steady_now() + direct_retry_delay;
}

void store_transport::record_call(const pending_call& pending, const std::string& route,
                                  const std::string& outcome)
{
    const auto elapsed = std::chrono::duration_cast<common::milliseconds>(this->clock.steady_now() -
                                                                          pending.started_at);
    this->metrics.add_store_call(route, outcome,
                                 std::max(elapsed - pending.wait, common::milliseconds{0}));
}

void store_transport::fail(const std::shared_ptr<pending_call>& pending)
{
    this->record_call(*pending, "none", pending->may_have_executed ? "unknown" : "unavailable");
    this->reachability.record_failure(this->clock.steady_now());
    const auto code =
        pending->may_have_executed ? common::errc::connection_lost : common::errc::unavailable;
    std::exchange(pending->done,
                  nullptr)(common::make_error(code, "call store", "store", pending->causes));
}

void store_transport::try_peer(const std::shared_ptr<pending_call>& pending,
                               const std::string& peer, common::milliseconds limit)
{
    membership::relay_call relay;
    relay.method = pending->request.method;
    relay.target = relay_target(pending->wait, pending->request.target);
    relay.body = pending->request.body;
    this->peers.call(peer, std::move(relay), std::min(limit, relay_timeout + pending->wait),
                     [this, pending, peer](common::result<membership::relay_response> answer) {
                         --pending->pending_attempts;
                         this->handle_peer_response(pending, peer, std::move(answer));
                     });
}

void store_transport::handle_peer_response(const std::shared_ptr<pending_call>& pending,
                                           const std::string& peer,
                                           common::result<membership::relay_response> answer)
{
    const bool answered = answer.has_value() && answer.value().status != status_no_answer;
    if (answered && answer.value().status != net::status_too_many_requests &&
        answer.value().status != net::status_unavailable) {
        this->preferred_peer = peer;
        this->metrics.add_store_attempt("peer", "answered");
        net::http_response response;
        response.status = answer.value().status;
        response.body = std::move(answer.value().body);
        this->complete(pending, "peer", std::move(response));
        return;
    }
    if (this->preferred_peer == peer) {
        this->preferred_peer.clear();
    }
    const bool not_sent =
        !answer.has_value() && answer.error().code == common::errc::connect_failed;
    this->metrics.add_store_attempt("peer", answered   ? "rejected"
                                            : not_sent ? "not_sent"
                                                       : "no_response");
    this->handle_route_failure(pending, !answered && !not_sent, "via " + peer,
                               !answer.has_value() ? answer.error().to_string()
                               : answered ? "status " + std::to_string(answer.value().status)
                                          : "the store did not respond to the peer");
}

store_transport::relayed_calls& store_transport::relayed_calls_of(const membership::member& peer)
{
    relayed_calls& calls = this->relayed[peer.name];
    if (calls.incarnation != peer.incarnation) {
        calls = {}; // another process, which numbers its calls anew
        calls.incarnation = peer.incarnation;
    }
    return calls;
}

void store_transport::serve_relayed(const membership::member& peer,
                                    const membership::relay_call& call,
                                    const membership::response_sender& answer)
{
    const std::string rest = call.target.substr(relay_prefix.size());
    const auto end_of_wait = rest.find('/');
    std::int64_t wait_ms = -1;
    if (end_of_wait != std::string::npos) {
        const auto* begin = rest.data();
        std::from_chars(begin, begin + end_of_wait, wait_ms);
    }
    if (wait_ms < 0) {
        answer(membership::relay_response{call.number, net::status_bad_request, {}});
        return;
    }
    relayed_calls& calls = this->relayed_calls_of(peer);
    if (calls.rejected.contains(call.number)) {
        // The peer may have concluded already that its call was not executed.
        answer(membership::relay_response{call.number, net::status_unavailable, {}});
        return;
    }
    if (!calls.pending.insert_or_assign(call.number, answer).second) {
        return; // the connection of the first copy is gone
    }
    const bool received_before = !calls.received.add(call.number);
    net::http_request request;
    request.method = call.method;
    request.target = rest.substr(end_of_wait);
    request.body = call.body;
    const auto limit = relay_timeout + common::milliseconds(wait_ms) - peer_margin;
    this->client.call(this->address, std::move(request), limit,
                      {common::milliseconds(wait_ms) + silence_delay, true, std::nullopt, {}},
                      [this, peer, number = call.number,
                       received_before](common::result<net::http_response> store_response) {
                          this->answer_relayed(peer, number, received_before,
                                               std::move(store_response));
                      });
}

void store_transport::answer_relayed(const membership::member& peer, std::uint64_t number,
                                     bool received_before,
                                     common::result<net::http_response> store_response)
{
    relayed_calls& calls = this->relayed.at(peer.name);
    if (calls.incarnation != peer.incarnation) {
        return; // the process that sent the call has ended
    }
    const auto answer = calls.pending.extract(number);
    if (answer.empty()) {
        return; // a message of an earlier process came in between
    }
    membership::relay_response reply;
    reply.number = number;
    reply.status = status_no_answer;
    const bool rejected = store_response.has_value()
                              ? is_rejected(store_response.value())
                              : !store_response.error().may_have_reached_peer();
    if (rejected && !received_before) {
        calls.rejected.add(number);
        reply.status = net::status_unavailable;
    } else if (store_response.has_value() && !rejected) {
        reply.status = store_response.value().status;
        reply.body = std::move(store_response.value().body);
    }
    answer.mapped()(reply);
}

} // namespace chervilslip::daemon
