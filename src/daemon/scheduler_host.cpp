#include "daemon/scheduler_host.h"

#include <boost/asio/post.hpp>

#include "daemon/store_keys.h"

namespace chervilslip::daemon {

namespace {

using common::event_id;

/// Tick periods while this node owns the fleet, and otherwise.
constexpr common::milliseconds owner_tick_interval{15};
constexpr common::milliseconds idle_tick_interval{40};

/// A timer that is later than this shows that the owner lacks processor time.
constexpr common::milliseconds notable_lag{150};
constexpr common::milliseconds lag_report_interval{1000};

/// Interval at which closed jobs are purged, one page at a time.
constexpr common::milliseconds purge_interval{5000};

/// How long a resigning owner waits for the responses to its pending VM orders.
constexpr common::milliseconds close_timeout{400};

/// Duration of one watch of the claim's key. A dead connection is detected after this time.
constexpr common::milliseconds claim_watch_time{1000};

nlohmann::json encode_claim(const std::string& holder, const std::string& address)
{
    return nlohmann::json{{"holder", holder}, {"address", address}};
}

std::optional<ownership::claim_record> decode_claim(const store::item& from)
{
    const auto value = nlohmann::json::parse(from.value, nullptr, false);
    if (!value.is_object() || !value.contains("holder") || !value["holder"].is_string() ||
        !value.contains("address") || !value["address"].is_string()) {
        return std::nullopt;
    }
    return ownership::claim_record{value["holder"].get<std::string>(),
                                   value["address"].get<std::string>(), from.created_revision};
}

} // namespace

scheduler_host::scheduler_host(scheduler_host_dependencies injected, process_identity own_identity,
                               std::string own_address, std::uint64_t random_seed)
    : dependencies(std::move(injected)), self(std::move(own_identity)),
      address(std::move(own_address)),
      ownership_claim(this->self.node, this->dependencies.claim, random_seed),
      timer(this->dependencies.context)
{
}

scheduler_host::~scheduler_host()
{
    this->stopped = true;
    this->discard_scheduler();
}

common::steady_time scheduler_host::now() const
{
    return this->dependencies.clock.steady_now();
}

std::int64_t scheduler_host::unix_ms() const
{
    return common::unix_milliseconds(this->dependencies.clock.wall_now());
}

void scheduler_host::start()
{
    this->follow_claim();
    this->schedule_tick();
}

void scheduler_host::on_owner_change(std::function<void(const ownership::claim_record&)> callback)
{
    this->owner_callback = std::move(callback);
}

const std::optional<ownership::claim_record>& scheduler_host::owner() const
{
    return this->ownership_claim.last_seen_claim();
}

scheduling::scheduler* scheduler_host::active_scheduler()
{
    return this->scheduler.get();
}

void scheduler_host::configure(std::shared_ptr<const fleet_configuration> newer)
{
    const auto earlier = std::exchange(this->configuration, std::move(newer));
    if (this->scheduler) {
        this->scheduler->configure(this->configuration->policy);
        if (earlier->policy.pools != this->configuration->policy.pools) {
            this->scheduler->update_workers(this->worker_entries, this->now());
        }
        this->controller->configure(this->configuration);
        this->execute_actions();
    }
    this->finish_takeover_if_ready();
}

void scheduler_host::set_waves(std::vector<maintenance::wave_request> requested)
{
    this->waves = std::move(requested);
    if (this->controller) {
        this->controller->set_waves(this->waves);
    }
}

void scheduler_host::set_evacuated_zones(scheduling::evacuated_zones zones)
{
    this->zones_to_evacuate = std::move(zones);
    if (this->scheduler) {
        this->controller->set_evacuated_zones(this->zones_to_evacuate);
        this->scheduler->set_evacuated_zones(this->zones_to_evacuate, this->now());
        this->execute_actions();
    }
}

void scheduler_host::confirm_operator_keys(common::steady_time as_of)
{
    this->operator_keys_as_of = std::max(this->operator_keys_as_of.value_or(as_of), as_of);
    if (this->scheduler) {
        this->scheduler->confirm_operator_keys(as_of);
    }
}

void scheduler_host::resign()
{
    this->resigning = true;
    if (!this->controller) {
        this->release_claim();
        return;
    }
    // Posted, because the controller must not be destroyed from within one of its own handlers.
    const auto release = [this] {
        boost::asio::post(this->dependencies.context, [this] { this->release_claim(); });
    };
    this->controller->close(release);
    auto limit =
        std::make_shared<boost::asio::steady_timer>(this->dependencies.context, close_timeout);
    limit->async_wait(
        this->bind_to_claim([limit, release](const boost::system::error_code&) { release(); }));
}

void scheduler_host::release_claim()
{
    this->ownership_claim.resign();
    this->discard_scheduler();
    this->run_claim_actions();
}

void scheduler_host::abandon(const std::string& cause)
{
    if (!this->claim_lifetime) {
        return;
    }
    this->dependencies.log.write(event_id::claim_lost, {{"token", this->token}, {"cause", cause}});
    this->ownership_claim.step_down(this->now());
    this->discard_scheduler();
    this->run_claim_actions();
}

common::milliseconds scheduler_host::take_lag()
{
    return std::exchange(this->max_lag, {});
}

void scheduler_host::observe_lag(common::steady_time due)
{
    const auto lag = std::chrono::duration_cast<common::milliseconds>(this->now() - due);
    this->max_lag = std::max(this->max_lag, lag);
    const auto earlier_window = this->gathering.length();
    this->gathering.observe(lag);
    if (this->gathering.length() != earlier_window) {
        this->scheduler->set_batch_window(this->gathering.length());
        this->dependencies.on_batch_window_changed(this->gathering.length());
    }
    if (lag < notable_lag || this->now() < this->next_lag_report) {
        return;
    }
    this->next_lag_report = this->now() + lag_report_interval;
    const handled_events events = std::exchange(this->handled, {});
    this->dependencies.log.write(event_id::owner_behind, {{"lag_ms", lag.count()},
                                                          {"polls", events.polls},
                                                          {"starts", events.starts},
                                                          {"jobs", events.jobs},
                                                          {"commits", events.commits},
                                                          {"token", this->token}});
}

void scheduler_host::schedule_tick()
{
    const auto interval = this->scheduler ? owner_tick_interval : idle_tick_interval;
    this->tick_due = this->now() + interval;
    this->timer.expires_after(interval);
    this->timer.async_wait([this](const boost::system::error_code& failure) {
        if (!failure && !this->stopped) {
            const common::steady_time due = this->tick_due;
            this->schedule_tick(); // first, so that an error in a tick does not end the ticks
            if (this->scheduler) {
                this->observe_lag(due);
                this->control_admission(due);
            }
            this->tick();
        }
    });
}

void scheduler_host::tick()
{
    this->ownership_claim.tick(this->now());
    this->run_claim_actions();
    const auto held = this->ownership_claim.token();
    if (!held && this->claim_lifetime) {
        this->dependencies.log.write(event_id::claim_lost, {{"token", this->token}});
        this->discard_scheduler();
    }
    if (held && !this->resigning && (!this->claim_lifetime || *held != this->token)) {
        this->begin_takeover(*held);
    }
    if (this->scheduler) {
        this->scheduler->extend_authority(this->ownership_claim.authority_until());
        this->controller->tick(this->now(), this->ownership_claim.authority_until());
        this->scheduler->tick(this->now(), this->unix_ms());
        this->execute_actions();
        if (this->now() >= this->next_purge) {
            this->next_purge = this->now() + purge_interval;
            this->purge_closed_jobs();
        }
    }
}

void scheduler_host::react()
{
    // Not only in ticks: these are late when the owner is, and the claim would expire.
    this->ownership_claim.tick(this->now());
    this->run_claim_actions();
    if (this->ownership_claim.token() == this->token) {
        this->scheduler->extend_authority(this->ownership_claim.authority_until());
    }
    this->scheduler->react(this->now(), this->unix_ms());
    this->execute_actions();
}

void scheduler_host::follow_claim()
{
    store::follower_callbacks hooks;
    hooks.on_change = [this](const store::item_map& items, std::int64_t revision) {
        this->handle_claim(items, revision);
    };
    this->claim_follower = std::make_unique<store::prefix_follower>(
        this->dependencies.context, this->dependencies.store, std::string(store_keys::claim),
        store::follower_options{claim_watch_time, read_retry_delay, {}}, std::move(hooks));
    this->claim_follower->start();
}

void scheduler_host::handle_claim(const store::item_map& items, std::int64_t revision)
{
    this->observe_admission(items, revision);
    const auto found = items.find(std::string(store_keys::claim));
    std::optional<ownership::claim_record> record;
    if (found != items.end()) {
        record = decode_claim(found->second);
    }
    if (record) {
        this->revoke_stale_claim(found->second, *record);
    }
    const auto before = this->ownership_claim.last_seen_claim();
    this->ownership_claim.observe_claim(record, this->now());
    const auto& after = this->ownership_claim.last_seen_claim();
    if (after && after != before) {
        this->dependencies.log.write(event_id::claim_seen,
                                     {{"holder", after->holder}, {"token", after->token}});
        if (this->owner_callback) {
            this->owner_callback(*after);
        }
    }
}

void scheduler_host::revoke_stale_claim(const store::item& claim,
                                        const ownership::claim_record& record)
{
    // A claim of this node under another lease belongs to an earlier process of this node, which
    // has terminated.
    if (record.holder == this->self.node && claim.lease != this->ownership_claim.own_lease() &&
        record.token != this->ownership_claim.token().value_or(0)) {
        this->dependencies.store.end_lease(claim.lease, [](common::result<bool>) {
            // A lease that could not be revoked expires by itself.
        });
    }
}

void scheduler_host::run_claim_actions()
{
    for (const ownership::claim_action& each : this->ownership_claim.take_actions()) {
        if (const auto* open = std::get_if<ownership::grant_lease>(&each)) {
            this->open_lease(open->time_to_live);
        } else if (const auto* put = std::get_if<ownership::create_claim>(&each)) {
            this->put_claim(put->lease);
        } else if (const auto* keep = std::get_if<ownership::renew_lease>(&each)) {
            this->renew(keep->lease);
        } else if (const auto* drop = std::get_if<ownership::revoke_lease>(&each)) {
            this->dependencies.store.end_lease(drop->lease, [](common::result<bool>) {
                // A lease that could not be revoked expires by itself.
            });
        }
    }
}

void scheduler_host::open_lease(common::milliseconds time_to_live)
{
    const auto sent_at = this->now();
    this->dependencies.store.grant(time_to_live, [this, sent_at](
                                                     common::result<store::lease_grant> response) {
        const store::lease_grant lease = response ? response.value() : store::lease_grant{};
        this->ownership_claim.on_lease_response(lease.id, lease.time_to_live, sent_at, this->now());
        this->tick();
    });
}

void scheduler_host::put_claim(std::uint64_t lease)
{
    store::transaction changes;
    const std::string key(store_keys::claim);
    changes.expected.push_back({key, 0});
    changes.set.push_back({key, encode_claim(this->self.node, this->address).dump(), lease});
    this->dependencies.store.commit(changes, [this, lease](
                                                 common::result<store::commit_outcome> response) {
        using ownership::call_outcome;
        if (!response) {
            const bool gone = response.error().code == common::errc::not_found;
            this->ownership_claim.on_claim_response(
                gone ? call_outcome::refused : call_outcome::unknown, std::nullopt, 0, this->now());
        } else if (response.value().committed) {
            this->ownership_claim.on_claim_response(
                call_outcome::done,
                ownership::claim_record{this->self.node, this->address, response.value().revision},
                lease, this->now());
        } else {
            std::optional<ownership::claim_record> record;
            std::uint64_t record_lease = 0;
            for (const store::item& each : response.value().current) {
                record = decode_claim(each);
                record_lease = each.lease;
            }
            this->ownership_claim.on_claim_response(call_outcome::done, record, record_lease,
                                                    this->now());
        }
        this->tick();
    });
}

void scheduler_host::renew(std::uint64_t lease)
{
    const auto sent_at = this->now();
    this->dependencies.store.renew(
        lease, [this, sent_at](common::result<common::milliseconds> response) {
            using ownership::call_outcome;
            call_outcome renewal_outcome = call_outcome::done;
            if (!response) {
                const bool gone = response.error().code == common::errc::not_found;
                renewal_outcome = gone ? call_outcome::refused : call_outcome::unknown;
            }
            this->ownership_claim.on_renewal_response(renewal_outcome, sent_at, this->now());
        });
}

void scheduler_host::discard_scheduler()
{
    this->claim_lifetime.reset();
    this->gathering = {};
    this->dependencies.on_batch_window_changed(this->gathering.length());
    this->scheduler.reset();
    this->controller.reset();
    this->admission_control.reset();
    this->publishing_share = false;
    this->takeover.reset();
    this->pending_writes.clear();
    this->input_follower.reset();
    this->worker_entries_read = false;
    this->dependencies.registry.unsubscribe();
}

void scheduler_host::handle_job(const jobs::job& accepted, std::int64_t revision)
{
    if (this->scheduler &&
        this->scheduler->handle_job_notification(accepted, revision, this->now())) {
        ++this->handled.jobs;
        this->note_job(accepted);
        this->react();
    }
}

void scheduler_host::handle_late_report(const scheduling::worker_instance& worker,
                                        const scheduling::worker_report& report)
{
    if (this->scheduler) {
        this->scheduler->handle_late_report(worker, report, this->now());
        this->react();
    }
}

void scheduler_host::handle_cancel(const std::string& id, std::int64_t revision)
{
    if (this->scheduler && this->scheduler->handle_cancel_notification(id, revision, this->now())) {
        this->react();
    }
}

} // namespace chervilslip::daemon
