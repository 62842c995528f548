#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "common/clock.h"

namespace chervilslip::net {

/// What a connection is doing. It decides whether the connection may be shed.
enum class connection_phase : std::uint8_t {
    idle,      ///< no byte of a request has arrived; holds little and is not shed
    receiving, ///< a request is incomplete
    handling,  ///< a request is complete and not answered yet; never shed
    sending,   ///< an answer is under way; shed only while the client takes nothing of it
};

/// Counts the bytes that peers make one listener hold, and chooses which connections to shed when
/// there are too many. It decides only; whoever owns the connections closes them. Not thread safe.
class memory_budget {
public:
    using account_id = std::size_t;

    explicit memory_budget(std::size_t total_bytes);

    /// Opens the account of a new connection, which is idle and holds nothing.
    account_id open(common::steady_time now);

    /// Precondition: the account is open.
    void close(account_id account);

    /// Records all that a connection holds now. Precondition: the account is open.
    void set_held(account_id account, std::size_t bytes);

    /// Records the beginning of a phase. Precondition: the account is open.
    void set_phase(account_id account, connection_phase phase, common::steady_time now);

    /// Records that the client has taken a part of its answer. Precondition: the account is open.
    void note_progress(account_id account, common::steady_time now);

    /// Returns the bytes that all connections hold.
    [[nodiscard]] std::size_t held() const;

    [[nodiscard]] bool is_exceeded() const;

    /// Returns which connections to shed, so that an eighth of the total becomes free: first those
    /// with the largest product of bytes held and time without progress, and of equal ones the
    /// oldest. Returns none unless the total is exceeded.
    [[nodiscard]] std::vector<account_id> choose_to_shed(common::steady_time now) const;

    /// Returns the connection that has been idle for longest, and for at least `min_time`.
    [[nodiscard]] std::optional<account_id> longest_idle(common::steady_time now,
                                                         common::milliseconds min_time) const;

private:
    struct account {
        std::size_t held = 0;
        common::steady_time since; ///< of the phase, or of the latest progress in it
        std::uint64_t number = 0;  ///< in the order of opening
        connection_phase phase = connection_phase::idle;
        bool is_open = false;
    };

    [[nodiscard]] static bool may_be_shed(const account& of, common::steady_time now);

    std::size_t total;
    std::size_t held_by_all = 0;
    std::uint64_t opened = 0;
    std::vector<account> accounts;
    std::vector<account_id> unused; ///< accounts that are closed
};

} // namespace chervilslip::net
