#pragma once

#include <deque>
#include <map>

#include "store/transactional_store.h"

namespace chervilslip::fakes {

/// A store with transactions, ranges, changes and leases, without I/O. Not thread safe.
class revision_store {
public:
    /// Returns a key's item, or nothing.
    [[nodiscard]] std::optional<store::item> read(const std::string& key) const;

    /// Returns the page of a prefix that begins after `after`.
    [[nodiscard]] store::range_page range(const std::string& prefix,
                                          const std::string& after) const;

    /// Returns the changes under a prefix after a revision; nothing when they are forgotten.
    [[nodiscard]] std::optional<store::change_page> changes(const std::string& prefix,
                                                            std::int64_t after) const;

    /// Makes changes under conditions. Errors: `not_found` for a lease that has ended.
    common::result<store::commit_outcome> commit(const store::transaction& wanted);

    /// Opens a lease. Precondition: `time_to_live` is positive.
    store::lease_grant grant(common::milliseconds time_to_live, common::steady_time now);

    /// Renews a lease; nothing when it has ended.
    std::optional<common::milliseconds> renew(std::uint64_t id, common::steady_time now);

    /// Ends a lease with all its keys; returns false when it had ended.
    bool end_lease(std::uint64_t id);

    /// Ends the leases that are over.
    void lapse_leases(common::steady_time now);

    /// Forgets all changes so far; only the items are kept.
    void compact();

    [[nodiscard]] std::int64_t revision() const;

private:
    struct open_lease {
        common::milliseconds time_to_live{0};
        common::steady_time until;
    };

    [[nodiscard]] bool holds(const store::expectation& each) const;
    void put(const store::assignment& each);
    void erase(const std::string& key);

    std::int64_t latest = 1;
    std::int64_t forgotten = 0; ///< changes up to this revision are not kept
    std::uint64_t last_lease = 0;
    std::map<std::string, store::item> items;
    std::map<std::uint64_t, open_lease> leases;
    std::deque<store::change> history;
};

} // namespace chervilslip::fakes
