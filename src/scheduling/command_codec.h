#pragma once

#include <string>
#include <variant>
#include <vector>

#include "common/clock.h"
#include "common/error.h"
#include "scheduling/messages.h"

namespace chervilslip::scheduling {

/// A command to a worker that another node sends on behalf of the owner.
struct numbered_command {
    std::uint64_t number = 0; ///< chosen by the owner and repeated in the result
    std::variant<poll_command, start_command, stop_command, throttle_command> command;

    friend bool operator==(const numbered_command&, const numbered_command&) = default;
};

/// Commands of one owner, in the order in which they were decided.
struct command_batch {
    static constexpr common::milliseconds max_result_delay{100}; ///< a longer one is cut to this

    std::vector<numbered_command> commands;
    /// When the first command was decided, on the owner's monotonic clock; 0: unknown, in batches
    /// of earlier versions.
    common::milliseconds decided_at{0};
    /// How much longer than usual a relay gathers results, because the owner lags.
    common::milliseconds result_delay{0};

    friend bool operator==(const command_batch&, const command_batch&) = default;
};

/// The result of a relayed command.
struct numbered_result {
    std::uint64_t number = 0;
    command_outcome outcome = command_outcome::unknown;
    std::int64_t clock_ms = 0;           ///< of a start or a stop; 0: unknown
    std::optional<worker_report> report; ///< of an accepted poll

    friend bool operator==(const numbered_result&, const numbered_result&) = default;
};

/// Encodes commands as MessagePack. A payload that the tasks of a job share is written once. Thread
/// safe.
std::string encode_commands(const command_batch& batch);

/// Decodes commands from MessagePack. Thread safe. Errors: `bad_message`.
common::result<command_batch> decode_commands(const std::string& bytes, const std::string& peer);

/// Encodes results as MessagePack. Thread safe.
std::string encode_results(const std::vector<numbered_result>& results);

/// Decodes results from MessagePack. Thread safe. Errors: `bad_message`.
common::result<std::vector<numbered_result>> decode_results(const std::string& bytes,
                                                            const std::string& peer);

} // namespace chervilslip::scheduling
