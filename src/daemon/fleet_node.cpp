#include "daemon/fleet_node.h"

#include <charconv>

#include <boost/asio/post.hpp>

#include "jobs/job_codec.h"
#include "net/http_status.h"

namespace chervilslip::daemon {

namespace {

using common::errc;
using common::event_id;
using common::make_error;

/// A node whose last word from the store is older sends callers to others.
constexpr common::milliseconds contact_limit{2000};

/// The owner answers from memory; after this time the store is asked instead.
constexpr common::milliseconds owner_limit{250};

constexpr std::string_view job_target = "/cell/job";
constexpr std::string_view cancel_target = "/cell/cancel/";
constexpr std::string_view state_target = "/cell/state/";
constexpr std::string_view waiting_target = "/cell/waiting/";

template <typename Number>
std::optional<Number> read_number(const std::string& text)
{
    Number value = 0;
    const auto [stop, failure] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (failure != std::errc{} || stop != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

std::string target_of(std::string_view prefix, const std::string& name)
{
    return std::string(prefix) + name;
}

} // namespace

fleet_node::fleet_node(node_parts with, node_identity who, std::uint64_t seed)
    : parts(with), identity(std::move(who)),
      workers(with.context, with.clock, with.log, with.network, with.workers),
      owner_host({with.context, with.clock, with.log, with.store, this->workers, with.machines,
                  with.registry, with.scheduler, with.state_time,
                  [this](const process_name& process) { return this->has_ended(process); },
                  [this](const std::vector<scheduling::worker_entry>& known) {
                      this->workers.update_workers(known);
                  },
                  with.claim, with.keeper},
                 {this->identity.name, this->identity.incarnation},
                 this->identity.peer_endpoint.to_string(), seed),
      callers_desk(with.store, *this, with.log,
                   [this] { return this->parts.path.is_unavailable(); })
{
    this->owner_host.on_owner([this](const ownership::claim_record& owner) {
        const auto address = net::parse_endpoint(owner.address);
        if (address) {
            this->parts.network.connect_to(*address);
        }
    });
}

common::result<void> fleet_node::start()
{
    const auto opened = this->parts.network.listen();
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
    this->parts.peers.on_peer_connected(peer.name);
    this->workers.on_peer_connected(peer);
}

void fleet_node::peer_lost(const membership::member& peer)
{
    this->parts.peers.on_peer_lost(peer.name);
    this->workers.on_peer_lost(peer.name);
}

bool fleet_node::has_ended(const process_name& process) const
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
        this->parts.network.connect_to(seed);
    }
}

std::string fleet_node::metrics_text()
{
    fleet_metrics::state now;
    now.ready = this->is_ready();
    now.configuration_version = this->in_force ? this->in_force->version : 0;
    now.store_contact_age = std::chrono::duration_cast<common::milliseconds>(
        this->parts.clock.steady_now() - this->last_contact);
    now.deciding = this->owner_host.deciding();
    return this->parts.metrics.text(now);
}

void fleet_node::begin_stop()
{
    this->stopping = true;
    this->owner_host.resign();
}

void fleet_node::configure(fleet_configuration newer)
{
    if (this->in_force && newer.version <= this->in_force->version) {
        return;
    }
    this->in_force = std::make_shared<const fleet_configuration>(std::move(newer));
    this->parts.log.write(event_id::configuration_in_force,
                          {{"version", this->in_force->version},
                           {"queues", this->in_force->routes.size()},
                           {"teams", this->in_force->policy.teams.size()}});
    this->owner_host.configure(this->in_force);
}

void fleet_node::see_waves(std::vector<maintenance::wave_request> waves)
{
    this->owner_host.see_waves(std::move(waves));
}

void fleet_node::note_store_contact()
{
    this->contacted = true;
    this->last_contact = this->parts.clock.steady_now();
}

bool fleet_node::is_ready() const
{
    return !this->stopping && this->in_force && this->contacted &&
           this->parts.clock.steady_now() - this->last_contact < contact_limit;
}

std::shared_ptr<const fleet_configuration> fleet_node::configuration() const
{
    return this->in_force;
}

job_frontend& fleet_node::frontend()
{
    return this->callers_desk;
}

scheduler_host& fleet_node::host()
{
    return this->owner_host;
}

void fleet_node::handle_message(const membership::member& peer, const membership::message& value,
                                const membership::answer_sender& answer)
{
    if (const auto* reply = std::get_if<membership::relay_answer>(&value)) {
        this->parts.peers.handle_response(*reply);
        return;
    }
    const auto* call = std::get_if<membership::relay_call>(&value);
    if (call == nullptr) {
        return; // heartbeats and settings belong to the other daemon
    }
    if (this->take_order_message(peer, *call)) {
        return;
    }
    if (call->target.starts_with(store_transport::relay_prefix)) {
        this->parts.path.serve(*call, answer);
        return;
    }
    answer(this->answer_peer(*call));
}

bool fleet_node::take_order_message(const membership::member& peer,
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
    return false;
}

membership::relay_answer fleet_node::answer_peer(const membership::relay_call& call)
{
    membership::relay_answer reply;
    reply.number = call.number;
    scheduling::scheduler* scheduler = this->owner_host.deciding();
    if (scheduler == nullptr) {
        reply.status = net::status_misdirected;
        return reply;
    }
    reply.status = net::status_ok;
    if (call.target == job_target) {
        const auto job = jobs::decode_job(call.body, "peer");
        reply.status = job ? net::status_ok : net::status_bad_request;
        if (job) {
            this->owner_host.take_job(job.value());
        }
    } else if (call.target.starts_with(cancel_target)) {
        this->owner_host.take_cancel(call.target.substr(cancel_target.size()));
    } else if (call.target.starts_with(state_target)) {
        const auto state = scheduler->state_of(call.target.substr(state_target.size()));
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
        boost::asio::post(this->parts.context, [done = std::move(done)] {
            done(make_error(errc::connect_failed, "call owner", "", "no owner is known"));
        });
        return;
    }
    this->parts.peers.call(owner->holder, std::move(call), owner_limit, std::move(done));
}

void fleet_node::hint_job(const jobs::job& accepted)
{
    if (this->owner_host.deciding() != nullptr) {
        this->owner_host.take_job(accepted);
        return;
    }
    membership::relay_call call;
    call.method = "POST";
    call.target = job_target;
    call.body = jobs::encode_job(accepted);
    this->call_owner(std::move(call), [](common::result<membership::relay_answer>) {
        // A lost hint costs time only: the owner follows the store as well.
    });
}

void fleet_node::hint_cancel(const std::string& id)
{
    if (this->owner_host.deciding() != nullptr) {
        this->owner_host.take_cancel(id);
        return;
    }
    membership::relay_call call;
    call.method = "POST";
    call.target = target_of(cancel_target, id);
    this->call_owner(std::move(call), [](common::result<membership::relay_answer>) {
        // A lost hint costs time only: the owner follows the store as well.
    });
}

void fleet_node::ask_state(const std::string& id,
                           store::handler<std::optional<jobs::job_state>> done)
{
    if (scheduling::scheduler* scheduler = this->owner_host.deciding()) {
        done(scheduler->state_of(id));
        return;
    }
    membership::relay_call call;
    call.method = "GET";
    call.target = target_of(state_target, id);
    this->call_owner(
        std::move(call), [done = std::move(done)](common::result<membership::relay_answer> answer) {
            if (!answer) {
                done(answer.error());
                return;
            }
            if (answer.value().status == net::status_not_found) {
                done(std::optional<jobs::job_state>{});
                return;
            }
            const auto state = read_number<int>(answer.value().body);
            if (answer.value().status != net::status_ok || !state) {
                done(make_error(errc::unavailable, "ask owner for state", "", "not the owner"));
                return;
            }
            done(std::optional(static_cast<jobs::job_state>(*state)));
        });
}

void fleet_node::ask_waiting(const std::string& queue, store::handler<std::int64_t> done)
{
    if (scheduling::scheduler* scheduler = this->owner_host.deciding()) {
        done(scheduler->pending_job_count(queue));
        return;
    }
    membership::relay_call call;
    call.method = "GET";
    call.target = target_of(waiting_target, queue);
    this->call_owner(std::move(call),
                     [done = std::move(done)](common::result<membership::relay_answer> answer) {
                         const auto waiting = answer && answer.value().status == net::status_ok
                                                  ? read_number<std::int64_t>(answer.value().body)
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
