#include "daemon/job_frontend.h"

#include <charconv>

#include "daemon/store_keys.h"
#include "jobs/job_codec.h"
#include "scheduling/progress.h"

namespace chervilslip::daemon {

using common::errc;
using common::make_error;

namespace {

/// Two conditions and one value a job; a transaction has room for so many.
constexpr std::size_t most_jobs_of_batch = 8;

/// A job whose write stays unanswered is tried so often; the same conditions hold each time.
constexpr int most_tries = 3;

} // namespace

job_frontend::job_frontend(store::transactional_store& keeps, owner_client& of,
                           const common::event_log& to, std::function<bool()> is_lost)
    : store(keeps), owner(of), log(to), store_lost(std::move(is_lost))
{
}

std::size_t job_frontend::open_calls() const
{
    return this->calls;
}

void job_frontend::submit(jobs::job wanted, std::function<void(job_call_result)> done)
{
    ++this->calls;
    std::string encoded = jobs::encode_job(wanted);
    this->queue.push_back({std::move(wanted), std::move(encoded), std::move(done), 0});
    this->refuse_unsent();
    this->write_next();
}

void job_frontend::refuse_unsent()
{
    if (!this->store_lost()) {
        return;
    }
    std::deque<handed_in> sent;
    for (handed_in& each : std::exchange(this->queue, {})) {
        if (each.tries == 0) {
            this->settle(each, job_call_result::not_run);
        } else {
            sent.push_back(std::move(each));
        }
    }
    std::move(this->queue.begin(), this->queue.end(), std::back_inserter(sent));
    this->queue = std::move(sent);
}

void job_frontend::write_next()
{
    if (this->writing || this->queue.empty()) {
        return;
    }
    this->writing = true;
    std::vector<handed_in> batch;
    std::set<std::string> ids;
    store::transaction changes;
    while (!this->queue.empty() && batch.size() < most_jobs_of_batch &&
           ids.insert(this->queue.front().job.id).second) {
        handed_in each = std::move(this->queue.front());
        this->queue.pop_front();
        const std::string key = store_keys::of(store_keys::jobs, each.job.id);
        changes.expected.push_back({key, 0});
        changes.expected.push_back({store_keys::of(store_keys::closed, each.job.id), 0});
        changes.set.push_back({key, each.encoded, 0});
        ++each.tries;
        batch.push_back(std::move(each));
    }
    this->store.commit(changes, [this, batch = std::move(batch)](
                                    common::result<store::commit_outcome> outcome) mutable {
        this->writing = false;
        this->take_written(std::move(batch), std::move(outcome));
        this->refuse_unsent();
        this->write_next();
    });
}

void job_frontend::take_written(std::vector<handed_in> batch,
                                common::result<store::commit_outcome> outcome)
{
    if (!outcome) {
        const bool maybe = outcome.error().may_have_been_done();
        for (handed_in& each : batch) {
            // A try before this one may still be carried out.
            const bool maybe_earlier = each.tries > 1;
            if ((maybe || maybe_earlier) && each.tries < most_tries) {
                this->queue.push_back(std::move(each));
            } else {
                this->settle(each, maybe || maybe_earlier ? job_call_result::unknown
                                                          : job_call_result::not_run);
            }
        }
        return;
    }
    if (outcome.value().committed) {
        for (handed_in& each : batch) {
            this->owner.hint_job(each.job);
            this->settle(each, job_call_result::accepted);
        }
        return;
    }
    std::map<std::string, const store::item*> present;
    for (const store::item& each : outcome.value().current) {
        if (each.revision != 0) {
            present[each.key] = &each;
        }
    }
    for (handed_in& each : batch) {
        const auto open = present.find(store_keys::of(store_keys::jobs, each.job.id));
        if (open != present.end()) {
            const auto stored = jobs::decode_job(open->second->value, open->first);
            const bool same = stored.has_value() && stored.value().team == each.job.team &&
                              stored.value().queue == each.job.queue;
            this->settle(each, same ? job_call_result::accepted : job_call_result::conflict);
        } else if (present.contains(store_keys::of(store_keys::closed, each.job.id))) {
            this->settle(each, job_call_result::accepted);
        } else {
            --each.tries; // refused for a neighbour's sake; nothing was done for this one
            this->queue.push_front(std::move(each));
        }
    }
}

void job_frontend::settle(handed_in& each, job_call_result fate)
{
    --this->calls;
    const nlohmann::json fields{{"job", each.job.id},
                                {"queue", each.job.queue},
                                {"team", each.job.team},
                                {"tries", each.tries}};
    switch (fate) {
    case job_call_result::accepted:
        this->log.write(common::event_id::job_accepted, fields);
        break;
    case job_call_result::unknown:
        this->log.write(common::event_id::job_unknown_fate, fields);
        break;
    default:
        this->log.write(common::event_id::job_refused, fields);
        break;
    }
    each.done(fate);
}

void job_frontend::cancel(const std::string& id, std::function<void(job_call_result)> done)
{
    ++this->calls;
    auto finish = [this, done = std::move(done)](job_call_result fate) {
        --this->calls;
        done(fate);
    };
    const std::string key = store_keys::of(store_keys::jobs, id);
    this->store.read(key, [this, id, key, finish](common::result<std::optional<store::item>> read) {
        if (!read) {
            finish(job_call_result::not_run);
            return;
        }
        if (!read.value()) {
            this->read_closed(id, [finish](common::result<std::optional<jobs::job_state>> state) {
                if (!state) {
                    finish(job_call_result::not_run);
                    return;
                }
                finish(state.value() ? job_call_result::accepted : job_call_result::no_such_job);
            });
            return;
        }
        store::transaction changes;
        changes.expected.push_back({key, read.value()->revision});
        changes.set.push_back({store_keys::of(store_keys::cancels, id), "1", 0});
        this->store.commit(
            changes, [this, id, finish](common::result<store::commit_outcome> outcome) {
                if (!outcome) {
                    finish(outcome.error().may_have_been_done() ? job_call_result::unknown
                                                                : job_call_result::not_run);
                    return;
                }
                // Without a commit the job was closed in the meantime: nothing is left to cancel.
                if (outcome.value().committed) {
                    this->owner.hint_cancel(id);
                }
                finish(job_call_result::accepted);
            });
    });
}

void job_frontend::state(const std::string& id, store::handler<std::optional<jobs::job_state>> done)
{
    this->owner.ask_state(id, [this, id, done = std::move(done)](
                                  common::result<std::optional<jobs::job_state>> answer) mutable {
        if (answer.has_value() && answer.value()) {
            done(std::move(answer));
            return;
        }
        // The owner may not have seen a new job yet, or there is no owner now.
        this->read_state(id, std::move(done));
    });
}

void job_frontend::read_state(const std::string& id,
                              store::handler<std::optional<jobs::job_state>> done)
{
    // The job's own item is read first: when it is closed between two reads, the later one shows.
    this->store.read(
        store_keys::of(store_keys::jobs, id),
        [this, id, done = std::move(done)](common::result<std::optional<store::item>> job) mutable {
            if (!job) {
                done(job.error());
                return;
            }
            if (!job.value()) {
                this->read_closed(id, std::move(done));
                return;
            }
            this->store.read(
                store_keys::of(store_keys::progress, id),
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
                               store::handler<std::optional<jobs::job_state>> done)
{
    this->store.read(
        store_keys::of(store_keys::closed, id),
        [id, done = std::move(done)](common::result<std::optional<store::item>> read) {
            if (!read) {
                done(read.error());
                return;
            }
            if (!read.value()) {
                done(std::optional<jobs::job_state>{});
                return;
            }
            int state = -1;
            const std::string& text = read.value()->value;
            std::from_chars(text.data(), text.data() + text.size(), state);
            if (state < 0 || state > static_cast<int>(jobs::job_state::cancelled)) {
                done(make_error(errc::bad_message, "read closed job", id, "not a state"));
                return;
            }
            done(std::optional(static_cast<jobs::job_state>(state)));
        });
}

void job_frontend::waiting(const std::string& of_queue, store::handler<std::int64_t> done)
{
    this->owner.ask_waiting(of_queue, std::move(done));
}

} // namespace chervilslip::daemon
