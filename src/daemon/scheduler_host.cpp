#include "daemon/scheduler_host.h"

#include <boost/asio/post.hpp>

#include "daemon/store_keys.h"

namespace chervilslip::daemon {

namespace {

using common::event_id;

/// How often time is handed to the decisions: while this node decides, and otherwise.
constexpr common::milliseconds deciding_period{15};
constexpr common::milliseconds waiting_period{40};

/// Closed jobs are cleaned up in pages at this period.
constexpr common::milliseconds cleaning_period{5000};

/// A holder that stops waits so long for the answers to its orders for VMs.
constexpr common::milliseconds close_limit{400};

/// The claim's key is watched for this long at a time; a silent connection shows after that.
constexpr common::milliseconds claim_wait{1000};

nlohmann::json claim_value(const std::string& holder, const std::string& address)
{
    return nlohmann::json{{"holder", holder}, {"address", address}};
}

std::optional<ownership::claim_record> read_claim(const store::item& from)
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

scheduler_host::scheduler_host(host_parts with, process_name own_name, std::string own_address,
                               std::uint64_t random_seed)
    : parts(std::move(with)), self(std::move(own_name)), address(std::move(own_address)),
      keeper(this->self.node, this->parts.claim, random_seed), timer(this->parts.context)
{
}

scheduler_host::~scheduler_host()
{
    this->stopped = true;
    this->drop_cell();
}

common::steady_time scheduler_host::now() const
{
    return this->parts.clock.steady_now();
}

std::int64_t scheduler_host::unix_ms() const
{
    return common::unix_milliseconds(this->parts.clock.wall_now());
}

void scheduler_host::start()
{
    this->follow_claim();
    this->schedule_tick();
}

void scheduler_host::on_owner(std::function<void(const ownership::claim_record&)> told)
{
    this->owner_told = std::move(told);
}

const std::optional<ownership::claim_record>& scheduler_host::owner() const
{
    return this->keeper.last_seen_claim();
}

scheduling::scheduler* scheduler_host::deciding()
{
    return this->scheduler.get();
}

void scheduler_host::configure(std::shared_ptr<const fleet_configuration> newer)
{
    this->configuration = std::move(newer);
    if (this->scheduler) {
        this->scheduler->configure(this->configuration->policy);
        this->fleet->configure(this->configuration);
        this->run_cell();
    }
    this->finish_takeover_if_read();
}

void scheduler_host::see_waves(std::vector<maintenance::wave_request> asked)
{
    this->waves = std::move(asked);
    if (this->fleet) {
        this->fleet->see_waves(this->waves);
    }
}

void scheduler_host::resign()
{
    this->resigning = true;
    if (!this->fleet) {
        this->give_up_claim();
        return;
    }
    // Events of the keeper must not end the cell from within their own handlers.
    const auto give_up = [this] {
        boost::asio::post(this->parts.context, [this] { this->give_up_claim(); });
    };
    this->fleet->close(give_up);
    auto limit = std::make_shared<boost::asio::steady_timer>(this->parts.context, close_limit);
    limit->async_wait(
        this->for_this_cell([limit, give_up](const boost::system::error_code&) { give_up(); }));
}

void scheduler_host::give_up_claim()
{
    this->keeper.resign();
    this->drop_cell();
    this->run_claim_actions();
}

void scheduler_host::schedule_tick()
{
    this->timer.expires_after(this->scheduler ? deciding_period : waiting_period);
    this->timer.async_wait([this](const boost::system::error_code& failure) {
        if (!failure && !this->stopped) {
            this->tick();
            this->schedule_tick();
        }
    });
}

void scheduler_host::tick()
{
    this->keeper.tick(this->now());
    this->run_claim_actions();
    const auto held = this->keeper.token();
    if (!held && this->cell_life) {
        this->parts.log.write(event_id::claim_lost, {{"token", this->token}});
        this->drop_cell();
    }
    if (held && !this->resigning && (!this->cell_life || *held != this->token)) {
        this->begin_takeover(*held);
    }
    if (this->scheduler) {
        this->scheduler->extend_authority(this->keeper.authority_until());
        this->fleet->tick(this->now(), this->keeper.authority_until());
        this->scheduler->tick(this->now(), this->unix_ms());
        this->run_cell();
        if (this->now() >= this->next_cleaning) {
            this->next_cleaning = this->now() + cleaning_period;
            this->clean_closed();
        }
    }
}

void scheduler_host::follow_claim()
{
    store::follower_callbacks hooks;
    hooks.on_change = [this](const store::item_map& items, std::int64_t) {
        this->see_claim(items);
    };
    this->claim_follower = std::make_unique<store::prefix_follower>(
        this->parts.context, this->parts.store, std::string(store_keys::claim),
        store::follower_options{claim_wait, read_retry, {}}, std::move(hooks));
    this->claim_follower->start();
}

void scheduler_host::see_claim(const store::item_map& items)
{
    const auto found = items.find(std::string(store_keys::claim));
    std::optional<ownership::claim_record> record;
    if (found != items.end()) {
        record = read_claim(found->second);
    }
    if (record) {
        this->end_earlier_claim(found->second, *record);
    }
    const auto before = this->keeper.last_seen_claim();
    this->keeper.observe_claim(record, this->now());
    const auto& after = this->keeper.last_seen_claim();
    if (after && after != before) {
        this->parts.log.write(event_id::claim_seen,
                              {{"holder", after->holder}, {"token", after->token}});
        if (this->owner_told) {
            this->owner_told(*after);
        }
    }
}

void scheduler_host::end_earlier_claim(const store::item& claim,
                                       const ownership::claim_record& record)
{
    // A claim of this node under another lease is that of its earlier process, which has ended.
    if (record.holder == this->self.node && claim.lease != this->keeper.own_lease() &&
        record.token != this->keeper.token().value_or(0)) {
        this->parts.store.end_lease(claim.lease, [](common::result<bool>) {
            // A lease that was not ended runs out by itself.
        });
    }
}

void scheduler_host::run_claim_actions()
{
    for (const ownership::claim_action& each : this->keeper.take_actions()) {
        if (const auto* open = std::get_if<ownership::grant_lease>(&each)) {
            this->open_lease(open->time_to_live);
        } else if (const auto* put = std::get_if<ownership::create_claim>(&each)) {
            this->put_claim(put->lease);
        } else if (const auto* keep = std::get_if<ownership::renew_lease>(&each)) {
            this->renew(keep->lease);
        } else if (const auto* drop = std::get_if<ownership::revoke_lease>(&each)) {
            this->parts.store.end_lease(drop->lease, [](common::result<bool>) {
                // A lease that was not ended runs out by itself.
            });
        }
    }
}

void scheduler_host::open_lease(common::milliseconds time_to_live)
{
    const auto sent_at = this->now();
    this->parts.store.grant(time_to_live, [this, sent_at](common::result<store::lease_grant> got) {
        const store::lease_grant lease = got ? got.value() : store::lease_grant{};
        this->keeper.on_lease_response(lease.id, lease.time_to_live, sent_at, this->now());
        this->tick();
    });
}

void scheduler_host::put_claim(std::uint64_t lease)
{
    store::transaction changes;
    const std::string key(store_keys::claim);
    changes.expected.push_back({key, 0});
    changes.set.push_back({key, claim_value(this->self.node, this->address).dump(), lease});
    this->parts.store.commit(changes, [this, lease](common::result<store::commit_outcome> got) {
        using ownership::call_outcome;
        if (!got) {
            const bool gone = got.error().code == common::errc::not_found;
            this->keeper.on_claim_response(gone ? call_outcome::refused : call_outcome::unknown,
                                           std::nullopt, 0, this->now());
        } else if (got.value().committed) {
            this->keeper.on_claim_response(
                call_outcome::done,
                ownership::claim_record{this->self.node, this->address, got.value().revision},
                lease, this->now());
        } else {
            std::optional<ownership::claim_record> record;
            std::uint64_t record_lease = 0;
            for (const store::item& each : got.value().current) {
                record = read_claim(each);
                record_lease = each.lease;
            }
            this->keeper.on_claim_response(call_outcome::done, record, record_lease, this->now());
        }
        this->tick();
    });
}

void scheduler_host::renew(std::uint64_t lease)
{
    const auto sent_at = this->now();
    this->parts.store.renew(lease, [this, sent_at](common::result<common::milliseconds> got) {
        using ownership::call_outcome;
        call_outcome fate = call_outcome::done;
        if (!got) {
            const bool gone = got.error().code == common::errc::not_found;
            fate = gone ? call_outcome::refused : call_outcome::unknown;
        }
        this->keeper.on_renewal_response(fate, sent_at, this->now());
    });
}

void scheduler_host::drop_cell()
{
    this->cell_life.reset();
    this->scheduler.reset();
    this->fleet.reset();
    this->reading.reset();
    this->write.reset();
    this->input_follower.reset();
    this->input_seen.clear();
    this->entries_read = false;
    this->parts.registry.unsubscribe();
}

void scheduler_host::take_job(const jobs::job& accepted)
{
    if (this->scheduler) {
        this->input_seen.insert(store_keys::of(store_keys::jobs, accepted.id));
        this->scheduler->submit_job(accepted, this->now());
        this->scheduler->tick(this->now(), this->unix_ms());
        this->run_cell();
    }
}

void scheduler_host::take_cancel(const std::string& id)
{
    if (this->scheduler) {
        this->scheduler->cancel_job(id, this->now());
        this->scheduler->tick(this->now(), this->unix_ms());
        this->run_cell();
    }
}

} // namespace chervilslip::daemon
