#pragma once

#include "common/clock.h"
#include "settings/document_tree.h"

namespace chervilslip::settings {

/// Where a document's content is, and which change put it there.
struct manifest_entry {
    std::string hash;
    std::int64_t number = 0;
    std::string author;

    friend bool operator==(const manifest_entry&, const manifest_entry&) = default;
};

/// The one value that decides which settings are accepted. Each change swaps it once.
struct manifest {
    std::int64_t number = 0;
    std::string change; ///< content hash of the newest change record; empty before the first
    std::map<std::string, manifest_entry> entries;

    friend bool operator==(const manifest&, const manifest&) = default;
};

/// One document of a change; no hash means that the document does not exist.
struct change_edit {
    std::string path;
    std::string before;
    std::string after;

    friend bool operator==(const change_edit&, const change_edit&) = default;
};

/// One accepted change: an entry of the audit trail, chained to the entry before it.
struct change_record {
    std::int64_t number = 0;
    std::string id; ///< made by the operator's tool, so that a repeated call is known
    std::string author;
    std::string reason;
    std::int64_t at_ms = 0; ///< Unix time
    std::string previous;   ///< content hash of the record before; empty for the first
    std::vector<change_edit> edits;

    friend bool operator==(const change_record&, const change_record&) = default;
};

/// An operator's wish: documents to write, each with the content it was based on.
struct proposal {
    struct edit {
        std::string path;
        std::string based_on;                ///< content hash; empty for no document
        std::optional<nlohmann::json> value; ///< nothing removes the document

        friend bool operator==(const edit&, const edit&) = default;
    };

    std::string id;
    std::string author;
    std::string reason;
    std::vector<edit> edits;

    friend bool operator==(const proposal&, const proposal&) = default;
};

/// A path that another change altered after the proposal was made.
struct edit_conflict {
    std::string path;
    std::int64_t number = 0;
    std::string author;

    friend bool operator==(const edit_conflict&, const edit_conflict&) = default;
};

/// The store's keys.
inline const std::string manifest_key = "/chervilslip/manifest";
std::string document_key(const std::string& hash);

/// Conversions to and from the store's JSON. Thread safe. Errors: `bad_message`.
nlohmann::json to_json(const manifest& value);
nlohmann::json to_json(const change_record& value);
common::result<manifest> parse_manifest(const std::string& text);
common::result<change_record> parse_change(const std::string& text);

/// Conversions to and from the operators' API. Thread safe. Errors: `bad_message`.
nlohmann::json to_json(const proposal& value);
common::result<proposal> parse_proposal(const nlohmann::json& value);

/// Returns the edits that clash with changes accepted since. Thread safe.
std::vector<edit_conflict> find_conflicts(const manifest& current, const proposal& wanted);

/// Returns the record of a proposal on top of `current`. Thread safe.
change_record make_change(const manifest& current, const proposal& wanted, common::wall_time now);

/// Returns the manifest after a change. Thread safe.
manifest apply_change(const manifest& current, const change_record& change);

} // namespace chervilslip::settings
