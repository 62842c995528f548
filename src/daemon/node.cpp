#include "daemon/node.h"

#include <boost/outcome/try.hpp>

#include "fleet/vm_list.h"
#include "net/http_status.h"

namespace chervilslip::daemon {

namespace {

using nlohmann::json;

constexpr common::milliseconds tick_time{10};
constexpr common::milliseconds beat_time{500};
constexpr common::milliseconds drain_check_time{20};
constexpr common::milliseconds last_answers_time{300};
constexpr common::milliseconds vm_list_time_limit{2000};
constexpr std::size_t max_vm_list_bytes = std::size_t{8} * 1024 * 1024;

requests::engine_options options_of(const node_settings& settings)
{
    requests::engine_options options;
    options.node = settings.node;
    options.zone = settings.zone;
    options.choice = settings.choice;
    options.position = settings.position;
    return options;
}

} // namespace

node::node(boost::asio::io_context& io, const common::clock& time_source, node_settings wanted,
           std::uint64_t seed)
    : context(io), clock(time_source),
      settings(std::move(wanted)), self{settings.node, settings.zone,
                                        settings.peer_listen.to_string(),
                                        common::unix_milliseconds(time_source.wall_now())},
      log(settings.node), random(seed),
      invariants([this](common::invariant which, const std::string& detail) {
          this->log.write(common::event_id::invariant_violated,
                          {{"invariant", common::to_string(which)}, {"detail", detail}});
      }),
      options(options_of(settings)),
      engine(options, teams::static_partition(settings.position), random, invariants),
      counts(this->sources()),
      store(io, settings.store, settings.store_time_limit,
            [this](store::purpose why) { this->counts.count_store_call(why); }),
      repository(store, time_source),
      watcher(store, repository, log, random, settings.store_check,
              [this](const std::shared_ptr<const settings::loaded_tree>& loaded) {
                  // Shares the loaded tree's life, without a copy of the typed settings.
                  this->apply(requests::settings_accepted{
                      std::shared_ptr<const settings::snapshot>(loaded, &loaded->checked.typed)});
              }),
      workers(
          io, settings.node, self.incarnation,
          [this](const requests::worker_replied& reply) { this->apply(reply); },
          [this](const requests::claim_replied& reply) { this->apply(reply); },
          [this](const requests::usage_received& usage) { this->apply(usage); }),
      platform(io, 1, max_vm_list_bytes),
      callers(settings.node, settings.longest_wait, this->request_hooks()),
      others(
          io, time_source, self, settings.peer_secret, watcher,
          [this](const net::http_request& request, std::shared_ptr<net::http_exchange> exchange) {
              this->callers.handle(request, std::move(exchange));
          },
          this->peer_hooks()),
      nodes(store, time_source, log, random, self,
            [this](const membership::member& each) {
                if (const auto address = net::parse_endpoint(each.address)) {
                    this->others.connect_to(*address);
                }
            }),
      operators(settings.operator_token, watcher, repository, log, this->operator_hooks()),
      caller_server(
          io, settings.http,
          [this](const net::http_request& request, std::shared_ptr<net::http_exchange> exchange) {
              this->callers.handle(request, std::move(exchange));
          },
          [this](const common::error& cause) { this->reject(cause); }),
      operator_server(
          io, settings.http,
          [this](const net::http_request& request, std::shared_ptr<net::http_exchange> exchange) {
              this->operators.handle(request, std::move(exchange));
          },
          [this](const common::error& cause) { this->reject(cause); })
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
    hooks.apply = [this](const requests::event& what) {
        this->apply(what);
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
    hooks.pass_on = [this](const std::string& to, const net::http_request& request,
                           std::shared_ptr<net::http_exchange> exchange) {
        return this->others.forward(to, request, std::move(exchange));
    };
    hooks.home_of = [this](const std::string& task) {
        return this->others.home_of(task);
    };
    hooks.must_claim = [this](const std::string& task) {
        return this->others.must_claim(task);
    };
    hooks.look_up = [this](const std::string& task, lookup_handler handler) {
        look_up_task(this->workers, this->engine.upstreams().known_upstreams(), task,
                     std::move(handler));
    };
    return hooks;
}

peer_manager_hooks node::peer_hooks()
{
    return {[this](const requests::event& what) { this->apply(what); },
            [this] { return this->engine.running(); },
            [this](const common::error& cause) {
                this->log.write(common::event_id::peer_refused, {{"error", cause.to_string()}});
            }};
}

operator_api_hooks node::operator_hooks()
{
    return {[this] { return this->status(); },
            [this] {
                return this->counts.text();
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
    BOOST_OUTCOME_TRY(this->others.listen());
    for (const net::endpoint& each : this->settings.peers) {
        this->others.connect_to(each);
    }
    this->watcher.start();
    this->nodes.start();
    this->repeat(beat_time, [this] { this->others.send_heartbeats(); });
    this->poll_vm_list();
    this->repeat(this->settings.vm_list_poll, [this] { this->poll_vm_list(); });
    this->repeat(this->settings.usage_poll, [this] { this->poll_usage(); });
    this->repeat(tick_time, [this] {
        this->others.tick();
        this->apply(requests::tick{});
    });
    return boost::outcome_v2::success();
}

bool node::is_ready() const
{
    return !this->stopping && this->vm_list_seen && this->engine.in_force() != nullptr &&
           this->engine.has_recovered();
}

void node::apply(const requests::event& what)
{
    for (const requests::action& each : this->engine.on_event(what, this->clock.steady_now())) {
        this->execute(each);
    }
    if (!this->was_ready && this->is_ready()) {
        this->was_ready = true;
        this->log.write(common::event_id::node_ready, json::object());
    }
}

void node::execute(const requests::action& what)
{
    std::visit([this](const auto& each) { this->execute(each); }, what);
}

void node::execute(const requests::start_task& wanted)
{
    const requests::record* each = this->engine.find(wanted.request);
    this->workers.start(wanted, each != nullptr && each->repeatable, this->options.task_lease);
}

void node::execute(const requests::query_task& wanted)
{
    this->workers.query(wanted, this->options.task_lease);
}

void node::execute(const requests::stop_task& wanted)
{
    this->workers.stop(wanted);
}

void node::execute(const requests::claim_task& wanted)
{
    this->workers.claim(wanted, this->options.claim_retention);
}

void node::execute(const requests::adopt_task& wanted)
{
    this->workers.adopt(wanted, this->options.task_lease);
}

void node::execute(const requests::send_response& wanted)
{
    this->callers.deliver(wanted.id, wanted.content);
}

void node::execute(const requests::operator_event& wanted)
{
    using kind = requests::operator_event::kind;
    const json fields = {{"subject", wanted.subject}, {"detail", wanted.detail}};
    switch (wanted.type) {
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
    if (!this->vm_list_tag.empty()) {
        request.fields.push_back({"If-None-Match", this->vm_list_tag});
    }
    this->platform.call(this->settings.vm_list, std::move(request), vm_list_time_limit,
                        [this](const common::result<net::http_response>& answer) {
                            if (!this->closed) {
                                this->take_vm_list(answer);
                            }
                        });
}

void node::take_vm_list(const common::result<net::http_response>& answer)
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
    this->vm_list_tag = answer.value().field("ETag");
    const bool first = !std::exchange(this->vm_list_seen, true);
    this->note_leaving(vms.value());
    this->apply(requests::vm_list_received{std::move(vms.value())});
    if (first) {
        this->poll_usage();
    }
}

void node::note_leaving(const std::vector<routing::upstream_info>& vms)
{
    for (const routing::upstream_info& each : vms) {
        if (!each.leaving) {
            this->leaving.erase(each.vm);
        } else if (this->leaving.insert(each.vm).second) {
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

void node::reject(const common::error& cause)
{
    this->counts.count_rejected();
    const bool no_room = cause.code == common::errc::unavailable;
    this->log.write(no_room ? common::event_id::connection_refused : common::event_id::bad_request,
                    {{"error", cause.to_string()}});
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
    for (const membership::member& each : this->others.live_peers()) {
        live.push_back(each.name);
    }
    const auto in_force = this->watcher.in_force();
    return {{"peers", live},
            {"peer_bytes_sent", this->others.bytes_sent()},
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
    this->others.announce_stop();
    const auto until =
        this->clock.steady_now() + this->settings.stop_notice + this->settings.stop_limit;
    this->after(this->settings.stop_notice, [this, until, on_stopped = std::move(on_stopped)] {
        this->caller_server.stop_accepting();
        this->check_drained(until, on_stopped);
    });
}

void node::check_drained(common::steady_time until, const std::function<void()>& on_stopped)
{
    const bool nothing_held = this->engine.open_requests() == 0 && this->callers.waiters() == 0 &&
                              this->others.pending_calls() == 0;
    if (nothing_held || this->clock.steady_now() >= until) {
        // Queued requests are refused as not run; running tasks go on under their leases.
        this->apply(requests::shutdown_requested{});
        this->callers.release_waiters();
        this->caller_server.close_idle();
        this->after(last_answers_time, [this, on_stopped] { this->finish_stop(on_stopped); });
        return;
    }
    this->after(drain_check_time,
                [this, until, on_stopped] { this->check_drained(until, on_stopped); });
}

void node::finish_stop(const std::function<void()>& on_stopped)
{
    this->watcher.stop();
    this->nodes.stop();
    this->others.close();
    this->operator_server.stop_accepting();
    this->operator_server.close_all();
    this->caller_server.close_all();
    this->log.write(common::event_id::node_stopped,
                    {{"open_requests", this->engine.open_requests()}});
    this->closed = true;
    on_stopped();
}

} // namespace chervilslip::daemon
