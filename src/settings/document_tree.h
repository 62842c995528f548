#pragma once

#include <filesystem>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "common/error.h"
#include "settings/object_reader.h"

namespace chervilslip::settings {

/// A settings document and the file it came from; documents of the store name their path.
struct document {
    nlohmann::json value;
    std::string file;

    friend bool operator==(const document& left, const document& right)
    {
        return left.value == right.value;
    }
};

/// All documents by path, such as "/teams/fire-brigades/rules".
using document_tree = std::map<std::string, document>;

/// A tree read from a directory, and what was wrong with its files.
struct loaded_directory {
    document_tree tree;
    std::vector<problem> problems;
};

/// Parses JSON with comments; a repeated field is an error. Thread safe.
/// Errors: `bad_message`, with the line, column and cause in `detail`.
common::result<nlohmann::json> parse_commented_json(const std::string& text,
                                                    const std::string& file);

/// Reads and parses a file of JSON with comments. Thread safe.
/// Errors: `not_found` when it cannot be read, `bad_message` as above.
common::result<nlohmann::json> load_commented_json(const std::string& file);

/// Reads every ".json" file below `directory`; the path of a document is its file's relative
/// name. Thread safe.
loaded_directory load_directory(const std::filesystem::path& directory);

/// Returns the value at a path, which may lie inside a document or above several. Thread safe.
/// Errors: `not_found`.
common::result<nlohmann::json> value_at(const document_tree& tree, const std::string& path);

/// Returns the document that holds `path`, and the document with the value replaced. Thread safe.
/// Errors: `not_found` when no document of the tree holds the path's parent.
common::result<std::pair<std::string, nlohmann::json>>
replaced_value(const document_tree& tree, const std::string& path, const nlohmann::json& value);

/// Returns a document's bytes in the store: fields sorted, no white space. Thread safe.
std::string canonical_text(const nlohmann::json& value);

/// Returns the content hash under which a document is stored. Thread safe.
std::string content_hash(const nlohmann::json& value);

/// One value that differs between two trees.
struct difference {
    std::string path;
    std::optional<nlohmann::json> before;
    std::optional<nlohmann::json> after;

    friend bool operator==(const difference&, const difference&) = default;
};

/// Returns the values that differ, in the order of their paths. Thread safe.
std::vector<difference> compare_values(const std::string& path,
                                       const std::optional<nlohmann::json>& before,
                                       const std::optional<nlohmann::json>& after);

} // namespace chervilslip::settings
