#include "daemon/fleet_node.h"

#include <charconv>
#include <limits>

#include <boost/asio/post.hpp>

#include "daemon/notification_target.h"
#include "jobs/job_codec.h"
#include "net/http_status.h"

namespace chervilslip::daemon {

namespace {

using common::errc;
using common::event_id;
using common::make_error;

/// A node that has not heard from the store for longer than this is not ready for clients.
constexpr common::milliseconds store_contact_limit{2000};

/// Shorter than the time within which a change of the configuration has to be in force.
constexpr common::milliseconds recent_configuration_age{1500};

/// Timeout of calls to the owner, which answers from memory. Job states are read from the store
/// instead after a timeout.
constexpr common::milliseconds owner_call_timeout{250};

/// Names jobs of which a write got no response.
constexpr std::string_view unconfirmed_target = "/jobs/unconfirmed";
constexpr std::string_view job_target = "/cell/job";
constexpr std::string_view cancel_target = "/cell/cancel/";
constexpr std::string_view state_target = "/cell/state/";
constexpr std::string_view waiting_target = "/cell/waiting/";

/// Of a call to which no response is expected. Peers of earlier versions respond all the same.
constexpr std::uint64_t number_without_response = std::numeric_limits<std::uint64_t>::max();

template <typename Number>
std::optional<Number> parse_number(const std::string& text)
{
    Number value = 0;
    const auto [stop, failure] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (failure != std::errc{} || stop != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

std::string make_target(std::string_view prefix, const std::string& name)
{
    return std::string(prefix) + name;
}

} // namespace

fleet_node::fleet_node(fleet_node_dependencies injected, node_identity own_identity,
                       std::uint64_t seed)
    : dependencies(injected), identity(std::move(own_identity)),
      workers(injected.context, injected.clock, injected.log, injected.network, injected.workers),
      owner_host({injected.context, injected.clock, injected.log, injected.store, this->workers,
                  injected.machines, injected.registry, injected.scheduling_options,
                  injected.closed_job_retention,
                  [this](const process_identity& process) { return this->has_ended(process); },
                  [this](const std::vector<scheduling::worker_entry>& known) {
                      this->workers.update_workers(known);
                  },
                  [this](common::milliseconds window) { this->workers.set_batch_window(window); },
                  injected.claim, injected.controller_options},
                 {this->identity.name, this->identity.incarnation},
                 this->identity.peer_endpoint.to_string(), seed),
      unconfirmed(injected.clock.steady_now()),
      client_frontend(injected.store, *this, injected.clock, injected.log,
                      this->owner_host.admission_gate(), this->unconfirmed,
                      {[this] { return this->dependencies.transport.is_unreachable(); },
                       [this](const std::vector<std::string>& ids) {
                           this->announce_unconfirmed(ids);
                       }})
{
    this->workers.on_late_report(
        [this](const scheduling::worker_instance& worker, const scheduling::worker_report& report) {
            this->owner_host.handle_late_report(worker, report);
        });
    this->owner_host.on_owner_change([this](const ownership::claim_record& owner) {
        const auto address = net::parse_endpoint(owner.address);
        if (address) {
            this->dependencies.network.connect_to(*address);
        }
    });
}

common::result<void> fleet_node::start()
{
    const auto opened = this->dependencies.network.listen();
    if (!opened) {
        return opened.error();
    }
    this->add_seeds(this->identity.seeds);
    this->owner_host.start();
    return boost::outcome_v2::success();
}

void fleet_node::peer_connected(const membership::member& peer)
{
    this->incarnations[peer.name] = peer.incarnation;
    const auto now = this->dependencies.clock.steady_now();
    this->unconfirmed.handle_peer_connected(peer.name, now);
    if (const auto ids = this->unconfirmed.remembered(now); !ids.empty()) {
        this->dependencies.network.send(peer.name, make_announcement(ids),
                                        membership::delivery::at_least_once);
    }
    this->dependencies.peers.on_peer_connected(peer.name);
    this->workers.on_peer_connected(peer);
}

void fleet_node::peer_silent(const std::string& peer)
{
    this->unconfirmed.handle_peer_lost(peer, this->dependencies.clock.steady_now());
}

void fleet_node::peer_lost(const membership::member& peer)
{
    this->unconfirmed.handle_peer_lost(peer.name, this->dependencies.clock.steady_now());
    this->dependencies.peers.on_peer_lost(peer.name);
    this->workers.on_peer_lost(peer.name);
}

bool fleet_node::has_ended(const process_identity& process) const
{
    if (process.node == this->identity.name) {
        return process.incarnation < this->identity.incarnation;
    }
    const auto found = this->incarnations.find(process.node);
    return found != this->incarnations.end() && process.incarnation < found->second;
}

void fleet_node::add_seeds(const std::vector<net::endpoint>& seeds)
{
    for (const net::endpoint& seed : seeds) {
        this->dependencies.network.connect_to(seed);
    }
}

std::string fleet_node::metrics_text()
{
    fleet_metrics::state current;
    current.ready = this->is_ready();
    current.configuration_version =
        this->active_configuration ? this->active_configuration->version : 0;
    current.configuration_age =
        this->active_configuration ? this->configuration_age() : common::milliseconds{0};
    current.store_contact_age = std::chrono::duration_cast<common::milliseconds>(
        this->dependencies.clock.steady_now() - this->last_store_contact);
    current.active_scheduler = this->owner_host.active_scheduler();
    current.owner_lag = this->owner_host.take_lag();
    current.admission_share = this->owner_host.admission_gate().share();
    if (const auto* controller = this->owner_host.admission_controller()) {
        current.owner_signals = controller->signals();
    }
    return this->dependencies.metrics.text(current);
}

void fleet_node::begin_stop()
{
    this->stopping = true;
    this->owner_host.resign();
}

void fleet_node::configure(fleet_configuration newer)
{
    if (this->active_configuration && newer.version <= this->active_configuration->version) {
        return;
    }
    this->active_configuration = std::make_shared<const fleet_configuration>(std::move(newer));
    this->dependencies.log.write(event_id::configuration_in_force,
                                 {{"version", this->active_configuration->version},
                                  {"queues", this->active_configuration->routes.size()},
                                  {"teams", this->active_configuration->policy.teams.size()}});
    this->owner_host.configure(this->active_configuration);
}

void fleet_node::see_waves(std::vector<maintenance::wave_request> waves)
{
    this->owner_host.set_waves(std::move(waves));
}

void fleet_node::see_evacuated_zones(scheduling::evacuated_zones zones)
{
    this->owner_host.set_evacuated_zones(std::move(zones));
}

void fleet_node::confirm_operator_keys(common::steady_time as_of)
{
    this->owner_host.confirm_operator_keys(as_of);
}

void fleet_node::note_store_contact()
{
    this->store_contacted = true;
    this->last_store_contact = this->dependencies.clock.steady_now();
}

void fleet_node::confirm_configuration(common::steady_time as_of)
{
    this->configuration_confirmed_as_of = std::max(this->configuration_confirmed_as_of, as_of);
}

common::milliseconds fleet_node::configuration_age() const
{
    return std::chrono::duration_cast<common::milliseconds>(this->dependencies.clock.steady_now() -
                                                            this->configuration_confirmed_as_of);
}

bool fleet_node::is_configuration_recent() const
{
    return this->configuration_age() < recent_configuration_age;
}

bool fleet_node::is_ready() const
{
    return !this->stopping && this->active_configuration && this->store_contacted &&
           this->dependencies.clock.steady_now() - this->last_store_contact < store_contact_limit;
}

std::shared_ptr<const fleet_configuration> fleet_node::configuration() const
{
    return this->active_configuration;
}

job_frontend& fleet_node::frontend()
{
    return this->client_frontend;
}

scheduler_host& fleet_node::host()
{
    return this->owner_host;
}

void fleet_node::handle_message(const membership::member& peer, const membership::message& value,
                                const membership::response_sender& answer)
{
    if (const auto* reply = std::get_if<membership::relay_response>(&value)) {
        this->dependencies.peers.handle_response(*reply);
        return;
    }
    const auto* call = std::get_if<membership::relay_call>(&value);
    if (call == nullptr) {
        return; // heartbeats and settings are not used by fleet nodes
    }
    if (this->handle_order_message(peer, *call)) {
        return;
    }
    if (call->target.starts_with(store_transport::relay_prefix)) {
        this->dependencies.transport.serve_relayed(peer, *call, answer);
        return;
    }
    answer(this->handle_owner_call(*call));
}

membership::relay_call fleet_node::make_announcement(const std::vector<std::string>& ids)
{
    membership::relay_call call;
    call.number = number_without_response;
    call.method = "POST";
    call.target = std::string(unconfirmed_target);
    call.body = nlohmann::json(ids).dump();
    return call;
}

void fleet_node::announce_unconfirmed(const std::vector<std::string>& ids)
{
    this->dependencies.network.send_to_all(make_announcement(ids));
}

void fleet_node::handle_unconfirmed(const std::string& peer, const std::string& body)
{
    const auto ids = nlohmann::json::parse(body, nullptr, false);
    if (!ids.is_array() ||
        !std::all_of(ids.begin(), ids.end(), [](const auto& each) { return each.is_string(); })) {
        this->dependencies.log.write(event_id::peer_refused,
                                     {{"error", "job ids from " + peer + " are not a list"}});
        return;
    }
    for (const auto& id : ids) {
        this->unconfirmed.add(id.get<std::string>(), this->dependencies.clock.steady_now());
    }
}

bool fleet_node::handle_order_message(const membership::member& peer,
                                      const membership::relay_call& call)
{
    if (call.target == worker_relay::orders_target) {
        this->workers.handle_orders(peer.name, call.body);
        return true;
    }
    if (call.target == worker_relay::results_target) {
        this->workers.handle_results(peer.name, call.body);
        return true;
    }
    if (call.target == unconfirmed_target) {
        this->handle_unconfirmed(peer.name, call.body);
        return true;
    }
    return false;
}

membership::relay_response fleet_node::handle_owner_call(const membership::relay_call& call)
{
    membership::relay_response reply;
    reply.number = call.number;
    scheduling::scheduler* scheduler = this->owner_host.active_scheduler();
    if (scheduler == nullptr) {
        reply.status = net::status_misdirected;
        return reply;
    }
    reply.status = net::status_ok;
    const notification_target target = parse_target(call.target);
    if (target.path == job_target) {
        const auto job = jobs::decode_job(call.body, "peer");
        reply.status = job ? net::status_ok : net::status_bad_request;
        if (job) {
            this->owner_host.handle_job(job.value(), target.revision);
        }
    } else if (target.path.starts_with(cancel_target)) {
        this->owner_host.handle_cancel(target.path.substr(cancel_target.size()), target.revision);
    } else if (call.target.starts_with(state_target)) {
        const std::string id = call.target.substr(state_target.size());
        const auto caller = jobs::decode_scope(call.body); // none from earlier versions
        const auto state = caller ? scheduler->state_of(id, *caller) : scheduler->state_of(id);
        reply.status = state ? net::status_ok : net::status_not_found;
        if (state) {
            reply.body = std::to_string(static_cast<int>(*state));
        }
    } else if (call.target.starts_with(waiting_target)) {
        reply.body =
            std::to_string(scheduler->pending_job_count(call.target.substr(waiting_target.size())));
    } else {
        reply.status = net::status_bad_request;
    }
    return reply;
}

void fleet_node::call_owner(membership::relay_call call, peer_response_handler done)
{
    const auto& owner = this->owner_host.owner();
    if (!owner) {
        boost::asio::post(this->dependencies.context, [done = std::move(done)] {
            done(make_error(errc::connect_failed, "call owner", "", "no owner is known"));
        });
        return;
    }
    this->dependencies.peers.call(owner->holder, std::move(call), owner_call_timeout,
                                  std::move(done));
}

void fleet_node::notify_job(const jobs::job& accepted, std::int64_t revision)
{
    if (this->owner_host.active_scheduler() != nullptr) {
        this->owner_host.handle_job(accepted, revision);
        return;
    }
    membership::relay_call call;
    call.method = "POST";
    call.target = encode_target({std::string(job_target), revision});
    call.body = jobs::encode_job(accepted);
    this->call_owner(std::move(call), [](common::result<membership::relay_response>) {
        // A lost notification only adds delay: the owner also watches the store.
    });
}

void fleet_node::notify_cancel(const std::string& id, std::int64_t revision)
{
    if (this->owner_host.active_scheduler() != nullptr) {
        this->owner_host.handle_cancel(id, revision);
        return;
    }
    membership::relay_call call;
    call.method = "POST";
    call.target = encode_target({make_target(cancel_target, id), revision});
    this->call_owner(std::move(call), [](common::result<membership::relay_response>) {
        // A lost notification only adds delay: the owner also watches the store.
    });
}

void fleet_node::query_state(const std::string& id, const jobs::job_scope& caller,
                             store::handler<std::optional<jobs::job_state>> done)
{
    if (scheduling::scheduler* scheduler = this->owner_host.active_scheduler()) {
        done(scheduler->state_of(id, caller));
        return;
    }
    membership::relay_call call;
    call.method = "GET";
    call.target = make_target(state_target, id);
    call.body = jobs::encode_scope(caller);
    this->call_owner(std::move(call), [done = std::move(done)](
                                          common::result<membership::relay_response> answer) {
        if (!answer) {
            done(answer.error());
            return;
        }
        if (answer.value().status == net::status_not_found) {
            done(std::optional<jobs::job_state>{});
            return;
        }
        const auto state = parse_number<int>(answer.value().body);
        if (answer.value().status != net::status_ok || !state) {
            done(make_error(errc::unavailable, "ask owner for state", "", "not the owner"));
            return;
        }
        done(std::optional(static_cast<jobs::job_state>(*state)));
    });
}

void fleet_node::query_waiting(const std::string& queue, store::handler<std::int64_t> done)
{
    if (scheduling::scheduler* scheduler = this->owner_host.active_scheduler()) {
        done(scheduler->pending_job_count(queue));
        return;
    }
    membership::relay_call call;
    call.method = "GET";
    call.target = make_target(waiting_target, queue);
    this->call_owner(std::move(call),
                     [done = std::move(done)](common::result<membership::relay_response> answer) {
                         const auto waiting = answer && answer.value().status == net::status_ok
                                                  ? parse_number<std::int64_t>(answer.value().body)
                                                  : std::nullopt;
                         if (!waiting) {
                             done(make_error(errc::unavailable, "ask owner for waiting jobs", "",
                                             "no owner answered"));
                             return;
                         }
                         done(*waiting);
                     });
}

} // namespace chervilslip::daemon
