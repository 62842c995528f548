#include "daemon/job_frontend.h"

#include "daemon/store_keys.h"
#include "jobs/job_codec.h"
#include "scheduling/progress.h"

namespace chervilslip::daemon {

using common::errc;
using common::make_error;

namespace {

/// Jobs that fit into one transaction: each takes two conditions and one value, beside the
/// conditions on the admission share and the claim.
constexpr std::size_t max_jobs_per_batch = 8;

/// Maximum attempts to write a job while no response arrives. Every attempt has the same
/// conditions, so repeating it is safe.
constexpr int max_attempts = 3;

} // namespace

job_frontend::job_frontend(store::transactional_store& job_store, owner_client& fleet_owner,
                           const common::clock& time, const common::event_log& logger,
                           admission::admission_gate& admissions,
                           admission::unconfirmed_submissions& unconfirmed_jobs,
                           job_frontend_hooks callbacks)
    : store(job_store), owner(fleet_owner), clock(time), log(logger), gate(admissions),
      unconfirmed(unconfirmed_jobs), hooks(std::move(callbacks))
{
}

std::size_t job_frontend::open_calls() const
{
    return this->open_call_count;
}

void job_frontend::submit(jobs::job submitted, std::function<void(job_call_result)> done)
{
    ++this->open_call_count;
    pending_job& added = this->queue.emplace_back();
    added.encoded = jobs::encode_job(submitted);
    added.job = std::move(submitted);
    added.done = std::move(done);
    added.received_at = this->clock.steady_now();
    this->reject_unsent();
    this->write_next_batch();
}

void job_frontend::reject_unsent()
{
    if (!this->hooks.store_lost()) {
        return;
    }
    std::deque<pending_job> sent;
    for (pending_job& each : std::exchange(this->queue, {})) {
        if (each.attempts == 0) {
            each.failure = "the store is unreachable on every route";
            this->complete(each, job_call_result::rejected);
        } else {
            sent.push_back(std::move(each));
        }
    }
    std::move(this->queue.begin(), this->queue.end(), std::back_inserter(sent));
    this->queue = std::move(sent);
}

void job_frontend::write_next_batch()
{
    if (this->writing || this->queue.empty()) {
        return;
    }
    this->writing = true;
    std::vector<pending_job> batch;
    std::set<std::string> ids;
    store::transaction changes;
    bool any_shed = false;
    while (!this->queue.empty() && batch.size() < max_jobs_per_batch &&
           ids.insert(this->queue.front().job.id).second) {
        pending_job each = std::move(this->queue.front());
        this->queue.pop_front();
        const std::string key = store_keys::make_key(store_keys::jobs, each.job.id);
        changes.expected.push_back({key, 0});
        const std::string closed_key = store_keys::make_key(store_keys::closed, each.job.id);
        changes.expected.push_back({closed_key, each.foreign_withdrawal});
        each.shed = this->is_shed(each.job);
        if (!each.shed) {
            changes.set.push_back({key, each.encoded, 0});
            if (each.foreign_withdrawal != 0) {
                changes.remove.push_back(closed_key);
            }
        }
        any_shed = any_shed || each.shed;
        ++each.attempts;
        batch.push_back(std::move(each));
    }
    this->add_admission_conditions(changes, any_shed);
    this->ids_being_written = std::move(ids);
    this->store.commit(changes, [this, batch = std::move(batch)](
                                    common::result<store::commit_outcome> outcome) mutable {
        this->writing = false;
        this->ids_being_written.clear();
        const std::vector<jobs::job> accepted =
            this->handle_write_result(std::move(batch), outcome);
        this->reject_unsent();
        this->write_next_batch();
        // After the answers, which must not depend on what the owner does with the jobs.
        for (const jobs::job& each : accepted) {
            this->owner.notify_job(each, outcome.value().revision);
        }
    });
}

void job_frontend::add_unconfirmed(const std::vector<pending_job>& batch)
{
    std::vector<std::string> ids;
    for (const pending_job& each : batch) {
        if (!each.shed) {
            this->unconfirmed.add(each.job.id, this->clock.steady_now());
            ids.push_back(each.job.id);
        }
    }
    if (!ids.empty()) {
        this->hooks.announce_unconfirmed(ids);
    }
}

bool job_frontend::is_refusal_certain(const std::string& id) const
{
    return !this->ids_being_written.contains(id) &&
           this->unconfirmed.excludes(id, this->clock.steady_now());
}

bool job_frontend::is_shed(const jobs::job& submitted) const
{
    return admission::may_be_refused(submitted) && !this->gate.admits(submitted.id);
}

void job_frontend::add_admission_conditions(store::transaction& changes, bool any_shed) const
{
    // An earlier submission of a job may still be under way to the store. Because each write
    // depends on the share that it was decided under, none under an earlier share takes effect once
    // this transaction has been committed.
    changes.expected.push_back({std::string(store_keys::admission), this->gate.revision()});
    if (any_shed) {
        changes.expected.push_back({std::string(store_keys::claim), this->gate.token()});
    }
}

void job_frontend::observe_admission(const std::map<std::string, const store::item*>& present,
                                     bool claim_was_expected)
{
    const auto share = present.find(std::string(store_keys::admission));
    if (share == present.end()) {
        this->gate.observe_share({}, 0);
    } else {
        const auto value = admission::decode_share(share->second->value);
        this->gate.observe_share(value ? value.value() : admission::published_share{},
                                 share->second->revision);
    }
    const auto claim = present.find(std::string(store_keys::claim));
    if (claim != present.end()) {
        this->gate.observe_claim(claim->second->created_revision, claim->second->revision);
    } else if (claim_was_expected) {
        this->gate.observe_claim_end();
    }
}

std::vector<jobs::job>
job_frontend::handle_write_result(std::vector<pending_job> batch,
                                  const common::result<store::commit_outcome>& outcome)
{
    std::vector<jobs::job> accepted;
    if (!outcome) {
        const bool uncertain = outcome.error().may_have_been_done();
        if (uncertain) {
            this->add_unconfirmed(batch);
        }
        for (pending_job& each : batch) {
            // An earlier attempt may still be executed.
            const bool earlier_uncertain = each.attempts > 1;
            each.failure = outcome.error().to_string();
            if ((uncertain || earlier_uncertain) && each.attempts < max_attempts) {
                this->queue.push_back(std::move(each));
            } else {
                this->complete(each, uncertain || earlier_uncertain ? job_call_result::unknown
                                                                    : job_call_result::rejected);
            }
        }
        return accepted;
    }
    if (outcome.value().committed) {
        for (pending_job& each : batch) {
            if (each.shed) {
                this->complete(each, job_call_result::overloaded);
                continue;
            }
            this->complete(each, job_call_result::accepted);
            accepted.push_back(std::move(each.job));
        }
        return accepted;
    }
    std::map<std::string, const store::item*> present;
    for (const store::item& each : outcome.value().current) {
        if (each.revision != 0) {
            present[each.key] = &each;
        }
    }
    this->observe_admission(present, std::any_of(batch.begin(), batch.end(),
                                                 [](const auto& each) { return each.shed; }));
    for (pending_job& each : batch) {
        const auto open = present.find(store_keys::make_key(store_keys::jobs, each.job.id));
        const auto closed = present.find(store_keys::make_key(store_keys::closed, each.job.id));
        if (open != present.end()) {
            const auto stored = jobs::decode_job(open->second->value, open->first);
            const bool same = stored.has_value() && stored.value().team == each.job.team &&
                              stored.value().queue == each.job.queue;
            this->complete(each, same ? job_call_result::accepted : job_call_result::conflict);
        } else if (closed != present.end()) {
            const auto stored = parse_closed_job(closed->second->value);
            const bool withdrawn = stored && stored->withdrawn;
            if (stored && !stored->is_visible_to({each.job.queue, each.job.team})) {
                if (!withdrawn) {
                    this->complete(each, job_call_result::conflict);
                    continue;
                }
                each.foreign_withdrawal = closed->second->revision;
                --each.attempts;
                this->queue.push_front(std::move(each));
                continue;
            }
            each.failure = withdrawn ? "cancelled before it was stored" : "";
            this->complete(each,
                           withdrawn ? job_call_result::withdrawn : job_call_result::accepted);
        } else {
            // Another job, a changed share or the purge of a foreign withdrawal failed the batch.
            --each.attempts;
            each.foreign_withdrawal = 0;
            this->queue.push_front(std::move(each));
        }
    }
    return accepted;
}

void job_frontend::complete(pending_job& each, job_call_result call_result)
{
    --this->open_call_count;
    if (call_result == job_call_result::rejected && !this->is_refusal_certain(each.job.id)) {
        call_result = job_call_result::unknown;
        each.failure += "; an earlier submission may have been stored";
        this->unconfirmed.add(each.job.id, this->clock.steady_now()); // its caller may come again
    }
    nlohmann::json fields{{"job", each.job.id},
                          {"queue", each.job.queue},
                          {"team", each.job.team},
                          {"tries", each.attempts}};
    if (!each.failure.empty()) {
        const auto held = std::chrono::duration_cast<common::milliseconds>(
            this->clock.steady_now() - each.received_at);
        fields["cause"] = each.failure;
        fields["held_ms"] = held.count();
    }
    switch (call_result) {
    case job_call_result::accepted:
        this->log.write(common::event_id::job_accepted, fields);
        break;
    case job_call_result::overloaded:
        this->log.write(common::event_id::job_shed, fields);
        break;
    case job_call_result::unknown:
        this->log.write(common::event_id::job_unknown_fate, fields);
        break;
    default:
        this->log.write(common::event_id::job_refused, fields);
        break;
    }
    each.done(call_result);
}

void job_frontend::cancel(const std::string& id, const jobs::job_scope& caller,
                          std::function<void(job_call_result)> done)
{
    ++this->open_call_count;
    auto finish = [this, done = std::move(done)](job_call_result call_result) {
        --this->open_call_count;
        done(call_result);
    };
    const std::string key = store_keys::make_key(store_keys::jobs, id);
    this->store.read(key, [this, id, caller, finish = std::move(finish)](
                              common::result<std::optional<store::item>> read) {
        if (!read) {
            finish(job_call_result::rejected);
        } else if (read.value()) {
            this->cancel_stored(*read.value(), id, caller, finish);
        } else {
            this->cancel_unless_closed(id, caller, finish);
        }
    });
}

void job_frontend::cancel_stored(const store::item& stored, const std::string& id,
                                 const jobs::job_scope& caller, call_result_handler done)
{
    const auto job = jobs::decode_job(stored.value, stored.key);
    if (job && !caller.contains(job.value().queue, job.value().team)) {
        done(job_call_result::no_such_job);
        return;
    }
    this->store_cancellation(id, stored.revision, std::move(done));
}

void job_frontend::cancel_unless_closed(const std::string& id, const jobs::job_scope& caller,
                                        call_result_handler done)
{
    this->read_closed(id, [this, id, caller, done = std::move(done)](
                              common::result<std::optional<stored_closed_job>> read) {
        if (!read) {
            done(job_call_result::rejected);
        } else if (!read.value()) {
            this->withdraw(id, caller, 0, done);
        } else if (read.value()->entry.is_visible_to(caller)) {
            done(read.value()->entry.withdrawn ? job_call_result::no_such_job
                                               : job_call_result::accepted);
        } else if (read.value()->entry.withdrawn) {
            this->withdraw(id, caller, read.value()->revision, done);
        } else {
            done(job_call_result::no_such_job);
        }
    });
}

void job_frontend::store_cancellation(const std::string& id, std::int64_t job_revision,
                                      call_result_handler done)
{
    store::transaction changes;
    changes.expected.push_back({store_keys::make_key(store_keys::jobs, id), job_revision});
    changes.set.push_back({store_keys::make_key(store_keys::cancels, id), "1", 0});
    this->store.commit(
        changes, [this, id, done = std::move(done)](common::result<store::commit_outcome> outcome) {
            if (!outcome) {
                done(outcome.error().may_have_been_done() ? job_call_result::unknown
                                                          : job_call_result::rejected);
                return;
            }
            // If not committed, the job was closed in the meantime: nothing is left to cancel.
            if (outcome.value().committed) {
                this->owner.notify_cancel(id, outcome.value().revision);
            }
            done(job_call_result::accepted);
        });
}

void job_frontend::withdraw(const std::string& id, const jobs::job_scope& caller,
                            std::int64_t foreign_withdrawal, call_result_handler done)
{
    // A write of the submission that got no response may still be executed seconds later, so its
    // condition is made to fail.
    const std::string job_key = store_keys::make_key(store_keys::jobs, id);
    const std::string closed_key = store_keys::make_key(store_keys::closed, id);
    const closed_job entry{jobs::job_state::cancelled,
                           common::unix_milliseconds(this->clock.wall_now()), true, caller};
    store::transaction changes;
    changes.expected.push_back({job_key, 0});
    changes.expected.push_back({closed_key, foreign_withdrawal});
    changes.set.push_back({closed_key, encode_closed_job(entry), 0});
    this->store.commit(changes, [this, id, caller, job_key, done = std::move(done)](
                                    common::result<store::commit_outcome> outcome) {
        if (!outcome) {
            done(outcome.error().may_have_been_done() ? job_call_result::unknown
                                                      : job_call_result::rejected);
            return;
        }
        if (outcome.value().committed) {
            done(job_call_result::no_such_job);
            return;
        }
        for (const store::item& each : outcome.value().current) {
            if (each.key == job_key && each.revision != 0) {
                this->cancel_stored(each, id, caller, done); // submitted in the meantime
                return;
            }
        }
        this->cancel_unless_closed(id, caller, done);
    });
}

void job_frontend::state(const std::string& id, const jobs::job_scope& caller,
                         store::handler<std::optional<jobs::job_state>> done)
{
    this->owner.query_state(id, caller,
                            [this, id, caller, done = std::move(done)](
                                common::result<std::optional<jobs::job_state>> answer) mutable {
                                if (answer.has_value() && answer.value()) {
                                    done(std::move(answer));
                                    return;
                                }
                                // The owner may not know a new job yet, or there may be no owner at
                                // present.
                                this->read_state(id, caller, std::move(done));
                            });
}

void job_frontend::read_state(const std::string& id, const jobs::job_scope& caller,
                              store::handler<std::optional<jobs::job_state>> done)
{
    // The job's own entry is read before the closed one, so that a job which is closed between
    // these reads is found by the second.
    this->store.read(
        store_keys::make_key(store_keys::jobs, id),
        [this, id, caller,
         done = std::move(done)](common::result<std::optional<store::item>> job) mutable {
            if (!job) {
                done(job.error());
                return;
            }
            if (!job.value()) {
                this->read_closed(id, [caller, done = std::move(done)](
                                          common::result<std::optional<stored_closed_job>> closed) {
                    if (!closed) {
                        done(closed.error());
                        return;
                    }
                    const bool known = closed.value() && !closed.value()->entry.withdrawn &&
                                       closed.value()->entry.is_visible_to(caller);
                    done(known ? std::optional(closed.value()->entry.state) : std::nullopt);
                });
                return;
            }
            const auto stored = jobs::decode_job(job.value()->value, job.value()->key);
            if (stored && !caller.contains(stored.value().queue, stored.value().team)) {
                done(std::optional<jobs::job_state>{});
                return;
            }
            this->store.read(
                store_keys::make_key(store_keys::progress, id),
                [id, done = std::move(done)](common::result<std::optional<store::item>> read) {
                    if (!read) {
                        done(read.error());
                        return;
                    }
                    if (!read.value()) {
                        done(std::optional(jobs::job_state::pending));
                        return;
                    }
                    const auto progress = scheduling::decode_progress(read.value()->value, id);
                    if (!progress) {
                        done(progress.error());
                        return;
                    }
                    done(std::optional(progress.value().state));
                });
        });
}

void job_frontend::read_closed(const std::string& id,
                               store::handler<std::optional<stored_closed_job>> done)
{
    this->store.read(
        store_keys::make_key(store_keys::closed, id),
        [id, done = std::move(done)](common::result<std::optional<store::item>> read) {
            if (!read) {
                done(read.error());
                return;
            }
            if (!read.value()) {
                done(std::optional<stored_closed_job>{});
                return;
            }
            const auto entry = parse_closed_job(read.value()->value);
            if (!entry) {
                done(make_error(errc::bad_message, "read closed job", id, "not a valid job state"));
                return;
            }
            done(std::optional(stored_closed_job{*entry, read.value()->revision}));
        });
}

void job_frontend::waiting(const std::string& of_queue, store::handler<std::int64_t> done)
{
    this->owner.query_waiting(of_queue, std::move(done));
}

} // namespace chervilslip::daemon
