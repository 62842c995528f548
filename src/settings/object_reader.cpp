#include "settings/object_reader.h"

namespace chervilslip::settings {

namespace {

constexpr std::size_t max_name_bytes = 63;
constexpr std::size_t max_excerpt_bytes = 60;

const nlohmann::json& empty_object()
{
    static const nlohmann::json empty = nlohmann::json::object();
    return empty;
}

std::string excerpt(const nlohmann::json& value)
{
    std::string text = value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    if (text.size() > max_excerpt_bytes) {
        text = text.substr(0, max_excerpt_bytes) + "...";
    }
    return text;
}

template <typename Number>
std::string describe_range(std::string_view kind, Number min_value, Number max_value)
{
    return std::string(kind) + " from " + nlohmann::json(min_value).dump() + " to " +
           nlohmann::json(max_value).dump();
}

std::string quoted_list(const std::vector<std::string>& choices)
{
    std::string text;
    for (const std::string& choice : choices) {
        text += (text.empty() ? "\"" : ", \"") + choice + "\"";
    }
    return text;
}

const std::string name_rule = "a name of 1 to 63 lower-case letters, digits and inner hyphens";

} // namespace

std::string problem::to_string() const
{
    return this->file + ": " + this->path + ": found " + this->found + "; allowed is " +
           this->allowed;
}

document_location document_location::member(std::string_view name) const
{
    return {this->file, this->path + "/" + std::string(name)};
}

bool is_name(std::string_view name)
{
    const auto allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
    };
    return !name.empty() && name.size() <= max_name_bytes && name.front() != '-' &&
           name.back() != '-' && std::all_of(name.begin(), name.end(), allowed);
}

object_reader::object_reader(const nlohmann::json& object, document_location location,
                             std::vector<problem>& collected)
    : source(object.is_object() ? object : empty_object()), where(std::move(location)),
      problems(collected)
{
    if (!object.is_object()) {
        this->problems.push_back(
            {this->where.file, this->where.path, excerpt(object), "an object"});
    }
}

document_location object_reader::at(const std::string& field) const
{
    return this->where.member(field);
}

void object_reader::report(const std::string& field, std::string found, std::string allowed)
{
    const document_location location = this->at(field);
    this->problems.push_back({location.file, location.path, std::move(found), std::move(allowed)});
}

const nlohmann::json* object_reader::find(const std::string& field)
{
    this->known_fields.insert(field);
    const auto found = this->source.find(field);
    return found == this->source.end() ? nullptr : &*found;
}

const nlohmann::json* object_reader::require(const std::string& field, const std::string& allowed)
{
    const nlohmann::json* value = this->find(field);
    if (value == nullptr) {
        this->report(field, "nothing", allowed);
    }
    return value;
}

std::int64_t object_reader::integer(const std::string& field, std::int64_t min_value,
                                    std::int64_t max_value)
{
    if (this->require(field, describe_range("an integer", min_value, max_value)) == nullptr) {
        return min_value;
    }
    return this->integer_or(field, min_value, max_value, min_value);
}

std::int64_t object_reader::integer_or(const std::string& field, std::int64_t min_value,
                                       std::int64_t max_value, std::int64_t default_value)
{
    const nlohmann::json* value = this->find(field);
    if (value == nullptr) {
        return default_value;
    }
    const bool fits = value->is_number_integer() &&
                      !(value->is_number_unsigned() &&
                        value->get<std::uint64_t>() > static_cast<std::uint64_t>(max_value));
    if (!fits || value->get<std::int64_t>() < min_value || value->get<std::int64_t>() > max_value) {
        this->report(field, excerpt(*value), describe_range("an integer", min_value, max_value));
        return default_value;
    }
    return value->get<std::int64_t>();
}

double object_reader::number(const std::string& field, double min_value, double max_value)
{
    const nlohmann::json* value =
        this->require(field, describe_range("a number", min_value, max_value));
    if (value == nullptr) {
        return min_value;
    }
    if (!value->is_number() || value->get<double>() < min_value ||
        value->get<double>() > max_value) {
        this->report(field, excerpt(*value), describe_range("a number", min_value, max_value));
        return min_value;
    }
    return value->get<double>();
}

bool object_reader::boolean_or(const std::string& field, bool default_value)
{
    const nlohmann::json* value = this->find(field);
    if (value == nullptr) {
        return default_value;
    }
    if (!value->is_boolean()) {
        this->report(field, excerpt(*value), "true or false");
        return default_value;
    }
    return value->get<bool>();
}

std::string object_reader::text(const std::string& field, std::size_t max_bytes)
{
    if (this->require(field, "a string of at most " + std::to_string(max_bytes) + " bytes") ==
        nullptr) {
        return {};
    }
    return this->text_or(field, max_bytes, {});
}

std::string object_reader::text_or(const std::string& field, std::size_t max_bytes,
                                   std::string default_value)
{
    const nlohmann::json* value = this->find(field);
    if (value == nullptr) {
        return default_value;
    }
    if (!value->is_string() || value->get_ref<const std::string&>().size() > max_bytes) {
        this->report(field, excerpt(*value),
                     "a string of at most " + std::to_string(max_bytes) + " bytes");
        return default_value;
    }
    return value->get<std::string>();
}

std::string object_reader::name(const std::string& field)
{
    if (this->require(field, name_rule) == nullptr) {
        return {};
    }
    return this->name_or_empty(field);
}

std::string object_reader::name_or_empty(const std::string& field)
{
    const nlohmann::json* value = this->find(field);
    if (value == nullptr) {
        return {};
    }
    if (!value->is_string() || !is_name(value->get_ref<const std::string&>())) {
        this->report(field, excerpt(*value), name_rule);
        return {};
    }
    return value->get<std::string>();
}

std::string object_reader::choice_or_first(const std::string& field,
                                           const std::vector<std::string>& choices)
{
    const nlohmann::json* value = this->find(field);
    if (value == nullptr) {
        return choices.front();
    }
    const bool known_choice =
        value->is_string() && std::find(choices.begin(), choices.end(),
                                        value->get_ref<const std::string&>()) != choices.end();
    if (!known_choice) {
        this->report(field, excerpt(*value), "one of " + quoted_list(choices));
        return choices.front();
    }
    return value->get<std::string>();
}

std::set<std::string> object_reader::names(const std::string& field)
{
    std::set<std::string> all;
    const nlohmann::json* value = this->require(field, "a list of names");
    if (value == nullptr) {
        return all;
    }
    if (!value->is_array()) {
        this->report(field, excerpt(*value), "a list of names");
        return all;
    }
    for (const nlohmann::json& item : *value) {
        if (!item.is_string() || !is_name(item.get_ref<const std::string&>())) {
            this->report(field, excerpt(item), name_rule);
        } else if (!all.insert(item.get<std::string>()).second) {
            this->report(field, excerpt(item) + " twice", "each name once");
        }
    }
    return all;
}

std::vector<std::string> object_reader::texts_or_empty(const std::string& field,
                                                       std::size_t max_bytes)
{
    std::vector<std::string> all;
    const nlohmann::json* value = this->find(field);
    if (value == nullptr) {
        return all;
    }
    if (!value->is_array()) {
        this->report(field, excerpt(*value), "a list of strings");
        return all;
    }
    for (const nlohmann::json& item : *value) {
        if (item.is_string() && item.get_ref<const std::string&>().size() <= max_bytes) {
            all.push_back(item.get<std::string>());
        } else {
            this->report(field, excerpt(item),
                         "a string of at most " + std::to_string(max_bytes) + " bytes");
        }
    }
    return all;
}

const nlohmann::json* object_reader::object(const std::string& field)
{
    const nlohmann::json* value = this->find(field);
    if (value != nullptr && !value->is_object()) {
        this->report(field, excerpt(*value), "an object");
        return nullptr;
    }
    return value;
}

void object_reader::ignore(const std::string& field)
{
    this->known_fields.insert(field);
}

void object_reader::finish()
{
    std::string allowed;
    for (const std::string& field : this->known_fields) {
        allowed += (allowed.empty() ? "" : ", ") + field;
    }
    for (const auto& item : this->source.items()) {
        if (!this->known_fields.contains(item.key())) {
            this->report(item.key(), "an unknown field", "one of " + allowed);
        }
    }
}

} // namespace chervilslip::settings
