#include <fstream>
#include <iostream>

#include "cli/command_support.h"
#include "cli/commands.h"
#include "cli/explain.h"

// The command that gathers what logs tell of one request.
namespace chervilslip::cli {

using nlohmann::json;

namespace {

void print(const explanation& told)
{
    for (const logged_event& each : told.events) {
        json rest = each.fields;
        for (const char* shown : {"event", "level", "name", "node"}) {
            rest.erase(shown);
        }
        std::cout << each.time << "  " << each.node << "  " << each.name << "  " << rest.dump()
                  << "\n";
    }
    std::cout << "finding: " << told.finding << "\n";
}

void print_json(const explanation& told)
{
    json events = json::array();
    for (const logged_event& each : told.events) {
        json one = each.fields;
        one["time"] = each.time;
        events.push_back(std::move(one));
    }
    std::cout << json{{"found", told.found}, {"finding", told.finding}, {"events", events}}.dump(2)
              << "\n";
}

} // namespace

int run_explain(TCLAP::CmdLine& line, std::vector<std::string>& arguments)
{
    TCLAP::MultiArg<std::string> logs("l", "log", "a node's log; repeatable", true, "FILE", line);
    TCLAP::SwitchArg as_json("j", "json", "print JSON", line);
    const TCLAP::UnlabeledValueArg<std::string> id("ID", "the request's or job's id", true, "",
                                                   "ID", line);
    line.parse(arguments);
    std::vector<logged_event> events;
    for (const std::string& name : logs.getValue()) {
        std::ifstream file(name);
        if (!file) {
            return fail(common::make_error(common::errc::not_found, "read log", name,
                                           "the file is not readable"));
        }
        std::string text;
        while (std::getline(file, text)) {
            if (auto event = read_event(text)) {
                events.push_back(std::move(*event));
            }
        }
    }
    const explanation told = explain(std::move(events), id.getValue());
    if (as_json.getValue()) {
        print_json(told);
    } else {
        print(told);
    }
    return told.found ? exit_done : exit_refused;
}

} // namespace chervilslip::cli
