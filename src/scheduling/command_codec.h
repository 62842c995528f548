#pragma once

#include <string>
#include <variant>
#include <vector>

#include "common/error.h"
#include "scheduling/messages.h"

namespace chervilslip::scheduling {

/// An order to a worker that another node carries out.
struct numbered_command {
    std::uint64_t number = 0; ///< chosen by the owner; its result bears it too
    std::variant<poll_command, start_command, stop_command, throttle_command> command;

    friend bool operator==(const numbered_command&, const numbered_command&) = default;
};

/// Orders of one owner, in the order of their decisions.
struct command_batch {
    std::int64_t token = 0; ///< fences older owners at the workers
    std::vector<numbered_command> commands;

    friend bool operator==(const command_batch&, const command_batch&) = default;
};

/// What became of an order.
struct numbered_result {
    std::uint64_t number = 0;
    command_outcome outcome = command_outcome::unknown;
    std::int64_t clock_ms = 0;           ///< of a start or a stop; 0 when unknown
    std::optional<worker_report> report; ///< of a look that was accepted

    friend bool operator==(const numbered_result&, const numbered_result&) = default;
};

/// Returns the orders in msgpack; what tasks of one job carry is written once. Thread safe.
std::string encode_commands(const command_batch& batch);

/// Reads orders in msgpack. Thread safe. Errors: `bad_message`.
common::result<command_batch> decode_commands(const std::string& bytes, const std::string& peer);

/// Returns results in msgpack. Thread safe.
std::string encode_results(const std::vector<numbered_result>& results);

/// Reads results in msgpack. Thread safe. Errors: `bad_message`.
common::result<std::vector<numbered_result>> decode_results(const std::string& bytes,
                                                            const std::string& peer);

} // namespace chervilslip::scheduling
