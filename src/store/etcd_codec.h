#pragma once

#include <nlohmann/json.hpp>

#include "store/store.h"

/// Encoding of the JSON mapping of the etcd v3 API: keys and values are base64, 64-bit integers are
/// strings.
namespace chervilslip::store::etcd {

/// A change reported by a watch; `value` is empty when the key was deleted.
struct watch_event {
    std::string key;
    std::optional<versioned_value> value;

    friend bool operator==(const watch_event&, const watch_event&) = default;
};

/// A message of a watch stream.
struct watch_message {
    std::int64_t revision = 0;
    std::int64_t compact_revision = 0; ///< nonzero when history below this revision was compacted
    bool cancelled = false;
    std::vector<watch_event> events;

    friend bool operator==(const watch_message&, const watch_message&) = default;
};

/// Returns the request body of `/v3/kv/range` for one key. Thread safe.
nlohmann::json range_request(const std::string& key);

/// Returns the request body of `/v3/kv/range` for the revision of one key, without its value.
/// Thread safe.
nlohmann::json revision_request(const std::string& key);

/// Returns the request body of `/v3/kv/txn` for a compare-and-swap of one key. Thread safe.
nlohmann::json transaction_request(const swap_request& request);

/// Returns the request body of `/v3/watch` for one key. Thread safe.
nlohmann::json watch_request(const std::string& key, std::int64_t start_revision);

/// Parses a response of `/v3/kv/range`; empty when the key does not exist. Thread safe. Errors:
/// `bad_message`.
common::result<std::optional<versioned_value>> parse_range(const std::string& body,
                                                           const std::string& peer);

/// Parses a response of `/v3/kv/txn`. Thread safe. Errors: `bad_message`.
common::result<swap_outcome> parse_swap(const std::string& body, const std::string& peer);

/// Parses a response of `/v3/lease/grant` into the lease's id. Thread safe. Errors: `bad_message`.
common::result<std::int64_t> parse_lease(const std::string& body, const std::string& peer);

/// Parses one line of the response stream of `/v3/watch`. Thread safe. Errors: `bad_message`.
common::result<watch_message> parse_watch(const std::string& line, const std::string& peer);

/// Parses a 64-bit integer encoded as a string or as a number; 0 when the field is missing, as the
/// API omits zero values. Thread safe.
std::int64_t parse_int64(const nlohmann::json& object, const std::string& field);

} // namespace chervilslip::store::etcd
