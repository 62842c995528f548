#pragma once

#include <nlohmann/json.hpp>

#include "store/store.h"

/// The published JSON mapping of the etcd v3 API: keys and values in base64, 64-bit numbers as
/// texts.
namespace chervilslip::store::etcd {

/// A change seen by a watch; no value means that the key was removed.
struct watch_event {
    std::string key;
    std::optional<versioned_value> value;

    friend bool operator==(const watch_event&, const watch_event&) = default;
};

/// One message of a watch stream.
struct watch_message {
    std::int64_t revision = 0;
    std::int64_t compacted_below = 0; ///< above zero when older revisions are gone
    bool cancelled = false;
    std::vector<watch_event> events;

    friend bool operator==(const watch_message&, const watch_message&) = default;
};

/// Returns the body of `/v3/kv/range` for one key. Thread safe.
nlohmann::json range_request(const std::string& key);

/// Returns the body of `/v3/kv/range` for one key's revision without its value. Thread safe.
nlohmann::json revision_request(const std::string& key);

/// Returns the body of `/v3/kv/txn` for a compare-and-swap of one key. Thread safe.
nlohmann::json swap_body(const swap_request& request);

/// Returns the body of `/v3/watch` for one key. Thread safe.
nlohmann::json watch_request(const std::string& key, std::int64_t start_revision);

/// Reads the answer of `/v3/kv/range`. Thread safe. Errors: `bad_message`.
common::result<std::optional<versioned_value>> parse_range(const std::string& body,
                                                           const std::string& peer);

/// Reads the answer of `/v3/kv/txn`. Thread safe. Errors: `bad_message`.
common::result<swap_outcome> parse_swap(const std::string& body, const std::string& peer);

/// Reads the answer of `/v3/lease/grant`. Thread safe. Errors: `bad_message`.
common::result<std::int64_t> parse_lease(const std::string& body, const std::string& peer);

/// Reads one line of `/v3/watch`. Thread safe. Errors: `bad_message`.
common::result<watch_message> parse_watch(const std::string& line, const std::string& peer);

/// Reads a 64-bit number that may stand as a text or be left out. Thread safe.
std::int64_t parse_int64(const nlohmann::json& object, const std::string& field);

} // namespace chervilslip::store::etcd
