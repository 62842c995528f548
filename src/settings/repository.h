#pragma once

#include <deque>

#include "common/crypto.h"
#include "settings/checker.h"
#include "settings/manifest.h"
#include "store/confirmed_swap.h"

namespace chervilslip::settings {

/// A document tree with the manifest it was loaded from.
struct loaded_tree {
    manifest source;
    std::int64_t store_revision = store::no_revision; ///< of the manifest
    document_tree tree;
    checked_tree checked;
};

using load_handler = std::function<void(common::result<std::shared_ptr<const loaded_tree>>)>;

/// Outcome of a proposal.
enum class commit_status {
    accepted,
    conflicting, ///< another change modified the same path first
    invalid,     ///< the new settings violate a rule
    uncertain,   ///< not confirmed by the store in time; retry with the same change id
};

/// Result of a proposal.
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

/// Loads and changes the settings in the store. A change first writes its content-addressed
/// documents and then replaces the manifest that references them with one compare-and-swap, so it
/// is accepted atomically. Not thread safe. Precondition: store and clock outlive the repository.
template <store::key_value_store Store>
class repository {
public:
    repository(Store& key_value_store, const common::clock& time_source)
        : store(key_value_store), clock(time_source)
    {
    }

    /// Loads the latest accepted settings. Errors: of the store, or `bad_message`.
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

    /// Loads the settings of a manifest value received from a watch. Errors: as for `load`.
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
            loading->pending_paths.push_back(path);
        }
        this->continue_load(loading);
    }

    /// Commits a proposal; retries when a concurrent change modified other paths only.
    void commit(const proposal& wanted, commit_handler handler)
    {
        auto operation = std::make_shared<commit_operation>();
        operation->wanted = wanted;
        operation->handler = std::move(handler);
        this->start_attempt(operation);
    }

    /// Reads up to `limit` change records, newest first, starting at the record with hash `newest`.
    void history(const std::string& newest, std::size_t limit, history_handler handler)
    {
        auto operation = std::make_shared<history_operation>();
        operation->limit = limit;
        operation->handler = std::move(handler);
        this->continue_history(operation, newest);
    }

    /// Reads one content-addressed document. Errors: of the store, or `not_found`.
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
                this->add_to_cache(hash, now.value()->value);
                handler(boost::outcome_v2::success(now.value()->value));
            });
    }

    /// Caches a document received from a peer if its hash matches.
    void cache_document(const std::string& hash, const std::string& text)
    {
        if (common::sha256_hex(text) == hash) {
            this->add_to_cache(hash, text);
        }
    }

private:
    static constexpr std::size_t max_parallel_reads = 16;
    static constexpr std::size_t max_cached_documents = 8192;
    static constexpr int max_commit_attempts = 8;
    static constexpr std::size_t max_searched_records = 64;

    struct load_operation {
        loaded_tree tree;
        std::vector<std::string> pending_paths;
        std::size_t reads_in_flight = 0;
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
        std::size_t limit = 0;
        std::vector<change_record> records;
        history_handler handler;
    };

    void add_to_cache(const std::string& hash, const std::string& text)
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
        while (!loading->pending_paths.empty() && loading->reads_in_flight < max_parallel_reads) {
            const std::string path = loading->pending_paths.back();
            loading->pending_paths.pop_back();
            ++loading->reads_in_flight;
            const std::string& hash = loading->tree.source.entries.at(path).hash;
            this->fetch(hash, [this, loading, path](common::result<std::string> text) {
                --loading->reads_in_flight;
                this->handle_document(*loading, path, text);
                if (loading->pending_paths.empty() && loading->reads_in_flight == 0) {
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

    void handle_document(load_operation& loading, const std::string& path,
                         const common::result<std::string>& text)
    {
        if (!text) {
            loading.failure = text.error();
            loading.pending_paths.clear();
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
        auto loaded = std::make_shared<loaded_tree>(std::move(loading->tree));
        loaded->checked = check_tree(loaded->tree);
        loaded->checked.typed.number = loaded->source.number;
        loaded->checked.typed.change = loaded->source.change;
        handler(std::shared_ptr<const loaded_tree>(std::move(loaded)));
    }

    void start_attempt(const std::shared_ptr<commit_operation>& operation)
    {
        if (++operation->attempts > max_commit_attempts) {
            this->finish(operation, commit_status::uncertain, "too many concurrent changes");
            return;
        }
        this->load([this, operation](common::result<std::shared_ptr<const loaded_tree>> base) {
            if (!base) {
                this->finish(operation, commit_status::uncertain, base.error().to_string());
                return;
            }
            operation->base = base.value();
            this->find_previous_commit(operation);
        });
    }

    /// A retry after a lost response must find the change that the first call committed.
    void find_previous_commit(const std::shared_ptr<commit_operation>& operation)
    {
        this->history(operation->base->source.change, max_searched_records,
                      [this, operation](common::result<std::vector<change_record>> records) {
                          if (!records) {
                              this->finish(operation, commit_status::uncertain,
                                           records.error().to_string());
                              return;
                          }
                          for (const change_record& each : records.value()) {
                              if (each.id == operation->wanted.id) {
                                  this->finish_accepted(operation, each.number);
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
            outcome.cause = "another change modified the same path first";
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
            outcome.cause = "the new settings violate a rule";
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
        // The key is the hash of the content, so any value found there is this document.
        const auto is_stored = [](const std::optional<store::versioned_value>& now,
                                  const std::function<void(bool)>& callback) {
            callback(now.has_value());
        };
        store::confirmed_swap(
            this->store, {document_key(hash), store::no_revision, text, store::no_lease},
            store::purpose::settings_write, is_stored,
            [this, operation, hash, text](store::swap_result result, const common::error& last) {
                if (result != store::swap_result::applied) {
                    this->finish(operation, commit_status::uncertain, last.to_string());
                    return;
                }
                this->add_to_cache(hash, text);
                this->write_next_document(operation);
            });
    }

    void swap_manifest(const std::shared_ptr<commit_operation>& operation)
    {
        const manifest next = apply_change(operation->base->source, operation->change);
        const auto in_chain = [this, operation](const std::optional<store::versioned_value>& now,
                                                const std::function<void(bool)>& callback) {
            this->search_chain(operation, now, callback);
        };
        store::confirmed_swap(
            this->store,
            {manifest_key, operation->base->store_revision, canonical_text(to_json(next)),
             store::no_lease},
            store::purpose::settings_write, in_chain,
            [this, operation](store::swap_result result, const common::error& last) {
                this->handle_swap_result(operation, result, last);
            });
    }

    /// The write took effect if its record is in the chain, even when later changes follow it.
    void search_chain(const std::shared_ptr<commit_operation>& operation,
                      const std::optional<store::versioned_value>& now,
                      const std::function<void(bool)>& callback)
    {
        const auto current =
            now ? parse_manifest(now->value) : common::result<manifest>(manifest{});
        if (!current) {
            callback(false);
            return;
        }
        this->history(current.value().change, max_searched_records,
                      [operation, callback](common::result<std::vector<change_record>> records) {
                          const bool found =
                              records && std::any_of(records.value().begin(), records.value().end(),
                                                     [&operation](const change_record& each) {
                                                         return each.id == operation->wanted.id;
                                                     });
                          callback(found);
                      });
    }

    void handle_swap_result(const std::shared_ptr<commit_operation>& operation,
                            store::swap_result result, const common::error& last)
    {
        switch (result) {
        case store::swap_result::applied:
            this->finish_accepted(operation, operation->change.number);
            return;
        case store::swap_result::conflict:
            this->start_attempt(operation);
            return;
        case store::swap_result::uncertain:
            this->finish(operation, commit_status::uncertain, last.to_string());
            return;
        }
    }

    void finish_accepted(const std::shared_ptr<commit_operation>& operation, std::int64_t number)
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

    void continue_history(const std::shared_ptr<history_operation>& operation,
                          const std::string& hash)
    {
        if (hash.empty() || operation->records.size() >= operation->limit) {
            operation->handler(boost::outcome_v2::success(std::move(operation->records)));
            return;
        }
        this->fetch(hash, [this, operation](common::result<std::string> text) {
            if (!text) {
                operation->handler(boost::outcome_v2::failure(text.error()));
                return;
            }
            const auto record = parse_change(text.value());
            if (!record) {
                operation->handler(boost::outcome_v2::failure(record.error()));
                return;
            }
            operation->records.push_back(record.value());
            this->continue_history(operation, record.value().previous);
        });
    }

    Store& store;
    const common::clock& clock;
    std::map<std::string, std::string> cache; ///< content hash to text
    std::deque<std::string> cache_order;
};

} // namespace chervilslip::settings
