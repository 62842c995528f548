#pragma once

#include <deque>

#include "common/crypto.h"
#include "settings/checker.h"
#include "settings/manifest.h"
#include "store/confirmed_swap.h"

namespace chervilslip::settings {

/// A tree of documents together with the manifest that it was read by.
struct loaded_tree {
    manifest source;
    std::int64_t store_revision = store::no_revision; ///< of the manifest
    document_tree tree;
    checked_tree checked;
};

using load_handler = std::function<void(common::result<std::shared_ptr<const loaded_tree>>)>;

/// How a proposal ended.
enum class commit_status {
    accepted,
    conflicting, ///< another change altered the same path first
    invalid,     ///< the new settings break a rule
    uncertain,   ///< the store did not answer in time; ask again with the same change id
};

/// The whole answer to a proposal.
struct commit_outcome {
    commit_status status = commit_status::uncertain;
    std::int64_t number = 0;
    std::vector<edit_conflict> conflicts;
    std::vector<problem> problems;
    std::string cause;

    friend bool operator==(const commit_outcome&, const commit_outcome&) = default;
};

using commit_handler = std::function<void(const commit_outcome& outcome)>;
using history_handler = std::function<void(common::result<std::vector<change_record>>)>;
using text_handler = std::function<void(common::result<std::string>)>;

/// Reads and changes the settings in the store by compare-and-swap of one key. Content-addressed
/// documents are written first, then the manifest that names them is swapped, so a change is
/// accepted whole or not at all. Not thread safe. Precondition: store and clock outlive it.
template <store::key_value_store Store>
class repository {
public:
    repository(Store& key_value_store, const common::clock& time_source)
        : store(key_value_store), clock(time_source)
    {
    }

    /// Reads the newest accepted settings. Errors: of the store, or `bad_message`.
    void load(load_handler handler)
    {
        this->store.read(
            manifest_key, store::purpose::settings_read,
            [this, handler](common::result<std::optional<store::versioned_value>> now) {
                if (!now) {
                    handler(now.error());
                    return;
                }
                this->load_value(now.value(), handler);
            });
    }

    /// Reads the settings of a manifest value that a watch showed. Errors: as for `load`.
    void load_value(const std::optional<store::versioned_value>& value, load_handler handler)
    {
        auto loading = std::make_shared<load_operation>();
        loading->handler = std::move(handler);
        if (value) {
            const auto parsed = parse_manifest(value->value);
            if (!parsed) {
                loading->handler(parsed.error());
                return;
            }
            loading->tree.source = parsed.value();
            loading->tree.store_revision = value->revision;
        }
        for (const auto& [path, entry] : loading->tree.source.entries) {
            loading->waiting.push_back(path);
        }
        this->continue_load(loading);
    }

    /// Proposes a change and says how it ended; retries races on other paths.
    void commit(const proposal& wanted, commit_handler handler)
    {
        auto operation = std::make_shared<commit_operation>();
        operation->wanted = wanted;
        operation->handler = std::move(handler);
        this->start_attempt(operation);
    }

    /// Reads the newest `most` change records, newest first, of the manifest given.
    void history(const std::string& newest, std::size_t most, history_handler handler)
    {
        auto reading = std::make_shared<history_operation>();
        reading->most = most;
        reading->handler = std::move(handler);
        this->continue_history(reading, newest);
    }

    /// Reads one content-addressed text. Errors: of the store, or `not_found`.
    void fetch(const std::string& hash, text_handler handler)
    {
        const auto cached = this->cache.find(hash);
        if (cached != this->cache.end()) {
            handler(boost::outcome_v2::success(cached->second));
            return;
        }
        this->store.read(
            document_key(hash), store::purpose::settings_read,
            [this, hash, handler](common::result<std::optional<store::versioned_value>> now) {
                if (!now) {
                    handler(boost::outcome_v2::failure(now.error()));
                    return;
                }
                if (!now.value()) {
                    handler(boost::outcome_v2::failure(common::make_error(
                        common::errc::not_found, "read document", "store", hash)));
                    return;
                }
                this->remember(hash, now.value()->value);
                handler(boost::outcome_v2::success(now.value()->value));
            });
    }

    /// Keeps a text that a peer gave, if its hash is right.
    void cache_document(const std::string& hash, const std::string& text)
    {
        if (common::sha256_hex(text) == hash) {
            this->remember(hash, text);
        }
    }

private:
    static constexpr std::size_t parallel_reads = 16;
    static constexpr std::size_t max_cached_documents = 8192;
    static constexpr int max_race_attempts = 8;
    static constexpr std::size_t max_searched_changes = 64;

    struct load_operation {
        loaded_tree tree;
        std::vector<std::string> waiting;
        std::size_t reading = 0;
        std::optional<common::error> failure;
        load_handler handler;
    };

    struct commit_operation {
        proposal wanted;
        commit_handler handler;
        std::shared_ptr<const loaded_tree> base;
        change_record change;
        std::vector<std::string> texts;
        int attempts = 0;
    };

    struct history_operation {
        std::size_t most = 0;
        std::vector<change_record> records;
        history_handler handler;
    };

    void remember(const std::string& hash, const std::string& text)
    {
        if (this->cache.emplace(hash, text).second) {
            this->cache_order.push_back(hash);
        }
        if (this->cache_order.size() > max_cached_documents) {
            this->cache.erase(this->cache_order.front());
            this->cache_order.pop_front();
        }
    }

    void continue_load(const std::shared_ptr<load_operation>& loading)
    {
        while (!loading->waiting.empty() && loading->reading < parallel_reads) {
            const std::string path = loading->waiting.back();
            loading->waiting.pop_back();
            ++loading->reading;
            const std::string& hash = loading->tree.source.entries.at(path).hash;
            this->fetch(hash, [this, loading, path](common::result<std::string> text) {
                --loading->reading;
                this->take_document(*loading, path, text);
                if (loading->waiting.empty() && loading->reading == 0) {
                    this->finish_load(loading);
                } else {
                    this->continue_load(loading);
                }
            });
        }
        if (loading->tree.source.entries.empty()) {
            this->finish_load(loading);
        }
    }

    void take_document(load_operation& loading, const std::string& path,
                       const common::result<std::string>& text)
    {
        if (!text) {
            loading.failure = text.error();
            loading.waiting.clear();
            return;
        }
        auto value = nlohmann::json::parse(text.value(), nullptr, false);
        if (value.is_discarded()) {
            loading.failure =
                common::make_error(common::errc::bad_message, "read document", "store", path);
            return;
        }
        loading.tree.tree[path] = {std::move(value), path};
    }

    void finish_load(const std::shared_ptr<load_operation>& loading)
    {
        const load_handler handler = std::exchange(loading->handler, nullptr);
        if (!handler) {
            return;
        }
        if (loading->failure) {
            handler(*loading->failure);
            return;
        }
        auto whole = std::make_shared<loaded_tree>(std::move(loading->tree));
        whole->checked = check_tree(whole->tree);
        whole->checked.typed.number = whole->source.number;
        whole->checked.typed.change = whole->source.change;
        handler(std::shared_ptr<const loaded_tree>(std::move(whole)));
    }

    void start_attempt(const std::shared_ptr<commit_operation>& operation)
    {
        if (++operation->attempts > max_race_attempts) {
            this->finish(operation, commit_status::uncertain, "too many changes at once");
            return;
        }
        this->load([this, operation](common::result<std::shared_ptr<const loaded_tree>> base) {
            if (!base) {
                this->finish(operation, commit_status::uncertain, base.error().to_string());
                return;
            }
            operation->base = base.value();
            this->find_earlier(operation);
        });
    }

    /// A repeated call, after a lost answer, must find the change that its first call made.
    void find_earlier(const std::shared_ptr<commit_operation>& operation)
    {
        this->history(operation->base->source.change, max_searched_changes,
                      [this, operation](common::result<std::vector<change_record>> records) {
                          if (!records) {
                              this->finish(operation, commit_status::uncertain,
                                           records.error().to_string());
                              return;
                          }
                          for (const change_record& each : records.value()) {
                              if (each.id == operation->wanted.id) {
                                  this->accept(operation, each.number);
                                  return;
                              }
                          }
                          this->check(operation);
                      });
    }

    void check(const std::shared_ptr<commit_operation>& operation)
    {
        commit_outcome outcome;
        outcome.conflicts = find_conflicts(operation->base->source, operation->wanted);
        if (!outcome.conflicts.empty()) {
            outcome.status = commit_status::conflicting;
            outcome.cause = "another change altered the same path first";
            operation->handler(outcome);
            return;
        }
        document_tree next = operation->base->tree;
        for (const proposal::edit& each : operation->wanted.edits) {
            if (each.value) {
                next[each.path] = {*each.value, each.path};
            } else {
                next.erase(each.path);
            }
        }
        const checked_tree checked = check_tree(next);
        outcome.problems = checked.problems;
        const auto transition = check_transition(operation->base->checked.typed, checked.typed);
        outcome.problems.insert(outcome.problems.end(), transition.begin(), transition.end());
        if (!outcome.problems.empty()) {
            outcome.status = commit_status::invalid;
            outcome.cause = "the new settings break a rule";
            operation->handler(outcome);
            return;
        }
        this->write_documents(operation);
    }

    void write_documents(const std::shared_ptr<commit_operation>& operation)
    {
        operation->change =
            make_change(operation->base->source, operation->wanted, this->clock.wall_now());
        operation->texts = {canonical_text(to_json(operation->change))};
        for (const proposal::edit& each : operation->wanted.edits) {
            if (each.value) {
                operation->texts.push_back(canonical_text(*each.value));
            }
        }
        this->write_next_document(operation);
    }

    void write_next_document(const std::shared_ptr<commit_operation>& operation)
    {
        if (operation->texts.empty()) {
            this->swap_manifest(operation);
            return;
        }
        const std::string text = operation->texts.back();
        operation->texts.pop_back();
        const std::string hash = common::sha256_hex(text);
        if (this->cache.contains(hash)) {
            this->write_next_document(operation);
            return;
        }
        // A document's key is its content's hash, so a value found there is this very value.
        const auto already_there = [](const std::optional<store::versioned_value>& now,
                                      const std::function<void(bool)>& answer) {
            answer(now.has_value());
        };
        store::confirmed_swap(
            this->store, {document_key(hash), store::no_revision, text, store::no_lease},
            store::purpose::settings_write, already_there,
            [this, operation, hash, text](store::swap_result result, const common::error& last) {
                if (result != store::swap_result::applied) {
                    this->finish(operation, commit_status::uncertain, last.to_string());
                    return;
                }
                this->remember(hash, text);
                this->write_next_document(operation);
            });
    }

    void swap_manifest(const std::shared_ptr<commit_operation>& operation)
    {
        const manifest next = apply_change(operation->base->source, operation->change);
        const auto in_chain = [this, operation](const std::optional<store::versioned_value>& now,
                                                const std::function<void(bool)>& answer) {
            this->search_chain(operation, now, answer);
        };
        store::confirmed_swap(
            this->store,
            {manifest_key, operation->base->store_revision, canonical_text(to_json(next)),
             store::no_lease},
            store::purpose::settings_write, in_chain,
            [this, operation](store::swap_result result, const common::error& last) {
                this->after_swap(operation, result, last);
            });
    }

    /// The write took effect if its record is in the chain, even under changes of others.
    void search_chain(const std::shared_ptr<commit_operation>& operation,
                      const std::optional<store::versioned_value>& now,
                      const std::function<void(bool)>& answer)
    {
        const auto current =
            now ? parse_manifest(now->value) : common::result<manifest>(manifest{});
        if (!current) {
            answer(false);
            return;
        }
        this->history(current.value().change, max_searched_changes,
                      [operation, answer](common::result<std::vector<change_record>> records) {
                          const bool found =
                              records && std::any_of(records.value().begin(), records.value().end(),
                                                     [&operation](const change_record& each) {
                                                         return each.id == operation->wanted.id;
                                                     });
                          answer(found);
                      });
    }

    void after_swap(const std::shared_ptr<commit_operation>& operation, store::swap_result result,
                    const common::error& last)
    {
        switch (result) {
        case store::swap_result::applied:
            this->accept(operation, operation->change.number);
            return;
        case store::swap_result::conflict:
            this->start_attempt(operation);
            return;
        case store::swap_result::uncertain:
            this->finish(operation, commit_status::uncertain, last.to_string());
            return;
        }
    }

    void accept(const std::shared_ptr<commit_operation>& operation, std::int64_t number)
    {
        commit_outcome outcome;
        outcome.status = commit_status::accepted;
        outcome.number = number;
        operation->handler(outcome);
    }

    void finish(const std::shared_ptr<commit_operation>& operation, commit_status status,
                const std::string& cause)
    {
        commit_outcome outcome;
        outcome.status = status;
        outcome.cause = cause;
        operation->handler(outcome);
    }

    void continue_history(const std::shared_ptr<history_operation>& reading,
                          const std::string& hash)
    {
        if (hash.empty() || reading->records.size() >= reading->most) {
            reading->handler(boost::outcome_v2::success(std::move(reading->records)));
            return;
        }
        this->fetch(hash, [this, reading](common::result<std::string> text) {
            if (!text) {
                reading->handler(boost::outcome_v2::failure(text.error()));
                return;
            }
            const auto record = parse_change(text.value());
            if (!record) {
                reading->handler(boost::outcome_v2::failure(record.error()));
                return;
            }
            reading->records.push_back(record.value());
            this->continue_history(reading, record.value().previous);
        });
    }

    Store& store;
    const common::clock& clock;
    std::map<std::string, std::string> cache; ///< content hash to text
    std::deque<std::string> cache_order;
};

} // namespace chervilslip::settings
