#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "common/clock.h"
#include "common/error.h"

namespace chervilslip::store {

/// One key with its value.
struct item {
    std::string key;
    std::string value;
    std::int64_t revision = 0;         ///< of its latest change
    std::int64_t created_revision = 0; ///< of its creation
    std::uint64_t lease = 0;           ///< 0: none

    friend bool operator==(const item&, const item&) = default;
};

/// One page of the items under a prefix.
struct range_page {
    std::vector<item> items;
    bool more = false;
    std::int64_t store_revision = 0; ///< the store's revision when it answered

    friend bool operator==(const range_page&, const range_page&) = default;
};

/// A change of one key.
struct change {
    item entry; ///< key and revision alone when removed
    bool removed = false;

    friend bool operator==(const change&, const change&) = default;
};

/// The changes after a revision; empty when the wait ended without any.
struct change_page {
    std::vector<change> changes;
    std::int64_t store_revision = 0; ///< continue from here

    friend bool operator==(const change_page&, const change_page&) = default;
};

/// A condition of a transaction: the key's revision; 0 means that the key does not exist.
struct expectation {
    std::string key;
    std::int64_t revision = 0;

    friend bool operator==(const expectation&, const expectation&) = default;
};

/// A value that a transaction writes.
struct assignment {
    std::string key;
    std::string value;
    std::uint64_t lease = 0; ///< the key is removed when the lease ends; 0: none

    friend bool operator==(const assignment&, const assignment&) = default;
};

/// Changes that are made all or none.
struct transaction {
    std::vector<expectation> expected;
    std::vector<assignment> set;
    std::vector<std::string> remove;

    friend bool operator==(const transaction&, const transaction&) = default;
};

inline constexpr std::size_t max_transaction_entries = 32;

/// What became of a transaction.
struct commit_outcome {
    bool committed = false;
    std::int64_t revision = 0; ///< when committed
    std::vector<item> current; ///< otherwise: the items of `expected` as they are

    friend bool operator==(const commit_outcome&, const commit_outcome&) = default;
};

/// A lease, under which keys live.
struct lease_grant {
    std::uint64_t id = 0;
    common::milliseconds time_to_live{0};

    friend bool operator==(const lease_grant&, const lease_grant&) = default;
};

template <typename T>
using handler = std::function<void(common::result<T>)>;

/// A store with transactions over several keys, ranges, watches and leases. Each handler is called
/// once, on the io_context's thread, never from within the call. Errors: `unavailable` and
/// `connect_failed` when nothing was done, `not_found` for a lease that has ended, `expired` for
/// history that is not kept, any other when it is not known whether the call was carried out.
/// Not thread safe.
class transactional_store {
public:
    transactional_store() = default;
    transactional_store(const transactional_store&) = delete;
    transactional_store& operator=(const transactional_store&) = delete;
    virtual ~transactional_store() = default;

    /// Reads one key as of now; nothing when it does not exist.
    virtual void read(const std::string& key, handler<std::optional<item>> done) = 0;

    /// Reads the page of a prefix that begins after `after`.
    virtual void range(const std::string& prefix, const std::string& after,
                       handler<range_page> done) = 0;

    /// Waits up to `wait` for a change under a prefix after a revision.
    virtual void watch(const std::string& prefix, std::int64_t after, common::milliseconds wait,
                       handler<change_page> done) = 0;

    /// Makes changes under conditions.
    virtual void commit(const transaction& changes, handler<commit_outcome> done) = 0;

    /// Opens a lease.
    virtual void grant(common::milliseconds time_to_live, handler<lease_grant> done) = 0;

    /// Renews a lease.
    virtual void renew(std::uint64_t lease, handler<common::milliseconds> done) = 0;

    /// Ends a lease with all its keys.
    virtual void end_lease(std::uint64_t lease, handler<bool> done) = 0;
};

} // namespace chervilslip::store
