#include "daemon/cell_host.h"

#include <charconv>

#include <boost/asio/post.hpp>

#include "daemon/store_keys.h"
#include "jobs/job_codec.h"

namespace chervilslip::daemon {

namespace {

using common::event_id;

/// How often time is handed to the decisions: while this node decides, and otherwise.
constexpr common::milliseconds deciding_period{15};
constexpr common::milliseconds waiting_period{40};

/// A journal write without a usable answer is repeated after this time.
constexpr common::milliseconds write_retry{60};

/// Closed jobs are cleaned up in pages at this period.
constexpr common::milliseconds cleaning_period{5000};
constexpr std::size_t cleaning_batch =
    30; ///< a transaction has room for so many beside its condition

/// A holder that stops waits so long for the answers to its orders for VMs.
constexpr common::milliseconds close_limit{400};

/// A failed read of a takeover is repeated after this time.
constexpr common::milliseconds read_retry{80};

/// The claim's key is watched for this long at a time; a silent connection shows after that.
constexpr common::milliseconds claim_wait{1000};

/// The owner learns of accepted jobs by hints; this watch is for those whose hint was lost.
constexpr common::milliseconds input_wait{1000};
constexpr common::milliseconds input_pause{400};

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
                                   value["address"].get<std::string>(), from.created};
}

event_id event_of(scheduling::decision_note::kind what)
{
    using kind = scheduling::decision_note::kind;
    switch (what) {
    case kind::job_taken:
        return event_id::job_taken;
    case kind::task_started:
        return event_id::task_started;
    case kind::task_ended:
        return event_id::task_ended;
    case kind::task_lost:
        return event_id::task_lost;
    case kind::start_refused:
        return event_id::start_refused;
    case kind::job_ended:
        return event_id::job_ended;
    case kind::job_cancelled:
        return event_id::job_cancelled;
    case kind::worker_added:
        return event_id::worker_added;
    case kind::worker_lost:
        return event_id::worker_lost;
    case kind::worker_suspected:
        return event_id::worker_suspected;
    case kind::worker_trusted:
        return event_id::worker_trusted;
    }
    return event_id::worker_suspected;
}

} // namespace

struct cell_host::takeover {
    bool head_read = false;
    bool progress_read = false;
    bool input_read = false;
    store::item_map input;
    std::map<std::string, scheduling::job_progress> progress;
};

struct cell_host::write_under_way {
    std::uint64_t batch = 0;
    store::transaction changes;
    std::string mark; ///< the journal head's value that this write sets
};

cell_host::cell_host(host_parts with, process_name own_name, std::string own_address,
                     std::uint64_t random_seed)
    : parts(std::move(with)), self(std::move(own_name)), address(std::move(own_address)),
      keeper(this->self.node, ownership::claim_options{}, random_seed), timer(this->parts.context)
{
}

cell_host::~cell_host()
{
    this->stopped = true;
    this->drop_cell();
}

common::steady_time cell_host::now() const
{
    return this->parts.clock.steady_now();
}

std::int64_t cell_host::unix_ms() const
{
    return common::unix_milliseconds(this->parts.clock.wall_now());
}

void cell_host::start()
{
    this->follow_claim();
    this->schedule_tick();
}

void cell_host::on_owner(std::function<void(const ownership::claim_record&)> told)
{
    this->owner_told = std::move(told);
}

const std::optional<ownership::claim_record>& cell_host::owner() const
{
    return this->keeper.seen();
}

scheduling::cell* cell_host::deciding()
{
    return this->cell.get();
}

void cell_host::configure(std::shared_ptr<const fleet_configuration> newer)
{
    this->configuration = std::move(newer);
    if (this->cell) {
        this->cell->configure(this->configuration->policy);
        this->fleet->configure(this->configuration);
        this->run_cell();
    }
    this->finish_takeover_if_read();
}

void cell_host::see_waves(std::vector<maintenance::wave_request> asked)
{
    this->waves = std::move(asked);
    if (this->fleet) {
        this->fleet->see_waves(this->waves);
    }
}

void cell_host::resign()
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

void cell_host::give_up_claim()
{
    this->keeper.resign();
    this->drop_cell();
    this->run_claim_actions();
}

void cell_host::schedule_tick()
{
    this->timer.expires_after(this->cell ? deciding_period : waiting_period);
    this->timer.async_wait([this](const boost::system::error_code& failure) {
        if (!failure && !this->stopped) {
            this->tick();
            this->schedule_tick();
        }
    });
}

void cell_host::tick()
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
    if (this->cell) {
        this->cell->extend_authority(this->keeper.authority_until());
        this->fleet->tick(this->now(), this->keeper.authority_until());
        this->cell->tick(this->now(), this->unix_ms());
        this->run_cell();
        if (this->now() >= this->next_cleaning) {
            this->next_cleaning = this->now() + cleaning_period;
            this->clean_closed();
        }
    }
}

void cell_host::clean_closed()
{
    this->parts.store.range(std::string(store_keys::closed), this->closed_after,
                            this->for_this_cell([this](common::result<store::range_page> page) {
                                this->take_closed_page(std::move(page));
                            }));
}

void cell_host::take_closed_page(common::result<store::range_page> page)
{
    if (!page) {
        return; // the next cleaning goes on here
    }
    std::vector<std::string> old;
    for (const store::item& each : page.value().items) {
        this->closed_after = each.key;
        std::int64_t closed_ms = 0;
        const auto space = each.value.find(' ');
        if (space != std::string::npos) {
            const auto* end = each.value.data() + each.value.size();
            std::from_chars(each.value.data() + space + 1, end, closed_ms);
        }
        if (closed_ms + this->parts.state_time.count() < this->unix_ms() &&
            old.size() < cleaning_batch) {
            old.push_back(each.key);
        }
    }
    if (!page.value().more) {
        this->closed_after.clear();
    }
    if (!old.empty()) {
        this->remove_closed(std::move(old));
    }
}

void cell_host::remove_closed(std::vector<std::string> keys)
{
    store::transaction changes;
    changes.expected.push_back({std::string(store_keys::claim), this->token});
    changes.remove = keys;
    this->parts.store.commit(
        changes, this->for_this_cell([this, keys](common::result<store::commit_outcome> outcome) {
            if (!outcome || !outcome.value().committed) {
                return; // the next cleaning finds them again
            }
            for (const std::string& key : keys) {
                this->cell->forget_closed(key.substr(store_keys::closed.size()));
            }
        }));
}

void cell_host::follow_claim()
{
    store::follower_hooks hooks;
    hooks.on_change = [this](const store::item_map& items, std::int64_t) {
        this->see_claim(items);
    };
    this->claim_follower = std::make_unique<store::prefix_follower>(
        this->parts.context, this->parts.store, std::string(store_keys::claim),
        store::follower_options{claim_wait, read_retry, {}}, std::move(hooks));
    this->claim_follower->start();
}

void cell_host::see_claim(const store::item_map& items)
{
    const auto found = items.find(std::string(store_keys::claim));
    std::optional<ownership::claim_record> record;
    if (found != items.end()) {
        record = read_claim(found->second);
    }
    if (record) {
        this->end_earlier_claim(found->second, *record);
    }
    const auto before = this->keeper.seen();
    this->keeper.see_claim(record, this->now());
    const auto& after = this->keeper.seen();
    if (after && after != before) {
        this->parts.log.write(event_id::claim_seen,
                              {{"holder", after->holder}, {"token", after->token}});
        if (this->owner_told) {
            this->owner_told(*after);
        }
    }
}

void cell_host::end_earlier_claim(const store::item& claim, const ownership::claim_record& record)
{
    // A claim of this node under another lease is that of its earlier process, which has ended.
    if (record.holder == this->self.node && claim.lease != this->keeper.own_lease() &&
        record.token != this->keeper.token().value_or(0)) {
        this->parts.store.end_lease(claim.lease, [](common::result<bool>) {
            // A lease that was not ended runs out by itself.
        });
    }
}

void cell_host::run_claim_actions()
{
    for (const ownership::claim_action& each : this->keeper.take_actions()) {
        if (const auto* open = std::get_if<ownership::open_lease>(&each)) {
            this->open_lease(open->time_to_live);
        } else if (const auto* put = std::get_if<ownership::put_claim>(&each)) {
            this->put_claim(put->lease);
        } else if (const auto* keep = std::get_if<ownership::renew_lease>(&each)) {
            this->renew(keep->lease);
        } else if (const auto* drop = std::get_if<ownership::drop_lease>(&each)) {
            this->parts.store.end_lease(drop->lease, [](common::result<bool>) {
                // A lease that was not ended runs out by itself.
            });
        }
    }
}

void cell_host::open_lease(common::milliseconds time_to_live)
{
    const auto sent_at = this->now();
    this->parts.store.grant(time_to_live, [this, sent_at](common::result<store::lease_grant> got) {
        const store::lease_grant lease = got ? got.value() : store::lease_grant{};
        this->keeper.take_lease(lease.id, lease.time_to_live, sent_at, this->now());
        this->tick();
    });
}

void cell_host::put_claim(std::uint64_t lease)
{
    store::transaction changes;
    const std::string key(store_keys::claim);
    changes.expected.push_back({key, 0});
    changes.set.push_back({key, claim_value(this->self.node, this->address).dump(), lease});
    this->parts.store.commit(changes, [this, lease](common::result<store::commit_outcome> got) {
        using ownership::call_fate;
        if (!got) {
            const bool gone = got.error().code == common::errc::not_found;
            this->keeper.take_claim(gone ? call_fate::refused : call_fate::unknown, std::nullopt, 0,
                                    this->now());
        } else if (got.value().committed) {
            this->keeper.take_claim(
                call_fate::done,
                ownership::claim_record{this->self.node, this->address, got.value().revision},
                lease, this->now());
        } else {
            std::optional<ownership::claim_record> record;
            std::uint64_t record_lease = 0;
            for (const store::item& each : got.value().current) {
                record = read_claim(each);
                record_lease = each.lease;
            }
            this->keeper.take_claim(call_fate::done, record, record_lease, this->now());
        }
        this->tick();
    });
}

void cell_host::renew(std::uint64_t lease)
{
    const auto sent_at = this->now();
    this->parts.store.renew(lease, [this, sent_at](common::result<common::milliseconds> got) {
        using ownership::call_fate;
        call_fate fate = call_fate::done;
        if (!got) {
            const bool gone = got.error().code == common::errc::not_found;
            fate = gone ? call_fate::refused : call_fate::unknown;
        }
        this->keeper.take_renewal(fate, sent_at, this->now());
    });
}

void cell_host::drop_cell()
{
    this->cell_life.reset();
    this->cell.reset();
    this->fleet.reset();
    this->reading.reset();
    this->write.reset();
    this->input_follower.reset();
    this->input_seen.clear();
    this->entries_read = false;
    this->parts.registry.unfollow();
}

void cell_host::begin_takeover(std::int64_t won)
{
    this->drop_cell();
    this->cell_life = std::make_shared<int>(0);
    this->token = won;
    this->claim_won_at = this->now();
    this->parts.log.write(event_id::claim_won, {{"token", won}});
    if (this->owner_told && this->keeper.seen()) {
        this->owner_told(*this->keeper.seen());
    }
    this->reading = std::make_unique<takeover>();
    this->read_journal_head();
    this->read_progress({});
    this->follow_input();
    this->parts.registry.follow(
        this->for_this_cell([this](const std::vector<scheduling::worker_entry>& listed) {
            this->entries = listed;
            this->entries_read = true;
            if (this->cell) {
                this->cell->see_workers(this->entries, this->now());
                this->run_cell();
            }
            this->finish_takeover_if_read();
        }));
}

void cell_host::retry_read(std::function<void()> read)
{
    auto delay = std::make_shared<boost::asio::steady_timer>(this->parts.context, read_retry);
    delay->async_wait(this->for_this_cell(
        [delay, read = std::move(read)](const boost::system::error_code&) { read(); }));
}

void cell_host::read_journal_head()
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

void cell_host::read_progress(const std::string& after)
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

void cell_host::follow_input()
{
    store::follower_hooks hooks;
    hooks.on_change = [this](const store::item_map& items, std::int64_t) {
        this->see_input(items);
    };
    this->input_follower = std::make_unique<store::prefix_follower>(
        this->parts.context, this->parts.store, std::string(store_keys::input),
        store::follower_options{input_wait, read_retry, input_pause}, std::move(hooks));
    this->input_follower->start();
}

void cell_host::see_input(const store::item_map& items)
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
            this->cell->cancel_job(key.substr(store_keys::cancels.size()), this->now());
        } else if (key.starts_with(store_keys::jobs)) {
            const auto job = jobs::decode_job(each.value, key);
            if (job) {
                this->cell->take_job(job.value(), this->now());
            } else {
                this->parts.log.write(event_id::journal_failed,
                                      {{"error", job.error().to_string()}});
            }
        }
    }
    this->run_cell();
}

void cell_host::finish_takeover_if_read()
{
    if (!this->reading || !this->reading->head_read || !this->reading->progress_read ||
        !this->reading->input_read || !this->entries_read || !this->configuration) {
        return;
    }
    const auto read = std::move(this->reading);
    scheduling::cell_options options = this->parts.cell;
    options.token = this->token;
    this->cell = std::make_unique<scheduling::cell>(options);
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
        one.what = std::move(job.value());
        one.cancelled = read->input.contains(store_keys::of(store_keys::cancels, id));
        const auto progress = read->progress.find(id);
        if (progress != read->progress.end()) {
            one.progress = progress->second;
        }
    }
    this->parts.log.write(
        event_id::takeover_read,
        {{"token", this->token}, {"jobs", stored.size()}, {"workers", this->entries.size()}});
    this->cell->configure(this->configuration->policy);
    this->cell->extend_authority(this->keeper.authority_until());
    this->cell->restore(std::move(stored), this->claim_won_at);
    this->cell->see_workers(this->entries, this->now());
    this->fleet = std::make_unique<fleet_keeper>(
        fleet_parts{this->parts.context, this->parts.clock, this->parts.log, this->parts.store,
                    this->parts.machines, *this->cell, this->parts.has_ended},
        this->self, this->token, this->claim_won_at);
    this->fleet->configure(this->configuration);
    this->fleet->see_waves(this->waves);
    this->cell->tick(this->now(), this->unix_ms());
    this->run_cell();
}

void cell_host::take_job(const jobs::job& accepted)
{
    if (this->cell) {
        this->input_seen.insert(store_keys::of(store_keys::jobs, accepted.id));
        this->cell->take_job(accepted, this->now());
        this->cell->tick(this->now(), this->unix_ms());
        this->run_cell();
    }
}

void cell_host::take_cancel(const std::string& id)
{
    if (this->cell) {
        this->cell->cancel_job(id, this->now());
        this->cell->tick(this->now(), this->unix_ms());
        this->run_cell();
    }
}

void cell_host::run_cell()
{
    if (!this->cell) {
        return;
    }
    for (scheduling::action& each : this->cell->take_actions()) {
        this->carry_out(std::move(each));
    }
    if (this->cell->is_fenced()) {
        this->parts.log.write(event_id::claim_lost,
                              {{"token", this->token}, {"cause", "a worker has a newer owner"}});
        this->keeper.depose(this->now());
        this->drop_cell();
        this->run_claim_actions();
    }
}

void cell_host::carry_out(scheduling::action&& what)
{
    if (auto* look = std::get_if<scheduling::look_order>(&what)) {
        const auto sent_at = this->now();
        const auto life = look->worker;
        this->parts.workers.look(
            *look, this->token,
            this->for_this_cell(
                [this, sent_at, life](scheduling::verdict outcome, scheduling::look_report report) {
                    this->cell->take_look({life, sent_at, outcome, std::move(report)}, this->now());
                    this->cell->tick(this->now(), this->unix_ms());
                    this->run_cell();
                }));
    } else if (auto* start = std::get_if<scheduling::start_order>(&what)) {
        this->parts.workers.start(*start, this->token,
                                  this->for_this_cell([this](scheduling::order_answer answer) {
                                      this->cell->take_start(answer, this->now());
                                      this->run_cell();
                                  }));
    } else if (auto* stop = std::get_if<scheduling::stop_order>(&what)) {
        this->parts.workers.stop(*stop, this->token,
                                 this->for_this_cell([this](scheduling::order_answer answer) {
                                     this->cell->take_stop(answer, this->now());
                                     this->run_cell();
                                 }));
    } else if (auto* pace = std::get_if<scheduling::pace_order>(&what)) {
        this->parts.workers.pace(*pace, this->token);
    } else if (auto* advice = std::get_if<scheduling::advice_order>(&what)) {
        this->parts.workers.advise(*advice,
                                   this->for_this_cell([this](scheduling::advice_answer answer) {
                                       this->cell->take_advice(answer, this->now());
                                       this->cell->tick(this->now(), this->unix_ms());
                                       this->run_cell();
                                   }));
    } else if (auto* journal = std::get_if<scheduling::journal_order>(&what)) {
        this->write_journal(std::move(*journal));
    } else if (auto* note = std::get_if<scheduling::decision_note>(&what)) {
        this->log_note(*note);
    }
}

void cell_host::log_note(const scheduling::decision_note& note)
{
    this->parts.log.write(event_of(note.what), {{"subject", note.subject},
                                                {"detail", note.detail},
                                                {"token", this->token},
                                                {"configuration", this->configuration->version}});
}

void cell_host::write_journal(scheduling::journal_order&& order)
{
    this->write = std::make_unique<write_under_way>();
    this->write->batch = order.batch;
    this->write->mark = std::to_string(this->token) + ":" + std::to_string(order.batch);
    store::transaction& changes = this->write->changes;
    // The claim's creation fences out a deposed owner. The journal head orders this owner's own
    // writes, so that one whose answer was lost can not take effect after a later one.
    changes.expected.push_back({std::string(store_keys::claim), this->token});
    changes.expected.push_back({std::string(store_keys::journal), this->journal_revision});
    changes.set.push_back({std::string(store_keys::journal), this->write->mark, 0});
    for (scheduling::document_change& each : order.changes) {
        const std::string progress_key = store_keys::of(store_keys::progress, each.job);
        if (!each.closed) {
            changes.set.push_back({progress_key, std::move(each.progress), 0});
            continue;
        }
        changes.set.push_back(
            {store_keys::of(store_keys::closed, each.job),
             std::to_string(static_cast<int>(each.state)) + " " + std::to_string(this->unix_ms()),
             0});
        changes.remove.push_back(store_keys::of(store_keys::jobs, each.job));
        changes.remove.push_back(store_keys::of(store_keys::cancels, each.job));
        changes.remove.push_back(progress_key);
    }
    this->send_write();
}

void cell_host::send_write()
{
    this->parts.store.commit(
        this->write->changes,
        this->for_this_cell([this](common::result<store::commit_outcome> outcome) {
            this->take_write(std::move(outcome));
        }));
}

void cell_host::take_write(common::result<store::commit_outcome> outcome)
{
    if (!outcome) {
        this->parts.log.write(event_id::journal_failed, {{"error", outcome.error().to_string()},
                                                         {"batch", this->write->batch}});
        auto retry = std::make_shared<boost::asio::steady_timer>(this->parts.context, write_retry);
        retry->async_wait(this->for_this_cell(
            [this, retry](const boost::system::error_code&) { this->send_write(); }));
        return;
    }
    bool applied = outcome.value().committed;
    std::int64_t revision = outcome.value().revision;
    for (const store::item& each : outcome.value().current) {
        if (each.key == store_keys::journal && each.value == this->write->mark) {
            applied = true; // an earlier try of the same write was carried out
            revision = each.revision;
        }
    }
    if (!applied) {
        this->parts.log.write(event_id::claim_lost,
                              {{"token", this->token}, {"cause", "the journal has a newer owner"}});
        this->keeper.depose(this->now());
        this->drop_cell();
        this->run_claim_actions();
        return;
    }
    this->journal_revision = revision;
    const std::uint64_t batch = this->write->batch;
    this->write.reset();
    this->cell->journal_durable(batch, this->now());
    this->run_cell();
}

} // namespace chervilslip::daemon
