#include <iostream>

#include "cli/command_support.h"
#include "cli/commands.h"
#include "teams/authenticator.h"

// The command about keys: issue, withdraw, list.
namespace chervilslip::cli {

using common::errc;
using nlohmann::json;

namespace {

json key_to_json(const settings::team_key& key)
{
    return {{"salt", key.salt},
            {"hash", key.hash},
            {"issued_by", key.issued_by},
            {"state", key.state == settings::key_state::active ? "active" : "withdrawn"}};
}

json keys_of(const settings_in_force& now, const std::string& path)
{
    const auto found = now.tree.find(path);
    return found == now.tree.end() ? json::object() : found->second.value;
}

int issue_key(const operator_client& client, const settings_in_force& now, const std::string& team,
              bool as_json, bool wait)
{
    const std::string path = "/teams/" + team + "/keys";
    if (!now.tree.contains("/teams/" + team + "/rules")) {
        return fail(common::make_error(errc::not_found, "issue key", "",
                                       "team \"" + team + "\" does not exist"));
    }
    const auto issued = teams::issue_key(team, client.author());
    json keys = keys_of(now, path);
    keys[issued.id] = key_to_json(issued.record);
    const int code =
        submit(client, plan_document(now, path, keys, client.author(), "issue key"), as_json, wait);
    if (code == exit_done || code == exit_partial) {
        std::cout << (as_json ? json{{"id", issued.id}, {"key", issued.api_key}}.dump()
                              : "key " + issued.id + " (shown this once): " + issued.api_key)
                  << "\n";
    }
    return code;
}

int withdraw_key(const operator_client& client, const settings_in_force& now,
                 const std::string& team, const std::string& id, bool as_json, bool wait)
{
    const std::string path = "/teams/" + team + "/keys";
    json keys = keys_of(now, path);
    if (!keys.contains(id)) {
        return fail(common::make_error(errc::not_found, "withdraw key", "",
                                       "team \"" + team + "\" has no key \"" + id + "\""));
    }
    keys[id]["state"] = "withdrawn";
    return submit(client, plan_document(now, path, keys, client.author(), "withdraw key"), as_json,
                  wait);
}

int list_keys(const settings_in_force& now, const std::string& team, bool as_json)
{
    const json keys = keys_of(now, "/teams/" + team + "/keys");
    json shown = json::object();
    for (const auto& item : keys.items()) {
        shown[item.key()] = {{"state", item.value().value("state", "active")},
                             {"issued_by", item.value().value("issued_by", "")}};
        if (!as_json) {
            std::cout << item.key() << "  " << item.value().value("state", "active")
                      << "  issued by " << item.value().value("issued_by", "") << "\n";
        }
    }
    if (as_json) {
        std::cout << shown.dump(2) << "\n";
    }
    return exit_done;
}

} // namespace

int run_keys(TCLAP::CmdLine& line, std::vector<std::string>& arguments)
{
    const common_options options(line);
    std::vector<std::string> verbs{"issue", "withdraw", "list"};
    TCLAP::ValuesConstraint<std::string> allowed(verbs);
    const TCLAP::UnlabeledValueArg<std::string> verb("VERB", "issue, withdraw or list", true, "",
                                                     &allowed, line);
    const TCLAP::UnlabeledValueArg<std::string> team("TEAM", "the team", true, "", "TEAM", line);
    const TCLAP::UnlabeledValueArg<std::string> id("KEY", "the key's id, to withdraw", false, "",
                                                   "KEY", line);
    const TCLAP::SwitchArg wait("w", "wait", "wait until every named node has it in force", line);
    line.parse(arguments);
    return with_client(options, [&](const operator_client& client, bool as_json) -> int {
        const auto now = client.read_settings();
        if (!now) {
            return fail(now.error());
        }
        if (verb.getValue() == "issue") {
            return issue_key(client, now.value(), team.getValue(), as_json, wait.getValue());
        }
        if (verb.getValue() == "withdraw") {
            return withdraw_key(client, now.value(), team.getValue(), id.getValue(), as_json,
                                wait.getValue());
        }
        return list_keys(now.value(), team.getValue(), as_json);
    });
}

} // namespace chervilslip::cli
