#pragma once

#include <nlohmann/json.hpp>

#include "store/store.h"

namespace chervilslip::store {

/// A document protected by a fencing token, so that only the latest lease holder can write it. The
/// token, `fence`, is the store revision at which the holder acquired the lease; a later holder
/// therefore always has a higher one.
struct fenced_document {
    std::int64_t fence = 0;
    nlohmann::json body;

    friend bool operator==(const fenced_document&, const fenced_document&) = default;
};

/// Parses a fenced document. Thread safe. Errors: `bad_message`.
common::result<fenced_document> parse_fenced_document(const std::string& text,
                                                      const std::string& key);

/// Returns the compare-and-swap request that writes `body` with the token `fence`. Thread safe.
/// Errors: `fenced` when a newer holder has written already, as happens to a holder that was paused
/// until its lease expired; `bad_message` when the stored document is malformed.
common::result<swap_request> make_fenced_write(const std::string& key,
                                               const std::optional<versioned_value>& current,
                                               std::int64_t fence, const nlohmann::json& body);

} // namespace chervilslip::store
