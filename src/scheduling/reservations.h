#pragma once

#include "scheduling/reservation_plan.h"

namespace chervilslip::scheduling {

/// Room that is kept for a task, or for all tasks of a gang.
struct reservation {
    struct place {
        std::int64_t tasks = 0;
        /// Room beside the reserved tasks and the runs that last beyond `due`.
        teams::resources beside;
        bool has_room = false; ///< for all its tasks, at the latest refresh

        friend bool operator==(const place&, const place&) = default;
    };

    step_id step;
    std::string pool;
    teams::resources size; ///< of one task
    bool gang = false;
    std::map<std::string, place> places; ///< by worker
    common::steady_time blocked_since;
    common::steady_time made_at;
    common::steady_time due; ///< when the places are expected to have room
    common::steady_time next_move;
    int moves = 0;
    bool visited = false;                          ///< the step has had its turn in this round
    std::optional<common::steady_time> room_since; ///< in all places
    std::string problem;                           ///< why it can not be kept; empty: none

    friend bool operator==(const reservation&, const reservation&) = default;
};

/// A task for which a worker is sought.
struct placement_claim {
    step_id step;
    std::string pool;
    teams::resources size;
    common::steady_time ends; ///< expected; `never_ends` for a long-running task
    bool large = false;       ///< as `blocked_step::large`
    bool isolated = false;    ///< runs on the worker that is held for it

    friend bool operator==(const placement_claim&, const placement_claim&) = default;
};

/// What became of a reservation.
struct reservation_event {
    enum class kind { made, used, given_up };
    kind event{};
    step_id step;
    std::string detail;

    friend bool operator==(const reservation_event&, const reservation_event&) = default;
};

/// Counts for metrics, since the start of the owner's claim.
struct reservation_counters {
    std::uint64_t made = 0;
    std::uint64_t used = 0;
    std::uint64_t given_up = 0;
    std::uint64_t moved = 0;         ///< those of `given_up` that were made anew on other workers
    std::uint64_t held_core_ms = 0;  ///< thousandths of a processor that were kept idle, times ms
    std::uint64_t start_wait_ms = 0; ///< of the used ones, from the first round without room
    std::uint64_t forecasts = 0;     ///< of workers; each visits all runs there

    friend bool operator==(const reservation_counters&, const reservation_counters&) = default;
};

/// Keeps room for large tasks and gangs that smaller tasks would hold up, by EASY backfill: a place
/// is reserved where the runs are expected to end first, and until then gets only tasks that are
/// expected to end in time or to fit beside. It only withholds room. Lives in the owner's memory.
/// Not thread safe. Precondition: its calls come in the order of a round: `begin_round`, `refresh`
/// and `invalidate`, then placement, then `give_up`, `take_requests` and `reserve`.
class reservation_book {
public:
    void begin_round(common::steady_time now);

    /// Returns whether the reserved workers are to be refreshed in this round.
    [[nodiscard]] bool needs_refresh();

    /// Applies what runs on a reserved worker now.
    void refresh(const worker_forecast& current);

    /// Records that a reserved worker can not be used.
    void invalidate(const std::string& worker, std::string cause);

    [[nodiscard]] const std::vector<reservation>& open() const;

    /// Returns whether nothing is reserved or waits for room.
    [[nodiscard]] bool is_idle() const;

    /// Returns the pool's capacity if it is known in this round.
    [[nodiscard]] const pool_capacity* capacity_of(const std::string& pool) const;
    void set_capacity(const std::string& pool, const pool_capacity& capacity);

    /// Returns whether a claim is known to get no room in this round.
    [[nodiscard]] bool refuses(const placement_claim& claim) const;

    /// Records that reservations withhold all the room that the claim could use. Precondition: no
    /// rule but its size keeps the task from any worker.
    void note_refused(const placement_claim& claim);

    /// Returns the cost of placing a task on a worker on which tasks of its gang have claimed
    /// `claimed`, or nothing if the room there is withheld. Without reservations it is 0.
    [[nodiscard]] std::optional<double> cost_of(const std::string& worker,
                                                const placement_claim& claim,
                                                const teams::resources& claimed) const;

    /// Handles a step that found no room in this round. Precondition: steps are passed in order.
    void note_blocked(const blocked_step& what);

    /// Handles the start of a task; `left` tasks of its step wait.
    void note_placed(const placement_claim& claim, const std::string& worker, std::int64_t left);

    /// Returns the steps with reservations that have not had their turn in this round.
    [[nodiscard]] std::vector<step_id> unvisited() const;

    void give_up(const step_id& step, const std::string& cause);

    /// Ends the round: gives up what can not be kept, and returns the steps that need a
    /// reservation, or another place for theirs. They are few, and none for some time after a call
    /// that returned any of the same pool.
    [[nodiscard]] std::vector<blocked_step> take_requests();

    /// Makes or moves a reservation of a requested step. `workers` are those that may run it.
    void reserve(const blocked_step& what, const std::vector<worker_forecast>& workers);

    [[nodiscard]] const reservation_counters& counters() const;
    [[nodiscard]] std::vector<reservation_event> take_events();

private:
    struct waiting_step {
        blocked_step what;
        common::steady_time since;
        std::optional<common::steady_time> overtaken_since; ///< by smaller tasks of later rank
        bool contended = false;   ///< other work has been placed in its pool while it waits
        std::size_t position = 0; ///< in this round
        bool seen = false;        ///< in this round
    };

    [[nodiscard]] bool may_move(const reservation& held) const;
    [[nodiscard]] bool fits_budget(const blocked_step& what) const;
    [[nodiscard]] bool may_request(const waiting_step& waiting) const;
    [[nodiscard]] std::size_t count_of(const step_id& step) const;
    [[nodiscard]] const reservation* on(const std::string& worker) const;
    void add(const blocked_step& what, common::steady_time due,
             std::map<std::string, reservation::place> places, const reservation* moved);
    void move(reservation& from, const blocked_step& what,
              const std::vector<worker_forecast>& workers);
    void close(std::size_t index, reservation_event::kind how, const std::string& detail);
    void drop_problems();

    common::steady_time now;
    common::steady_time refreshed_at;
    common::milliseconds refresh_gap{0}; ///< between the two latest refreshes
    std::vector<reservation> reservations;
    std::map<std::string, std::vector<waiting_step>> blocked; ///< by pool, in order
    std::map<std::string, pool_capacity> capacities;
    std::vector<placement_claim> refused;                 ///< in this round
    std::map<std::string, common::steady_time> next_scan; ///< by pool
    /// Steps without a reservation for a time, because none could be made or kept.
    std::map<step_id, common::steady_time> barred_until;
    std::size_t next_position = 0;
    reservation_counters totals;
    std::vector<reservation_event> events;
};

} // namespace chervilslip::scheduling
