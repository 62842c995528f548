#pragma once

#include <compare>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace chervilslip::settings {

/// A violation of a rule in a settings document.
struct problem {
    std::string file;
    std::string path;
    std::string found;
    std::string allowed;

    friend auto operator<=>(const problem&, const problem&) = default;

    /// Returns "file: path: found X; allowed is Y". Thread safe.
    [[nodiscard]] std::string to_string() const;
};

/// Location of a value: its file and its path in the settings.
struct document_location {
    std::string file;
    std::string path;

    /// Returns the location of a member. Thread safe.
    [[nodiscard]] document_location member(std::string_view name) const;
};

/// Tells whether `name` is 1 to 63 lower-case letters, digits and inner hyphens. Thread safe.
bool is_name(std::string_view name);

/// Reads a JSON object field by field and collects every problem. Not thread safe.
/// Precondition: `object` and `problems` outlive the reader.
class object_reader {
public:
    object_reader(const nlohmann::json& object, document_location where,
                  std::vector<problem>& problems);

    /// Reads an integer within [min_value, max_value]; a missing one is a problem.
    std::int64_t integer(const std::string& field, std::int64_t min_value, std::int64_t max_value);

    /// Reads an integer within [min_value, max_value], or returns `default_value` when it is
    /// missing.
    std::int64_t integer_or(const std::string& field, std::int64_t min_value,
                            std::int64_t max_value, std::int64_t default_value);

    /// Reads a number within [min_value, max_value]; a missing one is a problem.
    double number(const std::string& field, double min_value, double max_value);

    /// Reads a boolean, or returns `default_value` when it is missing.
    bool boolean_or(const std::string& field, bool default_value);

    /// Reads a string of at most `max_bytes`; a missing one is a problem.
    std::string text(const std::string& field, std::size_t max_bytes);

    /// Reads a string of at most `max_bytes`, or returns `default_value` when it is missing.
    std::string text_or(const std::string& field, std::size_t max_bytes, std::string default_value);

    /// Reads a name; a missing one is a problem.
    std::string name(const std::string& field);

    /// Reads a name, or returns an empty string when it is missing.
    std::string name_or_empty(const std::string& field);

    /// Reads one of `choices`, or returns the first when it is missing. Precondition: `choices` is
    /// not empty.
    std::string choice_or_first(const std::string& field, const std::vector<std::string>& choices);

    /// Reads a list of distinct names; a missing one is a problem.
    std::set<std::string> names(const std::string& field);

    /// Reads a list of strings of at most `max_bytes` each; a missing one is an empty list.
    std::vector<std::string> texts_or_empty(const std::string& field, std::size_t max_bytes);

    /// Returns an object field, or null when it is missing or not an object; the latter is a
    /// problem.
    const nlohmann::json* object(const std::string& field);

    /// Marks a field as known that is read elsewhere.
    void ignore(const std::string& field);

    /// Reports every field that was not read. Call once, after all reads.
    void finish();

    /// Returns the location of a field.
    [[nodiscard]] document_location at(const std::string& field) const;

    /// Adds a problem for a field.
    void report(const std::string& field, std::string found, std::string allowed);

private:
    const nlohmann::json* find(const std::string& field);
    const nlohmann::json* require(const std::string& field, const std::string& allowed);

    const nlohmann::json& source;
    document_location where;
    std::vector<problem>& problems;
    std::set<std::string> known_fields;
};

} // namespace chervilslip::settings
