#include "daemon/store_transport.h"
#include "net/http_status.h"

#include <charconv>

#include <boost/asio/steady_timer.hpp>

namespace chervilslip::daemon {

namespace {

/// Longest answer of the store: one page of a range.
constexpr std::size_t max_store_answer = std::size_t{8} * 1024 * 1024;

/// Watches and calls of one node that are under way at a time.
constexpr std::size_t idle_store_connections = 8;

/// After a failed direct call, peers are asked first for this time.
constexpr common::milliseconds direct_pause{1500};

/// A relayed call gets this long; a slow store answers within a quarter of a second.
constexpr common::milliseconds direct_most{600};

/// A way that has not answered after this time is taken as silent: another is tried beside it. A
/// slow store is just below.
constexpr common::milliseconds next_way_after{300};

/// A peer needs this much longer than its own call to the store.
constexpr common::milliseconds peer_margin{50};

/// Peers that one call tries, beside the direct way.
constexpr std::size_t most_peers = 3;

constexpr std::string_view direct_way; ///< no peer has an empty name

constexpr unsigned status_no_answer = 0; ///< the peer's own call may have been carried out

bool turned_away(const net::http_response& answer)
{
    return answer.status == net::status_too_many_requests ||
           answer.status == net::status_unavailable;
}

/// The target of a relayed call: how long the store may wait, then the store's own target.
std::string relay_target(common::milliseconds wait, const std::string& target)
{
    return std::string(store_transport::relay_prefix) + std::to_string(wait.count()) + target;
}

} // namespace

struct store_transport::pending_call {
    net::http_request request;
    common::milliseconds wait{0};
    common::steady_time begun;
    common::steady_time give_up;
    net::http_answer done; ///< empty once it was called
    int open_tries = 0;
    bool maybe_done = false; ///< some try may have been carried out
    std::string last_cause;
    std::vector<std::string> ways_left; ///< peers and `direct_way`; the last is tried first
    std::shared_ptr<boost::asio::steady_timer> next_try;
};

store_transport::store_transport(boost::asio::io_context& io, net::endpoint store,
                                 const common::clock& time, peer_client& between,
                                 fleet_metrics& counts, const common::event_log& to,
                                 std::uint64_t seed)
    : context(io), clock(time), address(std::move(store)),
      client(io, idle_store_connections, max_store_answer), peers(between), metrics(counts),
      log(to), random(seed)
{
}

bool store_transport::serves_directly() const
{
    return this->direct_works;
}

bool store_transport::is_unavailable() const
{
    return this->reach.is_unavailable(this->clock.steady_now());
}

void store_transport::call(net::http_request request, common::milliseconds wait,
                           common::milliseconds limit, net::http_answer done)
{
    auto which = std::make_shared<pending_call>();
    which->request = std::move(request);
    which->wait = wait;
    which->begun = this->clock.steady_now();
    which->give_up = which->begun + wait + limit;
    which->done = std::move(done);
    which->next_try = std::make_shared<boost::asio::steady_timer>(this->context);
    auto& ways = which->ways_left;
    for (const std::string& peer : this->peers.reachable_peers()) {
        const auto at = this->random.below(ways.size() + 1);
        ways.insert(ways.begin() + static_cast<std::ptrdiff_t>(at), peer);
    }
    ways.resize(std::min(ways.size(), most_peers));
    if (this->peers.reachable_peers().contains(this->serving_peer)) {
        std::erase(ways, this->serving_peer);
        ways.push_back(this->serving_peer);
    }
    const bool direct_last = this->clock.steady_now() < this->direct_again;
    ways.insert(direct_last ? ways.begin() : ways.end(), std::string(direct_way));
    this->next_way(which);
}

void store_transport::next_way(const std::shared_ptr<pending_call>& which)
{
    const auto left =
        std::chrono::duration_cast<common::milliseconds>(which->give_up - this->clock.steady_now());
    if (!which->done) {
        return;
    }
    if (left <= peer_margin || which->ways_left.empty()) {
        if (which->open_tries == 0) {
            this->give_up(which);
        }
        return;
    }
    const std::string way = std::move(which->ways_left.back());
    which->ways_left.pop_back();
    ++which->open_tries;
    if (way == direct_way) {
        this->try_direct(which, left);
    } else {
        this->try_peer(which, way, left);
    }
    // A silent way must not hold the call up: the next one is tried beside it.
    which->next_try->expires_after(which->wait + next_way_after);
    which->next_try->async_wait([this, which](const boost::system::error_code& failure) {
        if (!failure) {
            this->next_way(which);
        }
    });
}

void store_transport::finish(const std::shared_ptr<pending_call>& which, const std::string& way,
                             net::http_response&& answer)
{
    if (!which->done) {
        return; // another way was faster
    }
    which->next_try->cancel();
    this->count(*which, way, "answered");
    this->reach.record_response(this->clock.steady_now());
    std::exchange(which->done, nullptr)(std::move(answer));
}

void store_transport::fail_way(const std::shared_ptr<pending_call>& which, bool maybe_done,
                               std::string cause)
{
    which->maybe_done = which->maybe_done || maybe_done;
    which->last_cause = std::move(cause);
    this->next_way(which);
}

void store_transport::try_direct(const std::shared_ptr<pending_call>& which,
                                 common::milliseconds limit)
{
    this->client.call(this->address, which->request, limit,
                      [this, which](common::result<net::http_response> answer) {
                          --which->open_tries;
                          this->take_direct(which, std::move(answer));
                      });
}

void store_transport::take_direct(const std::shared_ptr<pending_call>& which,
                                  common::result<net::http_response> answer)
{
    if (answer.has_value() && !turned_away(answer.value())) {
        this->note_direct(true, {});
        this->finish(which, "direct", std::move(answer.value()));
        return;
    }
    const std::string cause = answer.has_value() ? "status " + std::to_string(answer.value().status)
                                                 : answer.error().to_string();
    this->note_direct(false, cause);
    this->fail_way(which, !answer.has_value() && answer.error().may_have_reached_peer(), cause);
}

void store_transport::note_direct(bool served, const std::string& cause)
{
    if (served != this->direct_works) {
        this->log.write(served ? common::event_id::store_regained : common::event_id::store_lost,
                        {{"cause", cause}});
    }
    this->direct_works = served;
    this->direct_again = served ? common::steady_time{} : this->clock.steady_now() + direct_pause;
}

void store_transport::count(const pending_call& which, const std::string& way,
                            const std::string& outcome)
{
    const auto taken =
        std::chrono::duration_cast<common::milliseconds>(this->clock.steady_now() - which.begun);
    this->metrics.add_store_call(way, outcome,
                                 std::max(taken - which.wait, common::milliseconds{0}));
}

void store_transport::give_up(const std::shared_ptr<pending_call>& which)
{
    this->count(*which, "none", which->maybe_done ? "unknown" : "unavailable");
    this->reach.record_failure(this->clock.steady_now());
    const auto code = which->maybe_done ? common::errc::connection_lost : common::errc::unavailable;
    std::exchange(which->done,
                  nullptr)(common::make_error(code, "call store", "store", which->last_cause));
}

void store_transport::try_peer(const std::shared_ptr<pending_call>& which, const std::string& peer,
                               common::milliseconds limit)
{
    membership::relay_call relay;
    relay.method = which->request.method;
    relay.target = relay_target(which->wait, which->request.target);
    relay.body = which->request.body;
    this->peers.call(peer, std::move(relay), std::min(limit, direct_most + which->wait),
                     [this, which, peer](common::result<membership::relay_answer> answer) {
                         --which->open_tries;
                         this->take_peer(which, peer, std::move(answer));
                     });
}

void store_transport::take_peer(const std::shared_ptr<pending_call>& which, const std::string& peer,
                                common::result<membership::relay_answer> answer)
{
    const bool answered = answer.has_value() && answer.value().status != status_no_answer;
    if (answered && answer.value().status != net::status_too_many_requests &&
        answer.value().status != net::status_unavailable) {
        this->serving_peer = peer;
        net::http_response response;
        response.status = answer.value().status;
        response.body = std::move(answer.value().body);
        this->finish(which, "peer", std::move(response));
        return;
    }
    if (this->serving_peer == peer) {
        this->serving_peer.clear();
    }
    const bool not_sent =
        !answer.has_value() && answer.error().code == common::errc::connect_failed;
    this->fail_way(which, !answered && !not_sent,
                   answer.has_value()
                       ? "status " + std::to_string(answer.value().status) + " over a peer"
                       : answer.error().to_string());
}

void store_transport::serve(const membership::relay_call& call,
                            const membership::answer_sender& answer)
{
    const std::string rest = call.target.substr(relay_prefix.size());
    const auto end_of_wait = rest.find('/');
    std::int64_t wait_ms = -1;
    if (end_of_wait != std::string::npos) {
        const auto* begin = rest.data();
        std::from_chars(begin, begin + end_of_wait, wait_ms);
    }
    if (wait_ms < 0) {
        answer(membership::relay_answer{call.number, net::status_bad_request, {}});
        return;
    }
    net::http_request request;
    request.method = call.method;
    request.target = rest.substr(end_of_wait);
    request.body = call.body;
    const auto limit = direct_most + common::milliseconds(wait_ms) - peer_margin;
    this->client.call(this->address, std::move(request), limit,
                      [number = call.number, answer](common::result<net::http_response> got) {
                          membership::relay_answer reply;
                          reply.number = number;
                          reply.status = status_no_answer;
                          if (got.has_value()) {
                              reply.status = got.value().status;
                              reply.body = std::move(got.value().body);
                          } else if (got.error().code == common::errc::connect_failed) {
                              reply.status = net::status_unavailable;
                          }
                          answer(reply);
                      });
}

} // namespace chervilslip::daemon
