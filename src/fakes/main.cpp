#include <iostream>

#include <boost/asio/signal_set.hpp>
#include <tclap/CmdLine.h>

#include "fakes/fake_platform.h"

namespace {

constexpr int exit_usage = 2;

int run(const std::string& file)
{
    using namespace chervilslip;
    auto settings = fakes::load_platform(file);
    if (!settings) {
        std::cerr << "chervilslip-fake: " << settings.error().to_string() << "\n";
        return exit_usage;
    }
    boost::asio::io_context context;
    const common::real_clock clock;
    fakes::fake_platform platform(context, clock, settings.value());
    const auto listening = platform.listen();
    if (!listening) {
        std::cerr << "chervilslip-fake: " << listening.error().to_string() << "\n";
        return 1;
    }
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code&, int) {
        platform.close();
        context.stop();
    });
    std::cout << "chervilslip-fake: ready" << std::endl;
    context.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        TCLAP::CmdLine arguments("Small stand-ins of the platform: store, VM list and workers.");
        const TCLAP::ValueArg<std::string> fleet("f", "fleet", "the fake fleet's file", true, "",
                                                 "FILE", arguments);
        arguments.parse(argc, argv);
        return run(fleet.getValue());
    } catch (const TCLAP::ArgException& failure) {
        std::cerr << "chervilslip-fake: " << failure.error() << " " << failure.argId() << "\n";
        return exit_usage;
    }
}
