#include "cli/command_support.h"

#include <iostream>
#include <thread>

#include "cli/commands.h"

namespace chervilslip::cli {

using common::errc;
using nlohmann::json;

namespace {

constexpr common::milliseconds longest_wait{10000};
constexpr common::milliseconds wait_step{100};

/// Prints how a proposal ended and returns the exit code.
int report_commit(const common::result<net::http_response>& answer, bool as_json,
                  std::int64_t& number)
{
    if (!answer) {
        return fail(answer.error());
    }
    const json body = json::parse(answer.value().body, nullptr, false);
    if (!body.is_object()) {
        std::cerr << "chervilslipctl: the node's answer is not JSON\n";
        return exit_unreachable;
    }
    if (as_json) {
        std::cout << body.dump(2) << "\n";
    }
    const std::string status = body.value("status", std::string{});
    if (status == "accepted") {
        number = body.value("number", std::int64_t{0});
        if (!as_json) {
            std::cout << "accepted as change " << number << "\n";
        }
        return exit_done;
    }
    if (!as_json) {
        for (const json& each : body.value("conflicts", json::array())) {
            std::cerr << "conflict: " << each.at("path").get<std::string>()
                      << " was changed first by " << each.at("author").get<std::string>()
                      << " in change " << each.at("number") << "\n";
        }
        for (const json& each : body.value("problems", json::array())) {
            std::cerr << each.at("path").get<std::string>() << ": found "
                      << each.at("found").get<std::string>() << "; allowed is "
                      << each.at("allowed").get<std::string>() << "\n";
        }
        std::cerr << "not accepted: "
                  << body.value("error", json::object()).value("cause", std::string("unknown"))
                  << "\n";
    }
    if (status == "conflicting") {
        return exit_conflict;
    }
    return status == "uncertain" ? exit_unreachable : exit_refused;
}

/// Waits until every named node has a change in force, and says which ones have not.
int wait_in_force(const operator_client& client, std::int64_t number)
{
    const auto until = std::chrono::steady_clock::now() + longest_wait;
    while (true) {
        std::vector<std::string> behind;
        std::size_t in_force = 0;
        for (const node_answer& each : client.call_all("/v1/status")) {
            if (!each.answer || each.answer.value().status != 200) {
                behind.push_back(each.node.to_string() + " (not reached)");
                continue;
            }
            const json body = json::parse(each.answer.value().body, nullptr, false);
            const auto seen = body.value("settings_number", std::int64_t{0});
            if (seen >= number) {
                ++in_force;
            } else {
                behind.push_back(each.node.to_string() + " (has " + std::to_string(seen) + ")");
            }
        }
        if (behind.empty() || std::chrono::steady_clock::now() >= until) {
            std::cout << "in force on " << in_force << " of " << in_force + behind.size()
                      << " nodes\n";
            for (const std::string& each : behind) {
                std::cout << "  not in force: " << each << "\n";
            }
            return behind.empty() ? exit_done : exit_partial;
        }
        std::this_thread::sleep_for(wait_step);
    }
}

} // namespace

int fail(const common::error& cause)
{
    std::cerr << "chervilslipctl: " << cause.to_string() << "\n";
    if (cause.code == errc::not_found || cause.code == errc::invalid ||
        cause.code == errc::refused) {
        return exit_refused;
    }
    return exit_unreachable;
}

int report_problems(const std::vector<settings::problem>& problems, bool as_json)
{
    if (as_json) {
        json all = json::array();
        for (const settings::problem& each : problems) {
            all.push_back({{"file", each.file},
                           {"path", each.path},
                           {"found", each.found},
                           {"allowed", each.allowed}});
        }
        std::cout << json{{"problems", all}}.dump(2) << "\n";
    } else {
        for (const settings::problem& each : problems) {
            std::cerr << each.to_string() << "\n";
        }
        std::cerr << problems.size() << " problems; nothing was applied\n";
    }
    return exit_refused;
}

int with_client(const common_options& options, const action& work)
{
    const auto peer = options.reach();
    if (!peer) {
        std::cerr << "chervilslipctl: " << peer.error().to_string() << "\n";
        return exit_usage;
    }
    return work(operator_client(peer.value()), options.json_output());
}

int submit(const operator_client& client, const plan& all, bool as_json, bool wait)
{
    if (all.wanted.edits.empty()) {
        std::cout << (as_json ? "{\"status\": \"unchanged\"}" : "nothing to change") << "\n";
        return exit_done;
    }
    std::int64_t number = 0;
    const int code = report_commit(client.propose(all.wanted), as_json, number);
    return code == exit_done && wait ? wait_in_force(client, number) : code;
}

} // namespace chervilslip::cli
