#include "settings/document_tree.h"

#include <fstream>
#include <sstream>

#include "common/crypto.h"

namespace chervilslip::settings {

namespace {

using common::errc;
using common::make_error;

std::vector<std::string> split_path(const std::string& path)
{
    std::vector<std::string> parts;
    std::stringstream rest(path);
    std::string part;
    while (std::getline(rest, part, '/')) {
        if (!part.empty()) {
            parts.push_back(part);
        }
    }
    return parts;
}

bool is_inside(const std::string& path, const std::string& parent)
{
    return path.size() > parent.size() && path.starts_with(parent) &&
           (parent.ends_with('/') || path[parent.size()] == '/');
}

/// Detects a field that appears twice in one object; the parser would accept it silently.
class duplicate_field_detector {
public:
    bool operator()(int /*depth*/, nlohmann::json::parse_event_t event, nlohmann::json& parsed)
    {
        using parse_event = nlohmann::json::parse_event_t;
        if (event == parse_event::object_start) {
            this->open_objects.emplace_back();
        } else if (event == parse_event::object_end) {
            this->open_objects.pop_back();
        } else if (event == parse_event::key) {
            const auto name = parsed.get<std::string>();
            if (!this->open_objects.back().insert(name).second && this->duplicate.empty()) {
                this->duplicate = name;
            }
        }
        return true;
    }

    std::string duplicate;

private:
    std::vector<std::set<std::string>> open_objects;
};

std::string read_file(const std::filesystem::path& path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

void insert_at_path(nlohmann::json& root, const std::vector<std::string>& parts,
                    const nlohmann::json& value)
{
    nlohmann::json* at = &root;
    for (const std::string& part : parts) {
        at = &(*at)[part];
    }
    *at = value;
}

} // namespace

common::result<nlohmann::json> parse_commented_json(const std::string& text,
                                                    const std::string& file)
{
    duplicate_field_detector detector;
    try {
        const bool throw_on_error = true;
        const bool ignore_comments = true;
        nlohmann::json value =
            nlohmann::json::parse(text, std::ref(detector), throw_on_error, ignore_comments);
        if (!detector.duplicate.empty()) {
            return boost::outcome_v2::failure(
                make_error(errc::bad_message, "parse JSON", file,
                           "field \"" + detector.duplicate + "\" appears twice in one object"));
        }
        return boost::outcome_v2::success(std::move(value));
    } catch (const nlohmann::json::exception& failure) {
        std::string cause = failure.what();
        cause = cause.substr(std::min(cause.find("] ") + 2, cause.size()));
        return boost::outcome_v2::failure(make_error(errc::bad_message, "parse JSON", file, cause));
    }
}

common::result<nlohmann::json> load_commented_json(const std::string& file)
{
    std::error_code failure;
    if (!std::filesystem::is_regular_file(file, failure)) {
        return boost::outcome_v2::failure(
            make_error(errc::not_found, "read file", file, "not a readable file"));
    }
    return parse_commented_json(read_file(file), file);
}

loaded_directory load_directory(const std::filesystem::path& directory)
{
    loaded_directory loaded;
    std::error_code failure;
    if (!std::filesystem::is_directory(directory, failure)) {
        loaded.problems.push_back({directory.string(), "/", "not a directory", "a directory"});
        return loaded;
    }
    for (const auto& entry : std::filesystem::recursive_directory_iterator(directory)) {
        if (!entry.is_regular_file() || entry.path().extension() != ".json") {
            continue;
        }
        auto relative = std::filesystem::relative(entry.path(), directory);
        const std::string path = "/" + relative.replace_extension().generic_string();
        auto parsed = load_commented_json(entry.path().string());
        if (!parsed) {
            loaded.problems.push_back(
                {entry.path().string(), path, parsed.error().detail, "JSON with comments"});
            continue;
        }
        loaded.tree[path] = {parsed.value(), entry.path().string()};
    }
    std::sort(loaded.problems.begin(), loaded.problems.end());
    return loaded;
}

common::result<nlohmann::json> value_at(const document_tree& tree, const std::string& path)
{
    namespace outcome = boost::outcome_v2;
    const std::string full_path = path.empty() ? "/" : path;
    nlohmann::json collected;
    for (const auto& [name, each] : tree) {
        if (name == full_path) {
            return outcome::success(each.value);
        }
        if (is_inside(name, full_path)) {
            insert_at_path(collected, split_path(name.substr(full_path.size())), each.value);
        }
        if (is_inside(full_path, name)) {
            const nlohmann::json* at = &each.value;
            for (const std::string& part : split_path(full_path.substr(name.size()))) {
                if (!at->is_object() || !at->contains(part)) {
                    return outcome::failure(make_error(errc::not_found, "get", "",
                                                       "no value at path \"" + path + "\""));
                }
                at = &at->at(part);
            }
            return outcome::success(*at);
        }
    }
    if (collected.is_null()) {
        return outcome::failure(
            make_error(errc::not_found, "get", "", "no value at path \"" + path + "\""));
    }
    return outcome::success(std::move(collected));
}

common::result<std::pair<std::string, nlohmann::json>>
replaced_value(const document_tree& tree, const std::string& path, const nlohmann::json& value)
{
    for (const auto& [name, each] : tree) {
        if (name == path) {
            return std::pair{name, value};
        }
        if (is_inside(path, name)) {
            nlohmann::json changed = each.value;
            nlohmann::json* at = &changed;
            for (const std::string& part : split_path(path.substr(name.size()))) {
                if (!at->is_object()) {
                    return make_error(errc::not_found, "set", "",
                                      "a parent of path \"" + path + "\" is not an object");
                }
                at = &(*at)[part];
            }
            *at = value;
            return std::pair{name, std::move(changed)};
        }
    }
    if (value.is_object()) {
        return std::pair{path, value};
    }
    return make_error(errc::not_found, "set", "", "no document contains path \"" + path + "\"");
}

std::string canonical_text(const nlohmann::json& value)
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string content_hash(const nlohmann::json& value)
{
    return common::sha256_hex(canonical_text(value));
}

std::vector<difference> compare_values(const std::string& path,
                                       const std::optional<nlohmann::json>& before,
                                       const std::optional<nlohmann::json>& after)
{
    if (before == after) {
        return {};
    }
    const bool both_objects = before && after && before->is_object() && after->is_object();
    if (!both_objects) {
        return {difference{path, before, after}};
    }
    std::set<std::string> fields;
    for (const auto& item : before->items()) {
        fields.insert(item.key());
    }
    for (const auto& item : after->items()) {
        fields.insert(item.key());
    }
    const auto member = [](const nlohmann::json& object, const std::string& field) {
        return object.contains(field) ? std::optional<nlohmann::json>{object.at(field)}
                                      : std::nullopt;
    };
    std::vector<difference> all;
    for (const std::string& field : fields) {
        auto inner =
            compare_values(path + "/" + field, member(*before, field), member(*after, field));
        all.insert(all.end(), inner.begin(), inner.end());
    }
    return all;
}

} // namespace chervilslip::settings
