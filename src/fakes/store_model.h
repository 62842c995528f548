#pragma once

#include <deque>
#include <map>
#include <string>

#include <nlohmann/json.hpp>

#include "common/clock.h"

namespace chervilslip::fakes {

/// The key-value store without I/O, in the etcd v3 JSON mapping. Not thread safe.
class store_model {
public:
    /// Answers `/v3/kv/range` for one key.
    [[nodiscard]] nlohmann::json range(const nlohmann::json& body) const;

    /// Answers `/v3/kv/txn` for a compare-and-swap of one key.
    nlohmann::json transaction(const nlohmann::json& body);

    /// Answers the lease calls.
    nlohmann::json grant_lease(const nlohmann::json& body, common::steady_time now);
    nlohmann::json keep_lease_alive(const nlohmann::json& body, common::steady_time now);
    nlohmann::json revoke_lease(const nlohmann::json& body);

    /// Removes the keys of leases that are over.
    void lapse_leases(common::steady_time now);

    /// Removes the keys of all leases, as if all had lapsed.
    void lapse_all_leases();

    /// Returns the events of a key since a revision, as watch messages, and moves the revision on.
    [[nodiscard]] std::vector<std::string> events_since(const std::string& key,
                                                        std::int64_t& next_revision) const;

    /// Returns the first message of a watch.
    [[nodiscard]] std::string watch_created() const;

    [[nodiscard]] std::int64_t revision() const;

private:
    struct entry {
        std::string value; ///< base64, as received
        std::int64_t created = 0;
        std::int64_t modified = 0;
        std::int64_t version = 0;
        std::int64_t lease = 0;
    };

    struct lease {
        std::chrono::seconds time_to_live{0};
        common::steady_time until;
    };

    struct past_event {
        std::string key;
        std::int64_t revision = 0;
        nlohmann::json event;
    };

    [[nodiscard]] nlohmann::json header() const;
    [[nodiscard]] nlohmann::json pair_of(const std::string& key, const entry& each) const;
    [[nodiscard]] bool holds(const nlohmann::json& compare) const;
    void put(const nlohmann::json& request);
    void erase(const std::string& key);
    void remember(const std::string& key, nlohmann::json event);

    std::int64_t now_revision = 1;
    std::int64_t last_lease = 0;
    std::map<std::string, entry> entries; ///< by base64 key
    std::map<std::int64_t, lease> leases;
    std::deque<past_event> history;
};

} // namespace chervilslip::fakes
