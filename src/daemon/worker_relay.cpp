#include "daemon/worker_relay.h"

#include <boost/asio/post.hpp>

namespace chervilslip::daemon {

namespace {

using common::event_id;
using scheduling::command_outcome;
using scheduling::numbered_result;

/// Orders without an answer are looked for this often.
constexpr common::milliseconds late_check{50};

/// A process numbers its orders from its start, in milliseconds, times this: no process of the same
/// node gives a number twice, unless it sends more than a million orders a second.
constexpr std::uint64_t numbers_per_ms = 1000;

membership::relay_call message_of(std::string_view target, std::string body)
{
    membership::relay_call call;
    call.method = "POST";
    call.target = std::string(target);
    call.body = std::move(body);
    return call;
}

} // namespace

worker_relay::worker_relay(boost::asio::io_context& io, const common::clock& time,
                           const common::event_log& to, membership::peer_network& between,
                           scheduling::worker_port& itself, relay_options wanted)
    : context(io), clock(time), log(to), network(between), direct(itself), options(wanted),
      last_number(static_cast<std::uint64_t>(common::unix_milliseconds(time.wall_now())) *
                  numbers_per_ms),
      timer(io)
{
}

void worker_relay::update_workers(const std::vector<scheduling::worker_entry>& entries)
{
    this->zone_of_worker.clear();
    for (const scheduling::worker_entry& each : entries) {
        this->zone_of_worker[each.instance.id] = each.zone;
    }
}

void worker_relay::on_peer_connected(const membership::member& peer)
{
    this->zone_of_peer[peer.name] = peer.zone;
    this->avoided.erase(peer.name);
    this->peer_of_worker.clear();
}

void worker_relay::on_peer_lost(const std::string& peer)
{
    if (this->zone_of_peer.erase(peer) == 0) {
        return;
    }
    this->peer_of_worker.clear();
    this->outgoing.erase(peer);
    this->results.erase(peer);
    std::vector<std::uint64_t> ended;
    for (const auto& [number, order] : this->open) {
        if (order.peer == peer) {
            ended.push_back(number);
        }
    }
    for (const std::uint64_t number : ended) {
        this->finish(number, {number, command_outcome::unknown, 0, {}});
    }
}

const std::string& worker_relay::peer_for(const std::string& worker)
{
    static const std::string itself;
    if (this->zone_of_worker.size() <= this->options.most_direct || this->zone_of_peer.empty()) {
        return itself;
    }
    const auto now = this->clock.steady_now();
    const auto expired =
        std::erase_if(this->avoided, [now](const auto& each) { return each.second <= now; });
    if (expired > 0) {
        this->peer_of_worker.clear();
    }
    const auto [found, is_new] = this->peer_of_worker.try_emplace(worker);
    if (is_new) {
        found->second = this->choose_peer(worker);
    }
    return found->second;
}

std::string worker_relay::choose_peer(const std::string& worker) const
{
    const auto zone = this->zone_of_worker.find(worker);
    std::string chosen;
    std::pair<bool, std::size_t> best{false, 0};
    for (const auto& [peer, peer_zone] : this->zone_of_peer) {
        if (this->avoided.contains(peer)) {
            continue;
        }
        const bool near = zone != this->zone_of_worker.end() && zone->second == peer_zone;
        const std::pair<bool, std::size_t> rank{near, std::hash<std::string>{}(worker + peer)};
        if (chosen.empty() || rank > best) {
            best = rank;
            chosen = peer;
        }
    }
    return chosen;
}

template <typename Order>
void worker_relay::send(const std::string& peer, const Order& order, std::int64_t token,
                        common::milliseconds limit, std::function<void(numbered_result)> done)
{
    const std::uint64_t number = ++this->last_number;
    if (done) {
        this->open[number] = {peer, this->clock.steady_now() + limit, std::move(done)};
        this->watch_time();
    }
    const auto waiting = this->outgoing.find(peer);
    if (waiting != this->outgoing.end() && waiting->second.token != token) {
        this->flush(); // a batch bears the token of one claim
    }
    scheduling::command_batch& batch = this->outgoing[peer];
    batch.token = token;
    batch.commands.push_back({number, order});
    this->schedule_flush();
}

template <typename Order>
void worker_relay::send_for_answer(const std::string& peer, const Order& order, std::int64_t token,
                                   std::function<void(scheduling::command_result)> done)
{
    this->send(peer, order, token, this->options.start_time,
               [done = std::move(done), worker = order.worker, task = order.task,
                run = order.run](const numbered_result& result) {
                   done({worker, task, run, result.outcome, result.clock_ms});
               });
}

void worker_relay::poll(const scheduling::poll_command& order, std::int64_t token,
                        std::function<void(command_outcome, scheduling::worker_report)> done)
{
    const std::string& peer = this->peer_for(order.worker.id);
    if (peer.empty()) {
        this->direct.poll(order, token, std::move(done));
        return;
    }
    this->send(peer, order, token, order.wait + this->options.look_margin,
               [done = std::move(done)](numbered_result result) {
                   done(result.outcome,
                        result.report ? std::move(*result.report) : scheduling::worker_report{});
               });
}

void worker_relay::start(const scheduling::start_command& order, std::int64_t token,
                         std::function<void(scheduling::command_result)> done)
{
    const std::string& peer = this->peer_for(order.worker.id);
    if (peer.empty()) {
        this->direct.start(order, token, std::move(done));
        return;
    }
    this->send_for_answer(peer, order, token, std::move(done));
}

void worker_relay::stop(const scheduling::stop_command& order, std::int64_t token,
                        std::function<void(scheduling::command_result)> done)
{
    const std::string& peer = this->peer_for(order.worker.id);
    if (peer.empty()) {
        this->direct.stop(order, token, std::move(done));
        return;
    }
    this->send_for_answer(peer, order, token, std::move(done));
}

void worker_relay::throttle(const scheduling::throttle_command& order, std::int64_t token)
{
    const std::string& peer = this->peer_for(order.worker.id);
    if (peer.empty()) {
        this->direct.throttle(order, token);
        return;
    }
    this->send(peer, order, token, this->options.start_time, nullptr);
}

void worker_relay::advise(const scheduling::advice_request& order,
                          std::function<void(scheduling::advice_response)> done)
{
    this->direct.advise(order, std::move(done));
}

void worker_relay::schedule_flush()
{
    if (std::exchange(this->flush_due, true)) {
        return;
    }
    boost::asio::post(this->context, [this, weak = std::weak_ptr<bool>(this->alive)] {
        if (!weak.expired()) {
            this->flush();
        }
    });
}

void worker_relay::flush()
{
    this->flush_due = false;
    for (const auto& [peer, batch] : std::exchange(this->outgoing, {})) {
        const std::string body = scheduling::encode_commands(batch);
        if (this->network.send(peer, message_of(orders_target, body))) {
            continue;
        }
        for (const scheduling::numbered_command& each : batch.commands) {
            this->finish(each.number, {each.number, command_outcome::not_sent, 0, {}});
        }
    }
    for (const auto& [peer, each] : std::exchange(this->results, {})) {
        // Without a connection the owner has given these orders up already.
        this->network.send(peer, message_of(results_target, scheduling::encode_results(each)));
    }
}

void worker_relay::finish(std::uint64_t number, numbered_result result)
{
    const auto found = this->open.find(number);
    if (found == this->open.end()) {
        return; // answered already, or given up
    }
    const auto done = std::move(found->second.done);
    this->open.erase(found);
    done(std::move(result));
}

void worker_relay::watch_time()
{
    if (std::exchange(this->watching, true)) {
        return;
    }
    this->timer.expires_after(late_check);
    this->timer.async_wait([this](const boost::system::error_code& failure) {
        if (failure) {
            return;
        }
        this->watching = false;
        this->finish_late();
        if (!this->open.empty()) {
            this->watch_time();
        }
    });
}

void worker_relay::finish_late()
{
    const auto now = this->clock.steady_now();
    std::vector<std::uint64_t> late;
    for (const auto& [number, order] : this->open) {
        if (order.until <= now) {
            late.push_back(number);
        }
    }
    for (const std::uint64_t number : late) {
        const auto found = this->open.find(number);
        if (found != this->open.end()) {
            this->avoid(found->second.peer, "no answer to an order");
            this->finish(number, {number, command_outcome::unknown, 0, {}});
        }
    }
}

void worker_relay::avoid(const std::string& peer, std::string_view cause)
{
    const auto until = this->clock.steady_now() + this->options.avoid_time;
    if (this->avoided.insert_or_assign(peer, until).second) {
        this->peer_of_worker.clear();
        this->log.write(event_id::peer_avoided, {{"peer", peer}, {"cause", cause}});
    }
}

void worker_relay::handle_results(const std::string& peer, const std::string& body)
{
    auto read = scheduling::decode_results(body, peer);
    if (!read) {
        this->log.write(event_id::peer_refused, {{"error", read.error().to_string()}});
        return;
    }
    for (numbered_result& each : read.value()) {
        const std::uint64_t number = each.number;
        const auto found = this->open.find(number);
        if (found != this->open.end() && found->second.peer == peer) {
            this->finish(number, std::move(each));
        }
    }
}

void worker_relay::handle_orders(const std::string& peer, const std::string& body)
{
    const auto read = scheduling::decode_commands(body, peer);
    if (!read) {
        this->log.write(event_id::peer_refused, {{"error", read.error().to_string()}});
        return;
    }
    for (const scheduling::numbered_command& each : read.value().commands) {
        this->run_order(peer, each, read.value().token);
    }
}

void worker_relay::run_order(const std::string& peer, const scheduling::numbered_command& order,
                             std::int64_t token)
{
    const std::uint64_t number = order.number;
    const auto answer = [this, peer, number,
                         weak = std::weak_ptr<bool>(this->alive)](scheduling::command_result got) {
        if (!weak.expired()) {
            this->reply(peer, {number, got.outcome, got.clock_ms, {}});
        }
    };
    if (const auto* poll = std::get_if<scheduling::poll_command>(&order.command)) {
        this->direct.poll(*poll, token,
                          [this, peer, number, weak = std::weak_ptr<bool>(this->alive)](
                              command_outcome outcome, scheduling::worker_report report) {
                              if (weak.expired()) {
                                  return;
                              }
                              numbered_result result{number, outcome, 0, {}};
                              if (outcome == command_outcome::accepted) {
                                  result.report = std::move(report);
                              }
                              this->reply(peer, std::move(result));
                          });
    } else if (const auto* start = std::get_if<scheduling::start_command>(&order.command)) {
        this->direct.start(*start, token, answer);
    } else if (const auto* stop = std::get_if<scheduling::stop_command>(&order.command)) {
        this->direct.stop(*stop, token, answer);
    } else if (const auto* throttle = std::get_if<scheduling::throttle_command>(&order.command)) {
        this->direct.throttle(*throttle, token);
    }
}

void worker_relay::reply(const std::string& peer, numbered_result result)
{
    this->results[peer].push_back(std::move(result));
    this->schedule_flush();
}

} // namespace chervilslip::daemon
