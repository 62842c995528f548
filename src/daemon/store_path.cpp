#include "daemon/store_path.h"

#include <charconv>

namespace chervilslip::daemon {

namespace {

/// Longest answer of the store: one page of a range.
constexpr std::size_t max_store_answer = std::size_t{8} * 1024 * 1024;

/// Watches and calls of one node that are under way at a time.
constexpr std::size_t idle_store_connections = 8;

/// After a failed direct call, peers are asked first for this time.
constexpr common::milliseconds direct_pause{1500};

/// A direct call gets this part of its time; the rest is for a peer.
constexpr common::milliseconds direct_most{600};

/// A peer needs this much longer than its own call to the store.
constexpr common::milliseconds peer_margin{50};

/// Peers that one call tries, beside the direct way.
constexpr std::size_t most_peers = 2;

constexpr unsigned status_no_answer = 0; ///< the peer's own call may have been carried out
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_too_many = 429;
constexpr unsigned status_unavailable = 503;

bool turned_away(const net::http_response& answer)
{
    return answer.status == status_too_many || answer.status == status_unavailable;
}

/// The target of a relayed call: how long the store may wait, then the store's own target.
std::string relay_target(common::milliseconds wait, const std::string& target)
{
    return std::string(store_path::relay_prefix) + std::to_string(wait.count()) + target;
}

} // namespace

struct store_path::pending_call {
    net::http_request request;
    common::milliseconds wait{0};
    common::steady_time begun;
    common::steady_time give_up;
    net::http_answer done;
    bool direct_tried = false;
    bool maybe_done = false; ///< some try may have been carried out
    std::string last_cause;
    std::vector<std::string> peers_left;
};

store_path::store_path(boost::asio::io_context& context, net::endpoint store,
                       const common::clock& time, peer_calls& between, fleet_metrics& counts,
                       const common::event_log& to, std::uint64_t seed)
    : clock(time), address(std::move(store)),
      client(context, idle_store_connections, max_store_answer), peers(between), metrics(counts),
      log(to), random(seed)
{
}

bool store_path::serves_directly() const
{
    return this->direct_works;
}

void store_path::call(net::http_request request, common::milliseconds wait,
                      common::milliseconds limit, net::http_answer done)
{
    auto which = std::make_shared<pending_call>();
    which->request = std::move(request);
    which->wait = wait;
    which->begun = this->clock.steady_now();
    which->give_up = which->begun + wait + limit;
    which->done = std::move(done);
    for (const std::string& peer : this->peers.reachable()) {
        const auto at = this->random.below(which->peers_left.size() + 1);
        which->peers_left.insert(which->peers_left.begin() + static_cast<std::ptrdiff_t>(at), peer);
    }
    which->peers_left.resize(std::min(which->peers_left.size(), most_peers));
    if (this->clock.steady_now() < this->direct_again && !which->peers_left.empty()) {
        this->try_peer(which);
    } else {
        this->try_direct(which);
    }
}

void store_path::try_direct(const std::shared_ptr<pending_call>& which)
{
    which->direct_tried = true;
    const auto left =
        std::chrono::duration_cast<common::milliseconds>(which->give_up - this->clock.steady_now());
    const auto limit = which->peers_left.empty() ? left : std::min(left, direct_most + which->wait);
    this->client.call(this->address, which->request, std::max(limit, common::milliseconds{1}),
                      [this, which](common::result<net::http_response> answer) {
                          this->take_direct(which, std::move(answer));
                      });
}

void store_path::take_direct(const std::shared_ptr<pending_call>& which,
                             common::result<net::http_response> answer)
{
    if (answer.has_value() && !turned_away(answer.value())) {
        this->note_direct(true, {});
        this->count(*which, "direct", "answered");
        which->done(std::move(answer));
        return;
    }
    which->last_cause = answer.has_value() ? "status " + std::to_string(answer.value().status)
                                           : answer.error().to_string();
    which->maybe_done =
        which->maybe_done || (!answer.has_value() && answer.error().may_have_reached_peer());
    this->note_direct(false, which->last_cause);
    this->try_peer(which);
}

void store_path::note_direct(bool served, const std::string& cause)
{
    if (served != this->direct_works) {
        this->log.write(served ? common::event_id::store_regained : common::event_id::store_lost,
                        {{"cause", cause}});
    }
    this->direct_works = served;
    this->direct_again = served ? common::steady_time{} : this->clock.steady_now() + direct_pause;
}

void store_path::count(const pending_call& which, const std::string& way,
                       const std::string& outcome)
{
    const auto taken =
        std::chrono::duration_cast<common::milliseconds>(this->clock.steady_now() - which.begun);
    this->metrics.add_store_call(way, outcome,
                                 std::max(taken - which.wait, common::milliseconds{0}));
}

void store_path::give_up(const std::shared_ptr<pending_call>& which)
{
    this->count(*which, "none", which->maybe_done ? "unknown" : "unavailable");
    const auto code = which->maybe_done ? common::errc::connection_lost : common::errc::unavailable;
    which->done(common::make_error(code, "call store", "store", which->last_cause));
}

void store_path::try_peer(const std::shared_ptr<pending_call>& which)
{
    const auto left =
        std::chrono::duration_cast<common::milliseconds>(which->give_up - this->clock.steady_now());
    if (left <= peer_margin) {
        give_up(which);
        return;
    }
    if (which->peers_left.empty()) {
        if (which->direct_tried) {
            give_up(which);
        } else {
            this->try_direct(which);
        }
        return;
    }
    const std::string peer = which->peers_left.back();
    which->peers_left.pop_back();
    membership::relay_call relay;
    relay.method = which->request.method;
    relay.target = relay_target(which->wait, which->request.target);
    relay.body = which->request.body;
    this->peers.call(peer, std::move(relay), std::min(left, direct_most + which->wait),
                     [this, which](common::result<membership::relay_answer> answer) {
                         this->take_peer(which, std::move(answer));
                     });
}

void store_path::take_peer(const std::shared_ptr<pending_call>& which,
                           common::result<membership::relay_answer> answer)
{
    const bool answered = answer.has_value() && answer.value().status != status_no_answer;
    if (answered && answer.value().status != status_too_many &&
        answer.value().status != status_unavailable) {
        net::http_response response;
        response.status = answer.value().status;
        response.body = std::move(answer.value().body);
        this->count(*which, "peer", "answered");
        which->done(std::move(response));
        return;
    }
    const bool not_sent =
        !answer.has_value() && answer.error().code == common::errc::connect_failed;
    which->maybe_done = which->maybe_done || (!answered && !not_sent);
    which->last_cause = answer.has_value()
                            ? "status " + std::to_string(answer.value().status) + " over a peer"
                            : answer.error().to_string();
    this->try_peer(which);
}

void store_path::serve(const membership::relay_call& call, const membership::answer_sender& answer)
{
    const std::string rest = call.target.substr(relay_prefix.size());
    const auto end_of_wait = rest.find('/');
    std::int64_t wait_ms = -1;
    if (end_of_wait != std::string::npos) {
        const auto* begin = rest.data();
        std::from_chars(begin, begin + end_of_wait, wait_ms);
    }
    if (wait_ms < 0) {
        answer(membership::relay_answer{call.number, status_bad_request, {}});
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
                              reply.status = status_unavailable;
                          }
                          answer(reply);
                      });
}

} // namespace chervilslip::daemon
