// Publishes which share of new jobs the owner can handle, and follows what it has published.
#include <cmath>

#include "daemon/scheduler_host.h"
#include "daemon/store_keys.h"

namespace chervilslip::daemon {

using common::event_id;

admission::admission_gate& scheduler_host::admission_gate()
{
    return this->gate;
}

const admission::admission_controller* scheduler_host::admission_controller() const
{
    return this->admission_control.get();
}

void scheduler_host::observe_admission(const store::item_map& items, std::int64_t revision)
{
    const auto claim = items.find(std::string(store_keys::claim));
    this->gate.observe_claim(claim == items.end() ? std::nullopt
                                                  : std::optional(claim->second.created_revision),
                             revision);
    const auto published = items.find(std::string(store_keys::admission));
    if (published == items.end()) {
        return;
    }
    const auto share = admission::decode_share(published->second.value);
    if (!share) {
        this->dependencies.log.write(event_id::admission_unreadable,
                                     {{"error", share.error().to_string()}});
    }
    this->gate.observe_share(share ? share.value() : admission::published_share{},
                             published->second.revision);
}

void scheduler_host::note_job(const jobs::job& received)
{
    if (!admission::may_be_refused(received)) {
        return;
    }
    std::int64_t tasks = 0;
    for (const jobs::step& each : received.steps) {
        tasks += each.count;
    }
    this->admission_control->on_job(tasks);
}

void scheduler_host::control_admission(common::steady_time due)
{
    this->admission_control->on_timer(
        std::chrono::duration_cast<common::milliseconds>(this->now() - due));
    if (this->admission_control->is_due(this->now())) {
        this->admission_control->on_backlog(this->scheduler->startable_tasks());
    }
    this->admission_control->tick(this->now());
    if (this->publishing_share) {
        return;
    }
    if (const auto share = this->admission_control->take_publication()) {
        this->publish_share(*share);
    }
}

void scheduler_host::publish_share(double share)
{
    this->publishing_share = true;
    const std::string key(store_keys::admission);
    store::transaction changes;
    changes.expected.push_back({std::string(store_keys::claim), this->token});
    // A write whose response was lost cannot take effect after a later one.
    changes.expected.push_back({key, this->gate.revision()});
    const admission::published_share value{share, this->token};
    changes.set.push_back({key, admission::encode_share(value), 0});
    const admission::controller_signals signals = this->admission_control->signals();
    this->dependencies.store.commit(
        changes,
        this->bind_to_claim([this, value, signals](common::result<store::commit_outcome> outcome) {
            this->publishing_share = false;
            if (!outcome || !outcome.value().committed) {
                this->admission_control->on_publication_failed(); // decided again next interval
                return;
            }
            this->gate.observe_share(value, outcome.value().revision);
            this->dependencies.log.write(event_id::admission_changed,
                                         {{"share", value.share},
                                          {"round_trip_ms", signals.round_trip.count()},
                                          {"timer_lag_ms", signals.timer_lag.count()},
                                          {"offered_rate", std::lround(signals.offered_rate)},
                                          {"handled_rate", std::lround(signals.handled_rate)},
                                          {"token", this->token}});
        }));
}

} // namespace chervilslip::daemon
