#include <iostream>

#include <boost/asio/signal_set.hpp>
#include <random>
#include <tclap/CmdLine.h>

#include "daemon/node.h"

namespace {

constexpr int exit_usage = 2;

int run(const std::string& settings_file, bool quiet)
{
    using namespace chervilslip;
    common::event_log::initialize(quiet);
    auto checked = daemon::load_node_settings(settings_file);
    if (!checked.problems.empty()) {
        const common::event_log log("unnamed");
        for (const auto& problem : checked.problems) {
            log.write(common::event_id::node_settings_invalid, {{"problem", problem.to_string()}});
        }
        return exit_usage;
    }
    boost::asio::io_context context(1);
    const common::real_clock clock;
    const common::event_log log(checked.typed.node);
    std::random_device seed_source;
    daemon::node node(context, clock, std::move(checked.typed), seed_source());
    const auto started = node.start();
    if (!started) {
        log.write(common::event_id::listen_failed, {{"error", started.error().to_string()}});
        return 1;
    }
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait(
        [&](const boost::system::error_code&, int) { node.stop([&context] { context.stop(); }); });
    context.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        TCLAP::CmdLine arguments("Entry node of chervilslip.");
        const TCLAP::ValueArg<std::string> settings_file(
            "s", "settings", "settings file of the node", true, "", "FILE", arguments);
        const TCLAP::SwitchArg quiet("q", "quiet", "log only warnings and alarms", arguments);
        arguments.parse(argc, argv);
        return run(settings_file.getValue(), quiet.getValue());
    } catch (const TCLAP::ArgException& failure) {
        std::cerr << "chervilslipd: " << failure.error() << " " << failure.argId() << "\n";
        return exit_usage;
    }
}
