#pragma once

#include <compare>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace chervilslip::settings {

/// One rule that a settings document breaks.
struct problem {
    std::string file;
    std::string path;
    std::string found;
    std::string allowed;

    friend auto operator<=>(const problem&, const problem&) = default;

    /// Returns "file: path: found X; allowed is Y". Thread safe.
    [[nodiscard]] std::string to_string() const;
};

/// Where a problem is: the file it came from and the path inside the settings.
struct place {
    std::string file;
    std::string path;

    /// Returns the place of a member. Thread safe.
    [[nodiscard]] place member(std::string_view name) const;
};

/// Tells whether `name` is 1 to 63 lower-case letters, digits and inner hyphens. Thread safe.
bool is_name(std::string_view name);

/// Reads a JSON object field by field and collects every problem. Not thread safe.
/// Precondition: `object` and `problems` outlive the reader.
class object_reader {
public:
    object_reader(const nlohmann::json& object, place where, std::vector<problem>& problems);

    /// Reads an integer within [least, most]; a missing one is a problem.
    std::int64_t integer(const std::string& field, std::int64_t least, std::int64_t most);

    /// Reads an integer within [least, most], or gives `otherwise` when it is missing.
    std::int64_t integer_or(const std::string& field, std::int64_t least, std::int64_t most,
                            std::int64_t otherwise);

    /// Reads a number within [least, most]; a missing one is a problem.
    double number(const std::string& field, double least, double most);

    /// Reads a truth value, or gives `otherwise` when it is missing.
    bool boolean_or(const std::string& field, bool otherwise);

    /// Reads a text of at most `most_bytes`; a missing one is a problem.
    std::string text(const std::string& field, std::size_t most_bytes);

    /// Reads a text of at most `most_bytes`, or gives `otherwise` when it is missing.
    std::string text_or(const std::string& field, std::size_t most_bytes, std::string otherwise);

    /// Reads a name; a missing one is a problem.
    std::string name(const std::string& field);

    /// Reads a name, or gives an empty text when it is missing.
    std::string name_or_empty(const std::string& field);

    /// Reads one of `choices`, or gives the first when it is missing. Precondition: not empty.
    std::string choice_or_first(const std::string& field, const std::vector<std::string>& choices);

    /// Reads a list of names without repetitions; a missing one is a problem.
    std::set<std::string> names(const std::string& field);

    /// Reads a list of texts of at most `most_bytes` each; a missing one is an empty list.
    std::vector<std::string> texts_or_empty(const std::string& field, std::size_t most_bytes);

    /// Returns an object field, or null when it is missing or of another type (then a problem).
    const nlohmann::json* object(const std::string& field);

    /// Allows a field that is read elsewhere.
    void ignore(const std::string& field);

    /// Reports every field that was not read. Call once, last.
    void finish();

    /// Returns where a field is.
    [[nodiscard]] place at(const std::string& field) const;

    /// Adds a problem with a field.
    void report(const std::string& field, std::string found, std::string allowed);

private:
    const nlohmann::json* find(const std::string& field);
    const nlohmann::json* require(const std::string& field, const std::string& allowed);

    const nlohmann::json& source;
    place where;
    std::vector<problem>& problems;
    std::set<std::string> known;
};

} // namespace chervilslip::settings
