#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "common/clock.h"
#include "common/error.h"

namespace chervilslip::store {

/// A key with its value.
struct item {
    std::string key;
    std::string value;
    std::int64_t revision = 0;         ///< of the last write
    std::int64_t created_revision = 0; ///< of the write that created the key
    std::uint64_t lease = 0;           ///< 0: none

    friend bool operator==(const item&, const item&) = default;
};

/// A page of the items under a prefix.
struct range_page {
    std::vector<item> items;
    bool more = false;
    std::int64_t store_revision = 0; ///< the store's revision at the time of the response

    friend bool operator==(const range_page&, const range_page&) = default;
};

/// A write or a deletion of one key.
struct change {
    item entry; ///< only key and revision are set when removed
    bool removed = false;

    friend bool operator==(const change&, const change&) = default;
};

/// Changes after a revision; empty when the watch timed out.
struct change_page {
    std::vector<change> changes;
    std::int64_t store_revision = 0; ///< where the next watch continues

    friend bool operator==(const change_page&, const change_page&) = default;
};

/// A precondition of a transaction: the key's revision, 0 when the key must not exist.
struct expectation {
    std::string key;
    std::int64_t revision = 0;

    friend bool operator==(const expectation&, const expectation&) = default;
};

/// A write within a transaction.
struct assignment {
    std::string key;
    std::string value;
    std::uint64_t lease = 0; ///< the key is deleted when the lease ends; 0: none

    friend bool operator==(const assignment&, const assignment&) = default;
};

/// Writes and deletions that are applied atomically if all preconditions hold.
struct transaction {
    std::vector<expectation> expected;
    std::vector<assignment> set;
    std::vector<std::string> remove;

    friend bool operator==(const transaction&, const transaction&) = default;
};

inline constexpr std::size_t max_transaction_entries = 32;

/// Outcome of a transaction.
struct commit_outcome {
    bool committed = false;
    std::int64_t revision = 0; ///< of the transaction, when committed
    std::vector<item> current; ///< when not committed: the current items of the keys in `expected`

    friend bool operator==(const commit_outcome&, const commit_outcome&) = default;
};

/// A granted lease; keys attached to it are deleted when it ends.
struct lease_grant {
    std::uint64_t id = 0;
    common::milliseconds time_to_live{0};

    friend bool operator==(const lease_grant&, const lease_grant&) = default;
};

template <typename T>
using handler = std::function<void(common::result<T>)>;

/// A store with multi-key transactions, range reads, watches and leases. Each handler is called
/// once, on the io_context's thread, never from within the call. Errors: `unavailable` and
/// `connect_failed` when the call had no effect, `not_found` for a lease that has ended, `expired`
/// for history that is no longer kept; after any other error the call may have taken effect. Not
/// thread safe.
class transactional_store {
public:
    transactional_store() = default;
    transactional_store(const transactional_store&) = delete;
    transactional_store& operator=(const transactional_store&) = delete;
    virtual ~transactional_store() = default;

    /// Reads the current item of a key; empty when it does not exist.
    virtual void read(const std::string& key, handler<std::optional<item>> done) = 0;

    /// Reads the page of items under a prefix whose keys follow `after`.
    virtual void range(const std::string& prefix, const std::string& after,
                       handler<range_page> done) = 0;

    /// Waits up to `wait` for changes under a prefix after revision `after`.
    virtual void watch(const std::string& prefix, std::int64_t after, common::milliseconds wait,
                       handler<change_page> done) = 0;

    /// Commits a transaction.
    virtual void commit(const transaction& changes, handler<commit_outcome> done) = 0;

    /// Grants a lease.
    virtual void grant(common::milliseconds time_to_live, handler<lease_grant> done) = 0;

    /// Renews a lease; the result is its time to live.
    virtual void renew(std::uint64_t lease, handler<common::milliseconds> done) = 0;

    /// Revokes a lease, which deletes its keys.
    virtual void end_lease(std::uint64_t lease, handler<bool> done) = 0;
};

} // namespace chervilslip::store
