#pragma once

#include "common/clock.h"
#include "common/random.h"
#include "load/load_report.h"
#include "net/http_client.h"

namespace chervilslip::load {

/// Sends a plan's requests at their times, whatever the answers, and records each one's fate. It
/// takes the place of the platform's balancer: it asks each node whether it is ready, and turns to
/// another one when no connection is made. Not thread safe.
class load_runner {
public:
    /// Precondition: context and clock outlive the runner.
    load_runner(boost::asio::io_context& context, const common::clock& clock, load_plan plan);

    /// Runs the plan, waits for the answers, reads the workers' logs, and returns all fates.
    /// Errors: of the VM list or a worker's log.
    common::result<std::vector<request_fate>> run();

private:
    struct worker {
        std::string vm;
        net::endpoint address;
        std::string epoch;
    };

    void after(common::milliseconds delay, std::function<void()> action);
    void schedule_arrival(std::size_t stream);
    void schedule_direct();
    void hand_in(request_fate fate);
    void check_nodes();
    void send(std::size_t number);
    void send_to(std::size_t number, std::size_t tries);
    void take_answer(std::size_t number, std::size_t tries, common::steady_time begin,
                     const common::result<net::http_response>& answer);
    void send_direct(std::size_t number);
    [[nodiscard]] common::milliseconds since_start() const;
    [[nodiscard]] std::size_t pick_node();
    common::result<void> read_workers();
    common::result<void> read_logs();
    [[nodiscard]] static std::string nonce_of(std::size_t number);

    boost::asio::io_context& context;
    const common::clock& clock;
    load_plan plan;
    common::random_source random;
    net::http_client client;
    common::steady_time begin;
    std::vector<bool> ready;
    std::vector<request_fate> fates;
    std::vector<worker> workers;
};

} // namespace chervilslip::load
