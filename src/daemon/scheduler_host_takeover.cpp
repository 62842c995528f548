// Reads the state that a new owner needs before it starts scheduling.
#include "daemon/scheduler_host.h"
#include "daemon/store_keys.h"
#include "jobs/job_codec.h"

namespace chervilslip::daemon {

namespace {

using common::event_id;

/// The owner is notified of accepted jobs directly; this watch covers lost notifications.
constexpr common::milliseconds input_watch_time{1000};
constexpr common::milliseconds input_pause{400};

} // namespace

void scheduler_host::begin_takeover(std::int64_t new_token)
{
    this->discard_scheduler();
    this->claim_lifetime = std::make_shared<int>(0);
    this->token = new_token;
    this->claimed_at = this->now();
    this->dependencies.log.write(event_id::claim_won, {{"token", new_token}});
    if (this->owner_callback && this->ownership_claim.last_seen_claim()) {
        this->owner_callback(*this->ownership_claim.last_seen_claim());
    }
    this->takeover = std::make_unique<takeover_state>();
    for (std::size_t lane = 0; lane < this->lane_count(); ++lane) {
        this->read_journal_head(lane);
    }
    this->read_progress({});
    this->follow_input();
    this->dependencies.registry.subscribe(
        this->bind_to_claim([this](const std::vector<scheduling::worker_entry>& listed) {
            this->worker_entries = listed;
            this->worker_entries_read = true;
            this->dependencies.on_workers_changed(this->worker_entries);
            if (this->scheduler) {
                this->scheduler->update_workers(this->worker_entries, this->now());
                this->execute_actions();
            }
            this->finish_takeover_if_ready();
        }));
}

void scheduler_host::retry_read(std::function<void()> read)
{
    auto delay =
        std::make_shared<boost::asio::steady_timer>(this->dependencies.context, read_retry_delay);
    delay->async_wait(this->bind_to_claim(
        [delay, read = std::move(read)](const boost::system::error_code&) { read(); }));
}

std::size_t scheduler_host::lane_count() const
{
    return this->dependencies.scheduling_options.journal_lanes;
}

void scheduler_host::read_journal_head(std::size_t lane)
{
    this->dependencies.store.read(
        store_keys::journal_head(lane),
        this->bind_to_claim([this, lane](common::result<std::optional<store::item>> head) {
            if (!head) {
                this->retry_read([this, lane] { this->read_journal_head(lane); });
                return;
            }
            this->journal_revisions[lane] = head.value() ? head.value()->revision : 0;
            ++this->takeover->heads_read;
            this->finish_takeover_if_ready();
        }));
}

void scheduler_host::read_progress(const std::string& after)
{
    this->dependencies.store.range(
        std::string(store_keys::progress), after,
        this->bind_to_claim([this, after](common::result<store::range_page> page) {
            if (!page) {
                this->retry_read([this, after] { this->read_progress(after); });
                return;
            }
            std::string last;
            for (const store::item& each : page.value().items) {
                last = each.key;
                this->takeover->progress.insert_or_assign(
                    each.key.substr(store_keys::progress.size()),
                    scheduling::decode_progress(each.value, each.key));
            }
            if (page.value().more && !last.empty()) {
                this->read_progress(last);
                return;
            }
            this->takeover->progress_read = true;
            this->finish_takeover_if_ready();
        }));
}

void scheduler_host::follow_input()
{
    store::follower_callbacks hooks;
    hooks.on_change = [this](const store::item_map& items, std::int64_t revision) {
        this->handle_input(items, items, revision);
    };
    hooks.on_update = [this](const store::item_map& items, const store::item_map& changed,
                             std::int64_t revision) {
        this->handle_input(items, changed, revision);
    };
    hooks.on_request = [this] {
        this->input_requested_at = this->now();
    };
    hooks.on_contact = [this] {
        if (this->scheduler) {
            this->scheduler->confirm_input(this->input_requested_at);
        }
    };
    this->input_follower = std::make_unique<store::prefix_follower>(
        this->dependencies.context, this->dependencies.store, std::string(store_keys::input),
        store::follower_options{input_watch_time, read_retry_delay, input_pause}, std::move(hooks));
    this->input_follower->start();
}

void scheduler_host::handle_input(const store::item_map& items, const store::item_map& changed,
                                  std::int64_t revision)
{
    if (this->takeover) {
        this->takeover->input = items;
        this->takeover->input_revision = revision;
        this->takeover->input_read = true;
        this->finish_takeover_if_ready();
        return;
    }
    for (const auto& [key, each] : changed) {
        if (key.starts_with(store_keys::cancels)) {
            this->scheduler->cancel_job(key.substr(store_keys::cancels.size()), this->now());
        } else if (key.starts_with(store_keys::jobs) &&
                   !this->scheduler->state_of(key.substr(store_keys::jobs.size()))) {
            const auto job = jobs::decode_job(each.value, key);
            if (job) {
                this->note_job(job.value());
                this->scheduler->submit_job(job.value(), this->now());
            } else {
                this->dependencies.log.write(event_id::journal_failed,
                                             {{"error", job.error().to_string()}});
            }
        }
    }
    this->scheduler->ignore_notifications_until(revision);
    this->execute_actions();
}

void scheduler_host::finish_takeover_if_ready()
{
    if (!this->takeover || this->takeover->heads_read < this->lane_count() ||
        !this->takeover->progress_read || !this->takeover->input_read ||
        !this->worker_entries_read || !this->configuration) {
        return;
    }
    const auto read = std::move(this->takeover);
    scheduling::scheduler_options options = this->dependencies.scheduling_options;
    options.claim = this->token;
    this->scheduler = std::make_unique<scheduling::scheduler>(options);
    this->admission_control = std::make_unique<admission::admission_controller>(this->now());
    std::vector<scheduling::stored_job> stored;
    for (const auto& [key, each] : read->input) {
        if (!key.starts_with(store_keys::jobs)) {
            continue;
        }
        const std::string id = key.substr(store_keys::jobs.size());
        auto job = jobs::decode_job(each.value, key);
        if (!job) {
            this->dependencies.log.write(event_id::journal_failed,
                                         {{"error", job.error().to_string()}});
            continue;
        }
        scheduling::stored_job& restored = stored.emplace_back();
        restored.spec = std::move(job.value());
        restored.cancelled = read->input.contains(store_keys::make_key(store_keys::cancels, id));
        if (const auto progress = read->progress.find(id); progress != read->progress.end()) {
            if (progress->second) {
                restored.progress = std::move(progress->second.value());
            } else {
                restored.defect = progress->second.error().to_string();
            }
        }
    }
    this->dependencies.log.write(event_id::takeover_read,
                                 {{"token", this->token},
                                  {"jobs", stored.size()},
                                  {"workers", this->worker_entries.size()}});
    this->scheduler->configure(this->configuration->policy);
    this->scheduler->extend_authority(this->ownership_claim.authority_until());
    this->scheduler->restore(std::move(stored), this->claimed_at, this->unix_ms());
    this->scheduler->ignore_notifications_until(read->input_revision);
    this->scheduler->set_evacuated_zones(this->zones_to_evacuate, this->now());
    if (this->operator_keys_as_of) {
        this->scheduler->confirm_operator_keys(*this->operator_keys_as_of);
    }
    this->scheduler->update_workers(this->worker_entries, this->now());
    this->controller = std::make_unique<fleet_controller>(
        fleet_controller_dependencies{
            this->dependencies.context, this->dependencies.clock, this->dependencies.log,
            this->dependencies.store, this->dependencies.machines, *this->scheduler,
            this->dependencies.has_ended, this->dependencies.controller_options},
        this->self, this->token, this->claimed_at);
    this->controller->configure(this->configuration);
    this->controller->set_waves(this->waves);
    this->controller->set_evacuated_zones(this->zones_to_evacuate);
    this->scheduler->tick(this->now(), this->unix_ms());
    this->execute_actions();
}

} // namespace chervilslip::daemon
