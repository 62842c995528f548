#include <iomanip>
#include <iostream>

#include "cli/command_support.h"
#include "cli/commands.h"

// The commands that show what is: status, audit.
namespace chervilslip::cli {

using nlohmann::json;

namespace {

void print_status(const json& body)
{
    std::cout << body.value("node", "") << "  zone " << body.value("zone", "") << "  "
              << (body.value("ready", false) ? "ready" : "NOT READY") << "  settings "
              << body.value("settings_number", 0) << "  open requests "
              << body.value("open_requests", 0) << "  upstreams " << body.value("upstreams", 0)
              << "  violations " << body.value("invariant_violations", 0) << "\n";
    const json not_taking_work = body.value("upstreams_not_taking_work", json::object());
    for (const auto& item : not_taking_work.items()) {
        std::cout << "  VM " << item.key() << " " << item.value().get<std::string>() << "\n";
    }
    const json teams = body.value("teams", json::object());
    for (const auto& item : teams.items()) {
        const json& team = item.value();
        if (team.at("waiting") != 0 || team.at("running") != 0) {
            std::cout << "  team " << item.key() << ": running " << team.at("running") << " of "
                      << team.at("allowed_here") << " here, waiting " << team.at("waiting") << "\n";
        }
    }
}

} // namespace

int run_status(TCLAP::CmdLine& line, std::vector<std::string>& arguments)
{
    const common_options options(line);
    line.parse(arguments);
    return with_client(options, [&](const operator_client& client, bool as_json) -> int {
        json all = json::array();
        int code = exit_done;
        for (const node_answer& each : client.call_all("/v1/status")) {
            json body = each.answer && each.answer.value().status == 200
                            ? json::parse(each.answer.value().body, nullptr, false)
                            : json(nullptr);
            if (!body.is_object()) {
                code = exit_partial;
                body = {{"address", each.node.to_string()}, {"reached", false}};
            }
            if (!as_json && body.contains("reached")) {
                std::cout << each.node.to_string() << "  not reached\n";
            } else if (!as_json) {
                print_status(body);
            }
            all.push_back(std::move(body));
        }
        if (as_json) {
            std::cout << all.dump(2) << "\n";
        }
        return code;
    });
}

int run_audit(TCLAP::CmdLine& line, std::vector<std::string>& arguments)
{
    const common_options options(line);
    const TCLAP::UnlabeledValueArg<std::string> path("PATH", "show changes of this path alone",
                                                     false, "/", "PATH", line);
    const TCLAP::ValueArg<int> most("m", "most", "how many changes to look at", false, 20, "N",
                                    line);
    line.parse(arguments);
    return with_client(options, [&](const operator_client& client, bool as_json) -> int {
        const auto answer = client.call("GET",
                                        "/v1/settings/audit?path=" + path.getValue() +
                                            "&most=" + std::to_string(most.getValue()),
                                        {});
        if (!answer) {
            return fail(answer.error());
        }
        const json body = json::parse(answer.value().body, nullptr, false);
        if (answer.value().status != 200 || !body.is_object()) {
            std::cerr << "chervilslipctl: " << answer.value().body;
            return exit_unreachable;
        }
        if (as_json) {
            std::cout << body.dump(2) << "\n";
            return exit_done;
        }
        for (const json& change : body.at("changes")) {
            const std::time_t at = change.at("at_ms").get<std::int64_t>() / 1000;
            std::cout << "change " << change.at("number") << " by "
                      << change.at("author").get<std::string>() << " at "
                      << std::put_time(std::gmtime(&at), "%Y-%m-%dT%H:%M:%SZ") << " "
                      << change.at("reason").get<std::string>() << "\n";
            for (const json& edit : change.at("edits")) {
                const auto value_or_none = [&edit](const char* side) {
                    return edit.at(side).is_null() ? std::nullopt
                                                   : std::optional<json>{edit.at(side)};
                };
                std::cout << to_text(settings::compare_values(edit.at("path").get<std::string>(),
                                                              value_or_none("before"),
                                                              value_or_none("after")));
            }
        }
        return exit_done;
    });
}

} // namespace chervilslip::cli
