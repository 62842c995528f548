#include "daemon/node.h"

#include <boost/outcome/try.hpp>

#include "fleet/vm_list.h"
#include "net/http_status.h"

namespace chervilslip::daemon {

namespace {

using nlohmann::json;

constexpr common::milliseconds tick_interval{10};
constexpr common::milliseconds heartbeat_interval{500};
constexpr common::milliseconds drain_check_interval{20};
constexpr common::milliseconds final_answers_delay{300};
constexpr common::milliseconds vm_list_timeout{2000};
constexpr std::size_t max_vm_list_bytes = std::size_t{8} * 1024 * 1024;

requests::engine_options engine_options_of(const node_settings& settings)
{
    requests::engine_options options;
    options.node = settings.node;
    options.zone = settings.zone;
    options.choice = settings.choice;
    options.position = settings.position;
    return options;
}

} // namespace

node::node(boost::asio::io_context& io, const common::clock& time_source,
           node_settings loaded_settings, std::uint64_t seed)
    : context(io), clock(time_source),
      settings(std::move(loaded_settings)), self{settings.node, settings.zone,
                                                 settings.peer_listen.to_string(),
                                                 common::unix_milliseconds(time_source.wall_now())},
      log(settings.node), random(seed),
      invariants([this](common::invariant invariant, const std::string& detail) {
          this->log.write(common::event_id::invariant_violated,
                          {{"invariant", common::to_string(invariant)}, {"detail", detail}});
      }),
      options(engine_options_of(settings)),
      engine(options, teams::static_partition(settings.position), random, invariants),
      exported_metrics(this->sources()),
      store(io, settings.store, settings.store_time_limit,
            [this](store::purpose purpose) { this->exported_metrics.count_store_call(purpose); }),
      repository(store, time_source),
      watcher(store, repository, log, random, settings.store_check_interval,
              [this](const std::shared_ptr<const settings::loaded_tree>& loaded) {
                  // Shares ownership of the loaded tree instead of copying the typed settings.
                  this->apply(requests::settings_accepted{
                      std::shared_ptr<const settings::snapshot>(loaded, &loaded->checked.typed)});
              }),
      workers(
          io, settings.node, self.incarnation,
          [this](const requests::worker_replied& reply) { this->apply(reply); },
          [this](const requests::claim_replied& reply) { this->apply(reply); },
          [this](const requests::usage_received& usage) { this->apply(usage); }),
      platform_client(io, 1, max_vm_list_bytes),
      caller_handler(settings.node, settings.longest_wait, this->request_hooks()),
      peer_nodes(
          io, time_source, self, settings.peer_secret, watcher,
          [this](const net::http_request& request, std::shared_ptr<net::http_exchange> exchange) {
              this->caller_handler.handle(request, std::move(exchange));
          },
          this->peer_hooks()),
      registered_nodes(store, time_source, log, random, self,
                       [this](const membership::member& each) {
                           if (const auto address = net::parse_endpoint(each.address)) {
                               this->peer_nodes.connect_to(*address);
                           }
                       }),
      operator_handler(settings.operator_token, watcher, repository, log, this->operator_hooks()),
      caller_server(
          io, settings.http,
          [this](const net::http_request& request, std::shared_ptr<net::http_exchange> exchange) {
              this->caller_handler.handle(request, std::move(exchange));
          },
          [this](net::refusal_reason reason, const common::error& cause) {
              this->record_rejection(reason, cause);
          }),
      operator_server(
          io, settings.http,
          [this](const net::http_request& request, std::shared_ptr<net::http_exchange> exchange) {
              this->operator_handler.handle(request, std::move(exchange));
          },
          [this](net::refusal_reason reason, const common::error& cause) {
              this->record_rejection(reason, cause);
          })
{
}

metrics_sources node::sources()
{
    return {[this]() -> const requests::node_engine& { return this->engine; },
            [this]() -> const common::invariant_monitor& { return this->invariants; },
            [this] {
                const auto in_force = this->watcher.in_force();
                return in_force ? in_force->source.number : std::int64_t{0};
            },
            [this] { return this->is_ready(); },
            [this] {
                return this->caller_server.open_connections();
            }};
}

request_api_hooks node::request_hooks()
{
    request_api_hooks hooks;
    hooks.apply = [this](const requests::event& event) {
        this->apply(event);
    };
    hooks.find = [this](const std::string& id) {
        return this->engine.find(id);
    };
    hooks.in_force = [this] {
        return this->engine.in_force();
    };
    hooks.is_ready = [this] {
        return this->is_ready();
    };
    hooks.after = [this](common::milliseconds delay, std::function<void()> action) {
        this->after(delay, std::move(action));
    };
    hooks.forward = [this](const std::string& to, const net::http_request& request,
                           std::shared_ptr<net::http_exchange> exchange) {
        return this->peer_nodes.forward(to, request, std::move(exchange));
    };
    hooks.home_of = [this](const std::string& task) {
        return this->peer_nodes.home_of(task);
    };
    hooks.must_claim = [this](const std::string& task) {
        return this->peer_nodes.must_claim(task);
    };
    hooks.look_up = [this](const std::string& task, lookup_handler handler) {
        look_up_task(this->workers, this->engine.upstreams().known_upstreams(), task,
                     std::move(handler));
    };
    return hooks;
}

peer_manager_hooks node::peer_hooks()
{
    return {[this](const requests::event& event) { this->apply(event); },
            [this] { return this->engine.running(); },
            [this](const common::error& cause) {
                this->log.write(common::event_id::peer_refused, {{"error", cause.to_string()}});
            }};
}

operator_api_hooks node::operator_hooks()
{
    return {[this] { return this->status(); },
            [this] {
                return this->exported_metrics.text();
            }};
}

common::result<void> node::start()
{
    this->log.write(common::event_id::node_started,
                    {{"zone", this->settings.zone},
                     {"listen", this->settings.listen.to_string()},
                     {"operator_listen", this->settings.operator_listen.to_string()}});
    BOOST_OUTCOME_TRY(this->caller_server.listen(this->settings.listen));
    BOOST_OUTCOME_TRY(this->operator_server.listen(this->settings.operator_listen));
    BOOST_OUTCOME_TRY(this->peer_nodes.listen());
    for (const net::endpoint& each : this->settings.peers) {
        this->peer_nodes.connect_to(each);
    }
    this->watcher.start();
    this->registered_nodes.start();
    this->repeat(heartbeat_interval, [this] { this->peer_nodes.send_heartbeats(); });
    this->poll_vm_list();
    this->repeat(this->settings.vm_list_poll_interval, [this] { this->poll_vm_list(); });
    this->repeat(this->settings.usage_poll_interval, [this] { this->poll_usage(); });
    this->repeat(tick_interval, [this] {
        this->peer_nodes.tick();
        this->apply(requests::tick{});
    });
    return boost::outcome_v2::success();
}

bool node::is_ready() const
{
    return !this->stopping && this->has_vm_list && this->engine.in_force() != nullptr &&
           this->engine.has_recovered();
}

void node::apply(const requests::event& event)
{
    for (const requests::action& each : this->engine.on_event(event, this->clock.steady_now())) {
        this->execute(each);
    }
    if (!this->was_ready && this->is_ready()) {
        this->was_ready = true;
        this->log.write(common::event_id::node_ready, json::object());
    }
}

void node::execute(const requests::action& action)
{
    std::visit([this](const auto& each) { this->execute(each); }, action);
}

void node::execute(const requests::start_task& action)
{
    const requests::record* record = this->engine.find(action.request);
    this->workers.start(action, record != nullptr && record->repeatable, this->options.task_lease);
}

void node::execute(const requests::query_task& action)
{
    this->workers.query(action, this->options.task_lease);
}

void node::execute(const requests::stop_task& action)
{
    this->workers.stop(action);
}

void node::execute(const requests::claim_task& action)
{
    this->workers.claim(action, this->options.claim_retention);
}

void node::execute(const requests::adopt_task& action)
{
    this->workers.adopt(action, this->options.task_lease);
}

void node::execute(const requests::send_response& action)
{
    this->caller_handler.deliver(action.id, action.content);
}

void node::execute(const requests::operator_event& action)
{
    using kind = requests::operator_event::kind;
    const json fields = {{"subject", action.subject}, {"detail", action.detail}};
    switch (action.type) {
    case kind::upstream_ejected:
        this->log.write(common::event_id::upstream_ejected, fields);
        break;
    case kind::upstream_restored:
        this->log.write(common::event_id::upstream_restored, fields);
        break;
    case kind::answer_dropped:
        this->log.write(common::event_id::answer_dropped, fields);
        break;
    case kind::request_unknown:
        this->log.write(common::event_id::request_unknown, fields);
        break;
    }
}

void node::after(common::milliseconds delay, std::function<void()> action)
{
    this->store.after(delay, [this, action = std::move(action)] {
        if (!this->closed) {
            action();
        }
    });
}

void node::repeat(common::milliseconds period, std::function<void()> action)
{
    this->after(period, [this, period, action = std::move(action)]() mutable {
        action();
        this->repeat(period, std::move(action));
    });
}

void node::poll_vm_list()
{
    net::http_request request;
    request.method = "GET";
    request.target = "/v1/vms";
    if (!this->vm_list_etag.empty()) {
        request.fields.push_back({"If-None-Match", this->vm_list_etag});
    }
    this->platform_client.call(this->settings.vm_list, std::move(request), vm_list_timeout,
                               [this](const common::result<net::http_response>& answer) {
                                   if (!this->closed) {
                                       this->handle_vm_list(answer);
                                   }
                               });
}

void node::handle_vm_list(const common::result<net::http_response>& answer)
{
    if (answer && answer.value().status == net::status_not_modified) {
        return;
    }
    auto vms = answer
                   ? fleet::parse_vm_list(answer.value().body, this->settings.vm_list.to_string())
                   : common::result<std::vector<routing::upstream_info>>(answer.error());
    if (!vms) {
        this->log.write(common::event_id::vm_list_failed, {{"error", vms.error().to_string()}});
        return;
    }
    this->vm_list_etag = answer.value().field("ETag");
    const bool first_list = !std::exchange(this->has_vm_list, true);
    this->log_leaving_vms(vms.value());
    this->apply(requests::vm_list_received{std::move(vms.value())});
    if (first_list) {
        this->poll_usage();
    }
}

void node::log_leaving_vms(const std::vector<routing::upstream_info>& vms)
{
    for (const routing::upstream_info& each : vms) {
        if (!each.leaving) {
            this->leaving_vms.erase(each.vm);
        } else if (this->leaving_vms.insert(each.vm).second) {
            this->log.write(common::event_id::vm_leaving, {{"vm", each.vm}});
        }
    }
}

void node::poll_usage()
{
    for (const routing::upstream_info& each : this->engine.upstreams().known_upstreams()) {
        this->workers.poll_usage(each.vm, each.address);
    }
}

void node::record_rejection(net::refusal_reason reason, const common::error& cause)
{
    this->exported_metrics.count_rejected();
    const bool at_capacity = reason == net::refusal_reason::connection_limit;
    this->log.write(
        at_capacity ? common::event_id::connection_refused : common::event_id::bad_request,
        {{"error", cause.to_string()}, {"reason", std::string(net::to_string(reason))}});
}

nlohmann::json node::status() const
{
    json teams = json::object();
    for (const auto& [team, load] : this->engine.loads()) {
        teams[team] = {{"waiting", load.waiting},
                       {"running", load.running},
                       {"allowed_here", load.allowed},
                       {"weighted_share", load.weighted_share}};
    }
    json upstreams = json::object();
    const auto now = this->clock.steady_now();
    for (const routing::upstream_info& each : this->engine.upstreams().known_upstreams()) {
        const auto health = this->engine.upstreams().health_of(each.vm, now);
        if (health != routing::health::healthy || each.leaving) {
            upstreams[each.vm] = each.leaving                         ? "leaving"
                                 : health == routing::health::ejected ? "ejected"
                                                                      : "probing";
        }
    }
    json live = json::array();
    for (const membership::member& each : this->peer_nodes.live_peers()) {
        live.push_back(each.name);
    }
    const auto in_force = this->watcher.in_force();
    return {{"peers", live},
            {"peer_bytes_sent", this->peer_nodes.bytes_sent()},
            {"node", this->settings.node},
            {"zone", this->settings.zone},
            {"ready", this->is_ready()},
            {"stopping", this->stopping},
            {"settings_number", in_force ? in_force->source.number : 0},
            {"settings_change", in_force ? in_force->source.change : ""},
            {"open_requests", this->engine.open_requests()},
            {"teams", teams},
            {"upstreams", this->engine.upstreams().known_upstreams().size()},
            {"upstreams_not_taking_work", upstreams},
            {"invariant_violations", this->invariants.violation_count()}};
}

void node::stop(std::function<void()> on_stopped)
{
    if (std::exchange(this->stopping, true)) {
        return;
    }
    this->log.write(common::event_id::node_stopping,
                    {{"open_requests", this->engine.open_requests()}});
    this->peer_nodes.announce_stop();
    const auto deadline =
        this->clock.steady_now() + this->settings.stop_notice + this->settings.stop_limit;
    this->after(this->settings.stop_notice, [this, deadline, on_stopped = std::move(on_stopped)] {
        this->caller_server.stop_accepting();
        this->check_drained(deadline, on_stopped);
    });
}

void node::check_drained(common::steady_time deadline, const std::function<void()>& on_stopped)
{
    const bool drained = this->engine.open_requests() == 0 && this->caller_handler.waiters() == 0 &&
                         this->peer_nodes.pending_calls() == 0;
    if (drained || this->clock.steady_now() >= deadline) {
        // Queued requests are refused as not run; running tasks continue under their leases.
        this->apply(requests::shutdown_requested{});
        this->caller_handler.release_waiters();
        this->caller_server.close_idle();
        this->after(final_answers_delay, [this, on_stopped] { this->finish_stop(on_stopped); });
        return;
    }
    this->after(drain_check_interval,
                [this, deadline, on_stopped] { this->check_drained(deadline, on_stopped); });
}

void node::finish_stop(const std::function<void()>& on_stopped)
{
    this->watcher.stop();
    this->registered_nodes.stop();
    this->peer_nodes.close();
    this->operator_server.stop_accepting();
    this->operator_server.close_all();
    this->caller_server.close_all();
    this->log.write(common::event_id::node_stopped,
                    {{"open_requests", this->engine.open_requests()}});
    this->closed = true;
    on_stopped();
}

} // namespace chervilslip::daemon
