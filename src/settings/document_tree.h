#pragma once

#include <filesystem>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "common/error.h"
#include "settings/object_reader.h"

namespace chervilslip::settings {

/// A settings document and the file it was loaded from; for a document from the store, `file` is
/// its path.
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

/// A tree loaded from a directory, and the problems found in its files.
struct loaded_directory {
    document_tree tree;
    std::vector<problem> problems;
};

/// Parses JSON with comments; a duplicate field is an error. Thread safe.
/// Errors: `bad_message`, with the line, column and cause in `detail`.
common::result<nlohmann::json> parse_commented_json(const std::string& text,
                                                    const std::string& file);

/// Reads and parses a file of JSON with comments. Thread safe.
/// Errors: `not_found` when it cannot be read, `bad_message` as above.
common::result<nlohmann::json> load_commented_json(const std::string& file);

/// Loads every ".json" file below `directory`; a document's path is its file's path relative to
/// `directory`, without the extension. Thread safe.
loaded_directory load_directory(const std::filesystem::path& directory);

/// Returns the value at a path, which may point into a document or to a parent of several
/// documents. Thread safe. Errors: `not_found`.
common::result<nlohmann::json> value_at(const document_tree& tree, const std::string& path);

/// Returns the path of the document that contains `path`, and that document with the value
/// replaced. An object at a path outside all documents is a new document. Thread safe. Errors:
/// `not_found` when no document contains the path and `value` is not an object, or when a parent of
/// the path is not an object.
common::result<std::pair<std::string, nlohmann::json>>
replaced_value(const document_tree& tree, const std::string& path, const nlohmann::json& value);

/// Serializes a document as it is stored: fields sorted, no white space. Thread safe.
std::string canonical_text(const nlohmann::json& value);

/// Returns the SHA-256 of the canonical text, under which a document is stored. Thread safe.
std::string content_hash(const nlohmann::json& value);

/// A value that differs between two trees.
struct difference {
    std::string path;
    std::optional<nlohmann::json> before;
    std::optional<nlohmann::json> after;

    friend bool operator==(const difference&, const difference&) = default;
};

/// Returns the differences at and below `path`, in path order. Thread safe.
std::vector<difference> compare_values(const std::string& path,
                                       const std::optional<nlohmann::json>& before,
                                       const std::optional<nlohmann::json>& after);

} // namespace chervilslip::settings
