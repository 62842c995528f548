#pragma once

#include "common/random.h"
#include "net/http_server.h"

namespace chervilslip::fakes {

/// The faults of a peer as its callers see them.
struct gate_switches {
    bool down = false;             ///< connections end without an answer
    common::milliseconds delay{0}; ///< before each answer
    double lost_answers = 0.0;     ///< fraction of answers lost after the work was done
    std::int64_t lose_next = 0;    ///< how many of the next answers are lost for certain

    friend bool operator==(const gate_switches&, const gate_switches&) = default;
};

/// Lets requests through to a fake, or makes them fail. Not thread safe.
class fault_gate {
public:
    fault_gate(boost::asio::io_context& context, std::uint64_t seed);

    /// Runs `work` on the request and sends what it answers, unless a fault is switched on.
    void pass(const std::shared_ptr<net::http_exchange>& exchange,
              const std::function<net::http_response()>& work);

    /// Sends an answer that is ready, through the same faults.
    void send(const std::shared_ptr<net::http_exchange>& exchange, net::http_response response);

    /// Takes over the switches that a JSON object names.
    void set(const nlohmann::json& wanted);

    gate_switches switches;

private:
    bool loses_answer();

    boost::asio::io_context& context;
    common::random_source random;
};

} // namespace chervilslip::fakes
