#include <fstream>
#include <iostream>

#include <tclap/CmdLine.h>

#include "load/load_runner.h"

namespace {

constexpr int exit_usage = 2;

int run(const std::string& file, const std::string& html_file, bool as_json)
{
    using namespace chervilslip;
    const auto plan = load::load_plan_file(file);
    if (!plan) {
        std::cerr << "chervilslip-load: " << plan.error().to_string() << "\n";
        return exit_usage;
    }
    boost::asio::io_context context;
    const common::real_clock clock;
    const auto fates = load::load_runner(context, clock, plan.value()).run();
    if (!fates) {
        std::cerr << "chervilslip-load: " << fates.error().to_string() << "\n";
        return 1;
    }
    const auto report = load::summarize(plan.value(), fates.value());
    if (!html_file.empty()) {
        std::ofstream(html_file) << load::to_html(plan.value(), fates.value());
    }
    if (as_json) {
        std::cout << load::to_json(report).dump(2) << "\n";
    } else {
        std::cout << load::to_text(report);
    }
    return load::is_clean(report) ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        TCLAP::CmdLine arguments("Sends open-loop load and checks every answer against the "
                                 "workers' logs.");
        const TCLAP::ValueArg<std::string> plan("p", "plan", "the plan's file", true, "", "FILE",
                                                arguments);
        const TCLAP::ValueArg<std::string> html("", "html", "write a page with plots", false, "",
                                                "FILE", arguments);
        const TCLAP::SwitchArg as_json("j", "json", "print JSON", arguments);
        arguments.parse(argc, argv);
        return run(plan.getValue(), html.getValue(), as_json.getValue());
    } catch (const TCLAP::ArgException& failure) {
        std::cerr << "chervilslip-load: " << failure.error() << " " << failure.argId() << "\n";
        return exit_usage;
    }
}
