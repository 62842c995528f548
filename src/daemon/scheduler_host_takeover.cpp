// What a new owner reads before it decides.
#include "daemon/scheduler_host.h"
#include "daemon/store_keys.h"
#include "jobs/job_codec.h"

namespace chervilslip::daemon {

namespace {

using common::event_id;

/// The owner learns of accepted jobs by hints; this watch is for those whose hint was lost.
constexpr common::milliseconds input_wait{1000};
constexpr common::milliseconds input_pause{400};

} // namespace

void scheduler_host::begin_takeover(std::int64_t won)
{
    this->drop_cell();
    this->cell_life = std::make_shared<int>(0);
    this->token = won;
    this->claim_won_at = this->now();
    this->parts.log.write(event_id::claim_won, {{"token", won}});
    if (this->owner_told && this->keeper.last_seen_claim()) {
        this->owner_told(*this->keeper.last_seen_claim());
    }
    this->reading = std::make_unique<takeover>();
    this->read_journal_head();
    this->read_progress({});
    this->follow_input();
    this->parts.registry.subscribe(
        this->for_this_cell([this](const std::vector<scheduling::worker_entry>& listed) {
            this->entries = listed;
            this->entries_read = true;
            this->parts.on_workers(this->entries);
            if (this->scheduler) {
                this->scheduler->update_workers(this->entries, this->now());
                this->run_cell();
            }
            this->finish_takeover_if_read();
        }));
}

void scheduler_host::retry_read(std::function<void()> read)
{
    auto delay = std::make_shared<boost::asio::steady_timer>(this->parts.context, read_retry);
    delay->async_wait(this->for_this_cell(
        [delay, read = std::move(read)](const boost::system::error_code&) { read(); }));
}

void scheduler_host::read_journal_head()
{
    this->parts.store.read(
        std::string(store_keys::journal),
        this->for_this_cell([this](common::result<std::optional<store::item>> head) {
            if (!head) {
                this->retry_read([this] { this->read_journal_head(); });
                return;
            }
            this->journal_revision = head.value() ? head.value()->revision : 0;
            this->reading->head_read = true;
            this->finish_takeover_if_read();
        }));
}

void scheduler_host::read_progress(const std::string& after)
{
    this->parts.store.range(
        std::string(store_keys::progress), after,
        this->for_this_cell([this, after](common::result<store::range_page> page) {
            if (!page) {
                this->retry_read([this, after] { this->read_progress(after); });
                return;
            }
            std::string last;
            for (const store::item& each : page.value().items) {
                last = each.key;
                auto read = scheduling::decode_progress(each.value, each.key);
                if (!read) {
                    this->parts.log.write(event_id::journal_failed,
                                          {{"error", read.error().to_string()}});
                    continue;
                }
                this->reading->progress[each.key.substr(store_keys::progress.size())] =
                    std::move(read.value());
            }
            if (page.value().more && !last.empty()) {
                this->read_progress(last);
                return;
            }
            this->reading->progress_read = true;
            this->finish_takeover_if_read();
        }));
}

void scheduler_host::follow_input()
{
    store::follower_callbacks hooks;
    hooks.on_change = [this](const store::item_map& items, std::int64_t) {
        this->see_input(items);
    };
    this->input_follower = std::make_unique<store::prefix_follower>(
        this->parts.context, this->parts.store, std::string(store_keys::input),
        store::follower_options{input_wait, read_retry, input_pause}, std::move(hooks));
    this->input_follower->start();
}

void scheduler_host::see_input(const store::item_map& items)
{
    if (this->reading) {
        this->reading->input = items;
        this->reading->input_read = true;
        this->finish_takeover_if_read();
        return;
    }
    for (const auto& [key, each] : items) {
        if (!this->input_seen.insert(key).second) {
            continue;
        }
        if (key.starts_with(store_keys::cancels)) {
            this->scheduler->cancel_job(key.substr(store_keys::cancels.size()), this->now());
        } else if (key.starts_with(store_keys::jobs)) {
            const auto job = jobs::decode_job(each.value, key);
            if (job) {
                this->scheduler->submit_job(job.value(), this->now());
            } else {
                this->parts.log.write(event_id::journal_failed,
                                      {{"error", job.error().to_string()}});
            }
        }
    }
    this->run_cell();
}

void scheduler_host::finish_takeover_if_read()
{
    if (!this->reading || !this->reading->head_read || !this->reading->progress_read ||
        !this->reading->input_read || !this->entries_read || !this->configuration) {
        return;
    }
    const auto read = std::move(this->reading);
    scheduling::scheduler_options options = this->parts.scheduler;
    options.token = this->token;
    this->scheduler = std::make_unique<scheduling::scheduler>(options);
    std::vector<scheduling::stored_job> stored;
    for (const auto& [key, each] : read->input) {
        this->input_seen.insert(key);
        if (!key.starts_with(store_keys::jobs)) {
            continue;
        }
        const std::string id = key.substr(store_keys::jobs.size());
        auto job = jobs::decode_job(each.value, key);
        if (!job) {
            this->parts.log.write(event_id::journal_failed, {{"error", job.error().to_string()}});
            continue;
        }
        scheduling::stored_job& one = stored.emplace_back();
        one.spec = std::move(job.value());
        one.cancelled = read->input.contains(store_keys::of(store_keys::cancels, id));
        const auto progress = read->progress.find(id);
        if (progress != read->progress.end()) {
            one.progress = progress->second;
        }
    }
    this->parts.log.write(
        event_id::takeover_read,
        {{"token", this->token}, {"jobs", stored.size()}, {"workers", this->entries.size()}});
    this->scheduler->configure(this->configuration->policy);
    this->scheduler->extend_authority(this->keeper.authority_until());
    this->scheduler->restore(std::move(stored), this->claim_won_at);
    this->scheduler->update_workers(this->entries, this->now());
    this->fleet = std::make_unique<fleet_controller>(
        fleet_parts{this->parts.context, this->parts.clock, this->parts.log, this->parts.store,
                    this->parts.machines, *this->scheduler, this->parts.has_ended,
                    this->parts.keeper},
        this->self, this->token, this->claim_won_at);
    this->fleet->configure(this->configuration);
    this->fleet->see_waves(this->waves);
    this->scheduler->tick(this->now(), this->unix_ms());
    this->run_cell();
}

} // namespace chervilslip::daemon
