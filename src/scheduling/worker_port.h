#pragma once

#include <functional>

#include "scheduling/messages.h"

namespace chervilslip::scheduling {

/// Sends commands to workers. Each handler is called exactly once, on the io_context's thread and
/// never from within the call. Not thread safe.
class worker_port {
public:
    worker_port() = default;
    worker_port(const worker_port&) = delete;
    worker_port& operator=(const worker_port&) = delete;
    virtual ~worker_port() = default;

    /// Every command carries a fencing token; a worker rejects a lower one than it has seen.
    virtual void poll(const poll_command& command,
                      std::function<void(command_outcome, worker_report)> done) = 0;
    virtual void start(const start_command& command, std::function<void(command_result)> done) = 0;
    virtual void stop(const stop_command& command, std::function<void(command_result)> done) = 0;
    virtual void throttle(const throttle_command& command) = 0;
    virtual void advise(const advice_request& request,
                        std::function<void(advice_response)> done) = 0;
};

} // namespace chervilslip::scheduling
