#include "settings/object_reader.h"

namespace chervilslip::settings {

namespace {

constexpr std::size_t max_name_bytes = 63;
constexpr std::size_t max_shown_bytes = 60;

const nlohmann::json& empty_object()
{
    static const nlohmann::json empty = nlohmann::json::object();
    return empty;
}

std::string shown(const nlohmann::json& value)
{
    std::string text = value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    if (text.size() > max_shown_bytes) {
        text = text.substr(0, max_shown_bytes) + "...";
    }
    return text;
}

template <typename Number>
std::string range_text(std::string_view kind, Number least, Number most)
{
    return std::string(kind) + " from " + nlohmann::json(least).dump() + " to " +
           nlohmann::json(most).dump();
}

std::string joined(const std::vector<std::string>& choices)
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

place place::member(std::string_view name) const
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

object_reader::object_reader(const nlohmann::json& object, place location,
                             std::vector<problem>& collected)
    : source(object.is_object() ? object : empty_object()), where(std::move(location)),
      problems(collected)
{
    if (!object.is_object()) {
        this->problems.push_back({this->where.file, this->where.path, shown(object), "an object"});
    }
}

place object_reader::at(const std::string& field) const
{
    return this->where.member(field);
}

void object_reader::report(const std::string& field, std::string found, std::string allowed)
{
    const place location = this->at(field);
    this->problems.push_back({location.file, location.path, std::move(found), std::move(allowed)});
}

const nlohmann::json* object_reader::find(const std::string& field)
{
    this->known.insert(field);
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

std::int64_t object_reader::integer(const std::string& field, std::int64_t least, std::int64_t most)
{
    if (this->require(field, range_text("an integer", least, most)) == nullptr) {
        return least;
    }
    return this->integer_or(field, least, most, least);
}

std::int64_t object_reader::integer_or(const std::string& field, std::int64_t least,
                                       std::int64_t most, std::int64_t otherwise)
{
    const nlohmann::json* value = this->find(field);
    if (value == nullptr) {
        return otherwise;
    }
    const bool fits = value->is_number_integer() &&
                      !(value->is_number_unsigned() &&
                        value->get<std::uint64_t>() > static_cast<std::uint64_t>(most));
    if (!fits || value->get<std::int64_t>() < least || value->get<std::int64_t>() > most) {
        this->report(field, shown(*value), range_text("an integer", least, most));
        return otherwise;
    }
    return value->get<std::int64_t>();
}

double object_reader::number(const std::string& field, double least, double most)
{
    const nlohmann::json* value = this->require(field, range_text("a number", least, most));
    if (value == nullptr) {
        return least;
    }
    if (!value->is_number() || value->get<double>() < least || value->get<double>() > most) {
        this->report(field, shown(*value), range_text("a number", least, most));
        return least;
    }
    return value->get<double>();
}

bool object_reader::boolean_or(const std::string& field, bool otherwise)
{
    const nlohmann::json* value = this->find(field);
    if (value == nullptr) {
        return otherwise;
    }
    if (!value->is_boolean()) {
        this->report(field, shown(*value), "true or false");
        return otherwise;
    }
    return value->get<bool>();
}

std::string object_reader::text(const std::string& field, std::size_t most_bytes)
{
    if (this->require(field, "a text of at most " + std::to_string(most_bytes) + " bytes") ==
        nullptr) {
        return {};
    }
    return this->text_or(field, most_bytes, {});
}

std::string object_reader::text_or(const std::string& field, std::size_t most_bytes,
                                   std::string otherwise)
{
    const nlohmann::json* value = this->find(field);
    if (value == nullptr) {
        return otherwise;
    }
    if (!value->is_string() || value->get_ref<const std::string&>().size() > most_bytes) {
        this->report(field, shown(*value),
                     "a text of at most " + std::to_string(most_bytes) + " bytes");
        return otherwise;
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
        this->report(field, shown(*value), name_rule);
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
        this->report(field, shown(*value), "one of " + joined(choices));
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
        this->report(field, shown(*value), "a list of names");
        return all;
    }
    for (const nlohmann::json& item : *value) {
        if (!item.is_string() || !is_name(item.get_ref<const std::string&>())) {
            this->report(field, shown(item), name_rule);
        } else if (!all.insert(item.get<std::string>()).second) {
            this->report(field, shown(item) + " twice", "each name once");
        }
    }
    return all;
}

std::vector<std::string> object_reader::texts_or_empty(const std::string& field,
                                                       std::size_t most_bytes)
{
    std::vector<std::string> all;
    const nlohmann::json* value = this->find(field);
    if (value == nullptr) {
        return all;
    }
    if (!value->is_array()) {
        this->report(field, shown(*value), "a list of texts");
        return all;
    }
    for (const nlohmann::json& item : *value) {
        if (item.is_string() && item.get_ref<const std::string&>().size() <= most_bytes) {
            all.push_back(item.get<std::string>());
        } else {
            this->report(field, shown(item),
                         "a text of at most " + std::to_string(most_bytes) + " bytes");
        }
    }
    return all;
}

const nlohmann::json* object_reader::object(const std::string& field)
{
    const nlohmann::json* value = this->find(field);
    if (value != nullptr && !value->is_object()) {
        this->report(field, shown(*value), "an object");
        return nullptr;
    }
    return value;
}

void object_reader::ignore(const std::string& field)
{
    this->known.insert(field);
}

void object_reader::finish()
{
    std::string allowed;
    for (const std::string& field : this->known) {
        allowed += (allowed.empty() ? "" : ", ") + field;
    }
    for (const auto& item : this->source.items()) {
        if (!this->known.contains(item.key())) {
            this->report(item.key(), "an unknown field", "one of " + allowed);
        }
    }
}

} // namespace chervilslip::settings
