#include "settings/manifest.h"

#include "common/json_reader.h"

namespace chervilslip::settings {

using common::errc;
using common::make_error;
using nlohmann::json;

std::string document_key(const std::string& hash)
{
    return "/chervilslip/documents/" + hash;
}

json to_json(const manifest& value)
{
    json entries = json::object();
    for (const auto& [path, entry] : value.entries) {
        entries[path] = {{"hash", entry.hash}, {"number", entry.number}, {"author", entry.author}};
    }
    return {{"number", value.number}, {"change", value.change}, {"entries", entries}};
}

json to_json(const change_record& value)
{
    json edits = json::array();
    for (const change_edit& each : value.edits) {
        edits.push_back({{"path", each.path}, {"before", each.before}, {"after", each.after}});
    }
    return {{"number", value.number}, {"id", value.id},       {"author", value.author},
            {"reason", value.reason}, {"at_ms", value.at_ms}, {"previous", value.previous},
            {"edits", edits}};
}

common::result<manifest> parse_manifest(const std::string& text)
{
    return common::read_json<manifest>("read manifest", text, "store", [](const json& source) {
        manifest value;
        value.number = source.at("number").get<std::int64_t>();
        value.change = source.at("change").get<std::string>();
        for (const auto& item : source.at("entries").items()) {
            value.entries[item.key()] = {item.value().at("hash").get<std::string>(),
                                         item.value().at("number").get<std::int64_t>(),
                                         item.value().at("author").get<std::string>()};
        }
        return value;
    });
}

common::result<change_record> parse_change(const std::string& text)
{
    return common::read_json<change_record>(
        "read change record", text, "store", [](const json& source) {
            change_record value;
            value.number = source.at("number").get<std::int64_t>();
            value.id = source.at("id").get<std::string>();
            value.author = source.at("author").get<std::string>();
            value.reason = source.at("reason").get<std::string>();
            value.at_ms = source.at("at_ms").get<std::int64_t>();
            value.previous = source.at("previous").get<std::string>();
            for (const json& each : source.at("edits")) {
                value.edits.push_back({each.at("path").get<std::string>(),
                                       each.at("before").get<std::string>(),
                                       each.at("after").get<std::string>()});
            }
            return value;
        });
}

json to_json(const proposal& value)
{
    json edits = json::array();
    for (const proposal::edit& each : value.edits) {
        json edit = {{"path", each.path}, {"based_on", each.based_on}};
        if (each.value) {
            edit["value"] = *each.value;
        }
        edits.push_back(std::move(edit));
    }
    return {{"id", value.id}, {"author", value.author}, {"reason", value.reason}, {"edits", edits}};
}

common::result<proposal> parse_proposal(const json& source)
{
    try {
        proposal value;
        value.id = source.at("id").get<std::string>();
        value.author = source.at("author").get<std::string>();
        value.reason = source.value("reason", std::string{});
        for (const json& each : source.at("edits")) {
            proposal::edit edit;
            edit.path = each.at("path").get<std::string>();
            edit.based_on = each.at("based_on").get<std::string>();
            if (each.contains("value")) {
                edit.value = each.at("value");
            }
            value.edits.push_back(std::move(edit));
        }
        if (value.id.empty() || value.author.empty() || value.edits.empty()) {
            return make_error(errc::bad_message, "read proposal", "",
                              "id, author and edits must not be empty");
        }
        return value;
    } catch (const json::exception& failure) {
        return make_error(errc::bad_message, "read proposal", "", failure.what());
    }
}

std::vector<edit_conflict> find_conflicts(const manifest& current, const proposal& change_proposal)
{
    std::vector<edit_conflict> conflicts;
    for (const proposal::edit& each : change_proposal.edits) {
        const auto found = current.entries.find(each.path);
        if (found == current.entries.end()) {
            if (!each.based_on.empty()) {
                conflicts.push_back({each.path, current.number, "an author who removed it"});
            }
        } else if (found->second.hash != each.based_on) {
            conflicts.push_back({each.path, found->second.number, found->second.author});
        }
    }
    return conflicts;
}

change_record make_change(const manifest& current, const proposal& change_proposal,
                          common::wall_time now)
{
    change_record record;
    record.number = current.number + 1;
    record.id = change_proposal.id;
    record.author = change_proposal.author;
    record.reason = change_proposal.reason;
    record.at_ms = common::unix_milliseconds(now);
    record.previous = current.change;
    for (const proposal::edit& each : change_proposal.edits) {
        record.edits.push_back(
            {each.path, each.based_on, each.value ? content_hash(*each.value) : std::string{}});
    }
    return record;
}

manifest apply_change(const manifest& current, const change_record& change)
{
    manifest next = current;
    next.number = change.number;
    next.change = content_hash(to_json(change));
    for (const change_edit& each : change.edits) {
        if (each.after.empty()) {
            next.entries.erase(each.path);
        } else {
            next.entries[each.path] = {each.after, change.number, change.author};
        }
    }
    return next;
}

} // namespace chervilslip::settings
