// The project's stand-in of the platform, with an argument parser that needs no package beyond
// those of the deploy file.
#include <iostream>

#include <boost/asio/signal_set.hpp>

#include "platform/stand_in/platform_stand_in.h"

int main(int argc, char** argv)
{
    using namespace chervilslip;
    if (argc != 3 || std::string_view(argv[1]) != "--plan") {
        std::cerr << "usage: chervilslip-stand-in --plan FILE\n";
        return 2;
    }
    auto plan = platform::stand_in::load_plan(argv[2]);
    if (!plan) {
        std::cerr << "chervilslip-stand-in: " << plan.error().to_string() << "\n";
        return 2;
    }
    boost::asio::io_context context(1);
    const common::real_clock clock;
    platform::stand_in::platform_stand_in served(context, clock, std::move(plan.value()));
    const auto listening = served.listen();
    if (!listening) {
        std::cerr << "chervilslip-stand-in: " << listening.error().to_string() << "\n";
        return 1;
    }
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code&, int) { context.stop(); });
    context.run();
    return 0;
}
