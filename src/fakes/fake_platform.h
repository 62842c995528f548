#pragma once

#include "fakes/fake_store.h"
#include "fakes/fake_worker.h"

namespace chervilslip::fakes {

/// One VM of the fake fleet.
struct fake_vm {
    std::string vm;
    std::string zone;
    std::string rack;
    std::uint16_t port = 0;
    teams::resources size;
    std::size_t connections = 64;

    friend bool operator==(const fake_vm&, const fake_vm&) = default;
};

/// Where the fake platform listens, and its fleet.
struct platform_settings {
    std::string address = "127.0.0.1";
    std::uint16_t store_port = 0;
    std::uint16_t vm_list_port = 0;
    std::vector<fake_vm> vms;

    friend bool operator==(const platform_settings&, const platform_settings&) = default;
};

/// Reads the fake fleet's file. Thread safe. Errors: `bad_message`, `invalid`.
common::result<platform_settings> load_platform(const std::string& file);

/// The store, the VM list and all workers in one process. Not thread safe.
class fake_platform {
public:
    fake_platform(boost::asio::io_context& context, const common::clock& clock,
                  platform_settings settings);

    /// Opens all ports. Errors: as of `http_server::listen`.
    common::result<void> listen();

    /// Closes all ports, so that the io_context runs out of work.
    void close();

private:
    void handle_list(const net::http_request& request, net::http_exchange& exchange);
    void schedule_tick();

    boost::asio::io_context& context;
    platform_settings settings;
    fake_store store;
    net::http_server vm_list;
    std::map<std::string, std::unique_ptr<fake_worker>> workers;
    std::set<std::string> leaving;
    bool list_down = false;
    bool closed = false;
};

} // namespace chervilslip::fakes
