#include "daemon/worker_relay.h"

#include <boost/asio/post.hpp>

namespace chervilslip::daemon {

namespace {

using common::event_id;
using scheduling::command_outcome;
using scheduling::numbered_result;

/// Interval of the check for commands that have timed out.
constexpr common::milliseconds timeout_check_interval{50};

/// A timeout is extended by at most this while this process does not keep up with reading.
constexpr common::milliseconds max_timeout_extension{2000};

/// A check looks at all pending commands, so the interval grows by a millisecond for so many.
constexpr std::size_t commands_per_check_interval_ms = 20;

/// A process numbers its commands from its start time in milliseconds times this factor, so that
/// later processes of the same node do not reuse a number unless more than a million commands are
/// sent per second.
constexpr std::uint64_t numbers_per_ms = 1000;

membership::relay_call make_call(std::string_view target, std::string body)
{
    membership::relay_call call;
    call.method = "POST";
    call.target = std::string(target);
    call.body = std::move(body);
    return call;
}

/// Orders peers by a hash of their names and a salt (rendezvous hashing), so that the loss of one
/// moves only what it held.
std::size_t rendezvous_rank(const std::string& peer, const std::string& salt)
{
    return std::hash<std::string>{}(salt + peer);
}

} // namespace

worker_relay::worker_relay(boost::asio::io_context& io, const common::clock& time_source,
                           const common::event_log& events,
                           membership::peer_network& peer_connections,
                           scheduling::worker_port& direct_port, relay_options tuning)
    : context(io), clock(time_source), log(events), network(peer_connections), direct(direct_port),
      options(tuning),
      last_number(static_cast<std::uint64_t>(common::unix_milliseconds(time_source.wall_now())) *
                  numbers_per_ms),
      timer(io), result_timer(io), flush_timer(io)
{
}

void worker_relay::update_workers(const std::vector<scheduling::worker_entry>& entries)
{
    const bool same =
        entries.size() == this->zone_of_worker.size() &&
        std::all_of(entries.begin(), entries.end(), [this](const scheduling::worker_entry& each) {
            const auto known = this->zone_of_worker.find(each.instance.id);
            return known != this->zone_of_worker.end() && known->second == each.zone;
        });
    if (same) {
        return;
    }
    this->zone_of_worker.clear();
    for (const scheduling::worker_entry& each : entries) {
        this->zone_of_worker[each.instance.id] = each.zone;
    }
    this->relays_of_zone.clear();
    std::erase_if(this->peer_of_worker, [this](const auto& each) {
        const auto known = this->zone_of_worker.find(each.first);
        return known == this->zone_of_worker.end();
    });
}

void worker_relay::set_batch_window(common::milliseconds window)
{
    this->batch_window = window;
}

void worker_relay::reset_assignment()
{
    this->peer_of_worker.clear();
    this->relays_of_zone.clear();
}

void worker_relay::on_peer_connected(const membership::member& peer)
{
    this->peers[peer.name] = {peer.zone, peer.is_ample};
    this->avoided_until.erase(peer.name);
    this->delays.erase(peer.name);
    this->reset_assignment();
}

void worker_relay::on_peer_lost(const std::string& peer)
{
    if (this->peers.erase(peer) == 0) {
        return;
    }
    this->reset_assignment();
    this->outgoing.erase(peer);
    this->results.erase(peer);
    std::vector<std::uint64_t> failed;
    for (const auto& [number, command] : this->pending) {
        if (command.peer == peer) {
            failed.push_back(number);
        }
    }
    for (const std::uint64_t number : failed) {
        this->give_up(number);
    }
}

void worker_relay::on_late_report(
    std::function<void(const scheduling::worker_instance&, const scheduling::worker_report&)>
        callback)
{
    this->late_report_callback = std::move(callback);
}

const std::string& worker_relay::peer_for(const std::string& worker)
{
    static const std::string this_node;
    if (this->zone_of_worker.size() <= this->options.max_direct_workers || this->peers.empty()) {
        return this_node;
    }
    const auto now = this->clock.steady_now();
    const auto expired =
        std::erase_if(this->avoided_until, [now](const auto& each) { return each.second <= now; });
    if (expired > 0) {
        this->reset_assignment();
    }
    if (this->relays_of_zone.empty()) {
        this->choose_relays();
    }
    const auto [found, is_new] = this->peer_of_worker.try_emplace(worker);
    if (is_new) {
        found->second = this->choose_peer(worker);
    }
    return found->second;
}

void worker_relay::choose_relays()
{
    std::map<std::string, std::size_t> workers_in_zone;
    for (const auto& [worker, zone] : this->zone_of_worker) {
        ++workers_in_zone[zone];
    }
    for (const auto& [zone, workers] : workers_in_zone) {
        this->relays_of_zone[zone] = this->relays_for(zone, workers);
    }
}

std::vector<std::string> worker_relay::relays_for(const std::string& zone,
                                                  std::size_t worker_count) const
{
    // Ample peers of the zone come first, then its other peers, then peers of other zones.
    const auto preference = [&](const std::string& name, const relay_peer& peer) {
        const int group = peer.zone != zone ? 0 : peer.is_ample ? 2 : 1;
        return std::pair(group, rendezvous_rank(name, zone));
    };
    std::vector<std::pair<std::pair<int, std::size_t>, std::string>> candidates;
    for (const auto& [name, peer] : this->peers) {
        if (!this->avoided_until.contains(name)) {
            candidates.emplace_back(preference(name, peer), name);
        }
    }
    std::sort(candidates.rbegin(), candidates.rend());
    std::vector<std::string> relays;
    std::size_t capacity = 0;
    for (const auto& [rank, name] : candidates) {
        const bool in_zone = rank.first > 0;
        if (capacity >= worker_count || (!in_zone && !relays.empty())) {
            break;
        }
        capacity += this->peers.at(name).is_ample ? this->options.workers_per_ample_relay
                                                  : this->options.workers_per_relay;
        relays.push_back(name);
    }
    return relays;
}

std::string worker_relay::choose_peer(const std::string& worker) const
{
    const auto zone = this->zone_of_worker.find(worker);
    const auto relays = this->relays_of_zone.find(
        zone == this->zone_of_worker.end() ? std::string{} : zone->second);
    if (relays == this->relays_of_zone.end() || relays->second.empty()) {
        return {};
    }
    return *std::max_element(relays->second.begin(), relays->second.end(),
                             [&worker](const std::string& left, const std::string& right) {
                                 return rendezvous_rank(left, worker) <
                                        rendezvous_rank(right, worker);
                             });
}

template <typename Command>
void worker_relay::send(const std::string& peer, const Command& command,
                        common::milliseconds timeout, std::function<void(numbered_result)> done)
{
    const std::uint64_t number = ++this->last_number;
    if (done) {
        const auto now = this->clock.steady_now();
        pending_command& sent = this->pending[number];
        sent = {peer,
                this->reading.at(now) + timeout,
                now + timeout + max_timeout_extension,
                std::move(done),
                {}};
        if constexpr (std::is_same_v<Command, scheduling::poll_command>) {
            sent.polled = command.worker;
        }
        this->schedule_timeout_check();
    }
    scheduling::command_batch& batch = this->outgoing[peer];
    if (batch.commands.empty()) {
        batch.decided_at = std::chrono::duration_cast<common::milliseconds>(
            this->clock.steady_now().time_since_epoch());
    }
    batch.commands.push_back({number, command});
    this->schedule_flush();
}

template <typename Command>
void worker_relay::send_for_result(const std::string& peer, const Command& command,
                                   std::function<void(scheduling::command_result)> done)
{
    this->send(peer, command, this->options.command_timeout,
               [done = std::move(done), worker = command.worker, task = command.task,
                run = command.run](const numbered_result& result) {
                   done({worker, task, run, result.outcome, result.clock_ms});
               });
}

void worker_relay::poll(const scheduling::poll_command& command,
                        std::function<void(command_outcome, scheduling::worker_report)> done)
{
    const std::string peer = this->peer_for(command.worker.id);
    if (peer.empty()) {
        this->direct.poll(command, std::move(done));
        return;
    }
    this->send(peer, command, command.wait + this->options.poll_timeout_margin,
               [done = std::move(done)](numbered_result result) {
                   done(result.outcome,
                        result.report ? std::move(*result.report) : scheduling::worker_report{});
               });
}

void worker_relay::start(const scheduling::start_command& command,
                         std::function<void(scheduling::command_result)> done)
{
    const std::string peer = this->peer_for(command.worker.id);
    if (peer.empty()) {
        this->direct.start(command, std::move(done));
        return;
    }
    this->send_for_result(peer, command, std::move(done));
}

void worker_relay::stop(const scheduling::stop_command& command,
                        std::function<void(scheduling::command_result)> done)
{
    const std::string peer = this->peer_for(command.worker.id);
    if (peer.empty()) {
        this->direct.stop(command, std::move(done));
        return;
    }
    this->send_for_result(peer, command, std::move(done));
}

void worker_relay::throttle(const scheduling::throttle_command& command)
{
    const std::string peer = this->peer_for(command.worker.id);
    if (peer.empty()) {
        this->direct.throttle(command);
        return;
    }
    this->send(peer, command, this->options.command_timeout, nullptr);
}

void worker_relay::advise(const scheduling::advice_request& request,
                          std::function<void(scheduling::advice_response)> done)
{
    this->direct.advise(request, std::move(done));
}

void worker_relay::schedule_flush()
{
    if (std::exchange(this->flush_scheduled, true)) {
        return;
    }
    if (this->batch_window.count() == 0) {
        boost::asio::post(this->context, [this, weak = std::weak_ptr<bool>(this->alive)] {
            if (!weak.expired()) {
                this->flush();
            }
        });
        return;
    }
    this->flush_timer.expires_after(this->batch_window);
    this->flush_timer.async_wait([this](const boost::system::error_code& failure) {
        if (!failure) {
            this->flush();
        }
    });
}

void worker_relay::flush()
{
    this->flush_scheduled = false;
    for (auto& [peer, batch] : std::exchange(this->outgoing, {})) {
        batch.result_delay = this->batch_window;
        const std::string body = scheduling::encode_commands(batch);
        // A start names its run, and a late one is dropped, so they may arrive twice.
        if (this->network.send(peer, make_call(orders_target, body),
                               membership::delivery::at_least_once)) {
            continue;
        }
        for (const scheduling::numbered_command& each : batch.commands) {
            this->complete(each.number, {each.number, command_outcome::not_sent, 0, {}});
        }
    }
}

void worker_relay::schedule_result_flush()
{
    if (std::exchange(this->result_flush_scheduled, true)) {
        return;
    }
    this->result_timer.expires_after(this->options.result_delay + this->requested_delay);
    this->result_timer.async_wait([this](const boost::system::error_code& failure) {
        if (!failure) {
            this->flush_results();
        }
    });
}

void worker_relay::flush_results()
{
    this->result_flush_scheduled = false;
    for (const auto& [peer, batch] : std::exchange(this->results, {})) {
        // Without a connection the owner has already completed these commands as unknown.
        this->network.send(peer, make_call(results_target, scheduling::encode_results(batch)),
                           membership::delivery::at_least_once);
    }
}

void worker_relay::complete(std::uint64_t number, numbered_result result)
{
    const auto found = this->pending.find(number);
    if (found == this->pending.end()) {
        return; // completed before, by a result, a timeout or a lost connection
    }
    const auto done = std::move(found->second.done);
    this->pending.erase(found);
    done(std::move(result));
}

/// Completes a command to which no response has come.
void worker_relay::give_up(std::uint64_t number)
{
    const auto found = this->pending.find(number);
    if (found == this->pending.end()) {
        return;
    }
    const auto now = this->clock.steady_now();
    std::erase_if(this->unanswered_polls,
                  [now](const auto& each) { return each.second.forget_at <= now; });
    if (found->second.polled) {
        this->unanswered_polls[number] = {found->second.peer, *found->second.polled,
                                          now + this->options.late_report_interval};
    }
    this->complete(number, {number, command_outcome::unknown, 0, {}});
}

void worker_relay::handle_late_result(const std::string& peer, const numbered_result& result)
{
    const auto found = this->unanswered_polls.find(result.number);
    if (found == this->unanswered_polls.end() || found->second.peer != peer) {
        return;
    }
    const scheduling::worker_instance worker = found->second.worker;
    this->unanswered_polls.erase(found);
    if (result.report && this->late_report_callback) {
        this->late_report_callback(worker, *result.report);
    }
}

void worker_relay::schedule_timeout_check()
{
    if (std::exchange(this->timeout_check_scheduled, true)) {
        return;
    }
    const auto interval =
        timeout_check_interval +
        common::milliseconds(this->pending.size() / commands_per_check_interval_ms);
    this->timeout_check_due = this->clock.steady_now() + interval;
    this->timer.expires_after(interval);
    this->timer.async_wait([this](const boost::system::error_code& failure) {
        if (failure) {
            return;
        }
        this->reading.record_check(this->timeout_check_due, this->clock.steady_now());
        this->timeout_check_scheduled = false;
        this->expire_commands();
        if (!this->pending.empty()) {
            this->schedule_timeout_check();
        }
    });
}

void worker_relay::expire_commands()
{
    const auto now = this->clock.steady_now();
    std::vector<std::uint64_t> expired;
    for (const auto& [number, command] : this->pending) {
        if (command.deadline <= this->reading.at(now) || command.latest_deadline <= now) {
            expired.push_back(number);
        }
    }
    for (const std::uint64_t number : expired) {
        const auto found = this->pending.find(number);
        if (found != this->pending.end()) {
            this->avoid_peer(found->second.peer, "no response to a command");
            this->give_up(number);
        }
    }
}

void worker_relay::avoid_peer(const std::string& peer, std::string_view cause)
{
    const auto until = this->clock.steady_now() + this->options.avoid_interval;
    if (this->avoided_until.insert_or_assign(peer, until).second) {
        this->reset_assignment();
        this->log.write(event_id::peer_avoided, {{"peer", peer}, {"cause", cause}});
    }
}

void worker_relay::handle_results(const std::string& peer, const std::string& body)
{
    auto decoded = scheduling::decode_results(body, peer);
    if (!decoded) {
        this->log.write(event_id::peer_refused, {{"error", decoded.error().to_string()}});
        return;
    }
    for (numbered_result& each : decoded.value()) {
        const std::uint64_t number = each.number;
        const auto found = this->pending.find(number);
        if (found == this->pending.end()) {
            this->handle_late_result(peer, each);
        } else if (found->second.peer == peer) {
            this->complete(number, std::move(each));
        }
    }
}

void worker_relay::handle_orders(const std::string& peer, const std::string& body)
{
    const auto decoded = scheduling::decode_commands(body, peer);
    if (!decoded) {
        this->log.write(event_id::peer_refused, {{"error", decoded.error().to_string()}});
        return;
    }
    this->requested_delay = decoded.value().result_delay;
    const common::milliseconds delay = this->observe_delay(peer, decoded.value());
    for (const scheduling::numbered_command& each : decoded.value().commands) {
        if (!this->executed[peer].add(each.number)) {
            continue; // sent again, because it was not known whether it had arrived
        }
        if (this->is_too_late(each, delay)) {
            this->queue_result(peer, {each.number, command_outcome::not_sent, 0, {}});
        } else {
            this->execute_command(peer, each, delay);
        }
    }
}

common::milliseconds worker_relay::observe_delay(const std::string& peer,
                                                 const scheduling::command_batch& batch)
{
    if (batch.decided_at.count() == 0) {
        return {};
    }
    const auto delay = this->delays[peer].observe(batch.decided_at, this->clock.steady_now());
    if (delay > this->options.max_command_delay) {
        this->log.write(event_id::peer_refused,
                        {{"error", "commands of " + peer + " arrived " +
                                       std::to_string(delay.count()) + " ms late"}});
    }
    return delay;
}

bool worker_relay::is_too_late(const scheduling::numbered_command& numbered,
                               common::milliseconds delay) const
{
    if (std::holds_alternative<scheduling::poll_command>(numbered.command)) {
        return delay > this->options.max_poll_delay;
    }
    // A stop names its run, so it does no harm later.
    return !std::holds_alternative<scheduling::stop_command>(numbered.command) &&
           delay > this->options.max_command_delay;
}

void worker_relay::execute_command(const std::string& peer,
                                   const scheduling::numbered_command& numbered,
                                   common::milliseconds delay)
{
    const std::uint64_t number = numbered.number;
    const auto on_result = [this, peer, number, weak = std::weak_ptr<bool>(this->alive)](
                               scheduling::command_result result) {
        if (!weak.expired()) {
            this->queue_result(peer, {number, result.outcome, result.clock_ms, {}});
        }
    };
    if (const auto* poll = std::get_if<scheduling::poll_command>(&numbered.command)) {
        scheduling::poll_command passed_on = *poll;
        if (delay > this->options.max_acknowledgement_delay) {
            passed_on.acknowledged = 0;
        }
        this->direct.poll(passed_on,
                          [this, peer, number, weak = std::weak_ptr<bool>(this->alive)](
                              command_outcome outcome, scheduling::worker_report report) {
                              if (weak.expired()) {
                                  return;
                              }
                              numbered_result result{number, outcome, 0, {}};
                              if (outcome == command_outcome::accepted) {
                                  result.report = std::move(report);
                              }
                              this->queue_result(peer, std::move(result));
                          });
    } else if (const auto* start = std::get_if<scheduling::start_command>(&numbered.command)) {
        this->direct.start(*start, on_result);
    } else if (const auto* stop = std::get_if<scheduling::stop_command>(&numbered.command)) {
        this->direct.stop(*stop, on_result);
    } else if (const auto* throttle =
                   std::get_if<scheduling::throttle_command>(&numbered.command)) {
        this->direct.throttle(*throttle);
    }
}

void worker_relay::queue_result(const std::string& peer, numbered_result result)
{
    this->results[peer].push_back(std::move(result));
    this->schedule_result_flush();
}

} // namespace chervilslip::daemon
