#include "scheduling/reservations.h"

#include <algorithm>
#include <utility>

namespace chervilslip::scheduling {

namespace {

using common::milliseconds;
using common::steady_time;

/// Reservations of a pool. Beside the first one they may take a third of the pool: the reserved
/// workers run empty, which costs the smaller tasks about half a run time of each.
constexpr std::size_t max_reservations = 4;
constexpr std::int64_t pool_parts = 3;

/// Blocked steps that are followed per pool, of the large ones and of the others.
constexpr std::size_t max_followed = 8;

/// Workers of a pool are compared at most once in this time, because that visits all their runs.
constexpr milliseconds scan_interval{100};

/// What runs on the reserved workers is looked at again after this time.
constexpr milliseconds refresh_interval{50};

/// A step that could not get or keep a reservation asks for none for this time.
constexpr milliseconds bar_time{1000};

/// A reservation looks for another place if its runs exceed their forecast by this much. The gap
/// between its moves doubles, and the other place must be expected to be free so much earlier.
constexpr milliseconds overrun_margin{200};
constexpr milliseconds first_move_gap{500};
constexpr milliseconds min_move_gain{200};
constexpr int max_gap_doublings = 6;

/// A reserved place that has had room for so long is given up: a rule keeps the task from it. The
/// advice service takes up to a second to allow a worker that has just become free.
constexpr milliseconds max_unused_time{2000};

/// Work that may take reserved room takes other room if there is any. Larger than the costs of
/// `placement_cost` for remote data and shared racks.
constexpr double displacement_cost = 500.0;

teams::resources multiply(const teams::resources& size, std::int64_t count)
{
    return {size.processors * count, size.memory_mb * count, size.accelerators * count,
            size.slots * count};
}

milliseconds between(steady_time from, steady_time until)
{
    return std::chrono::duration_cast<milliseconds>(until - from);
}

std::string ms_text(steady_time from, steady_time until)
{
    return std::to_string(between(from, until).count()) + " ms";
}

std::string describe_places(const reservation& made)
{
    std::string text;
    for (const auto& [worker, place] : made.places) {
        text += (text.empty() ? "" : ", ") + worker;
    }
    return text;
}

std::map<std::string, reservation::place> places_of(const placement_plan& plan,
                                                    const teams::resources& size)
{
    std::map<std::string, reservation::place> places;
    for (const worker_forecast* each : plan.workers) {
        reservation::place& place = places[each->worker];
        ++place.tasks;
        place.beside = room_at(*each, plan.due);
        place.beside -= multiply(size, place.tasks);
    }
    return places;
}

bool is_smaller(const teams::resources& size, const teams::resources& than)
{
    return than.can_fit(size) && size != than;
}

} // namespace

void reservation_book::begin_round(steady_time begun)
{
    this->now = begun;
    this->capacities.clear();
    this->refused.clear();
    this->next_position = 0;
    for (reservation& each : this->reservations) {
        each.visited = false;
    }
    std::erase_if(this->barred_until, [begun](const auto& each) { return begun >= each.second; });
}

bool reservation_book::needs_refresh()
{
    if (this->reservations.empty() || this->now < this->refreshed_at + refresh_interval) {
        return false;
    }
    this->refresh_gap = between(this->refreshed_at, this->now);
    this->refreshed_at = this->now;
    return true;
}

void reservation_book::refresh(const worker_forecast& current)
{
    ++this->totals.forecasts;
    for (reservation& each : this->reservations) {
        const auto found = each.places.find(current.worker);
        if (found == each.places.end()) {
            continue;
        }
        reservation::place& place = found->second;
        const teams::resources reserved = multiply(each.size, place.tasks);
        place.beside = room_at(current, each.due);
        place.beside -= reserved;
        const teams::resources free = room_at(current, this->now);
        place.has_room = free.can_fit(reserved);
        this->totals.held_core_ms += static_cast<std::uint64_t>(
            std::clamp<std::int64_t>(free.processors, 0, reserved.processors) *
            this->refresh_gap.count());
        // Only long-running tasks remain at the end of time.
        if (!room_at(current, never_ends - milliseconds(1)).can_fit(reserved)) {
            each.problem = "the capacity of " + current.worker + " has shrunk";
        }
    }
}

void reservation_book::invalidate(const std::string& worker, std::string cause)
{
    for (reservation& each : this->reservations) {
        if (each.places.contains(worker)) {
            each.problem = cause;
        }
    }
}

const std::vector<reservation>& reservation_book::open() const
{
    return this->reservations;
}

bool reservation_book::is_idle() const
{
    return this->reservations.empty() && this->blocked.empty();
}

const pool_capacity* reservation_book::capacity_of(const std::string& pool) const
{
    const auto found = this->capacities.find(pool);
    return found == this->capacities.end() ? nullptr : &found->second;
}

void reservation_book::set_capacity(const std::string& pool, const pool_capacity& capacity)
{
    this->capacities[pool] = capacity;
}

bool reservation_book::refuses(const placement_claim& claim) const
{
    // Longer and larger tasks get no room where a shorter and smaller one gets none.
    return !claim.large && !claim.isolated && claim.ends != never_ends &&
           std::any_of(this->refused.begin(), this->refused.end(),
                       [&claim](const placement_claim& each) {
                           return each.pool == claim.pool && claim.ends >= each.ends &&
                                  claim.size.can_fit(each.size);
                       }) &&
           this->count_of(claim.step) == 0;
}

void reservation_book::note_refused(const placement_claim& claim)
{
    if (!claim.large) {
        this->refused.push_back(claim);
    }
}

const reservation* reservation_book::on(const std::string& worker) const
{
    const auto found =
        std::find_if(this->reservations.begin(), this->reservations.end(),
                     [&worker](const reservation& each) { return each.places.contains(worker); });
    return found == this->reservations.end() ? nullptr : &*found;
}

std::optional<double> reservation_book::cost_of(const std::string& worker,
                                                const placement_claim& claim,
                                                const teams::resources& claimed) const
{
    const reservation* held = this->on(worker);
    if (held == nullptr || held->step == claim.step || claim.ends <= held->due) {
        return 0.0;
    }
    teams::resources needed = claimed;
    needed += claim.size;
    if (held->places.at(worker).beside.can_fit(needed)) {
        return 0.0;
    }
    // Among tasks that are as large the rank decides, and long-running tasks go first.
    const bool as_large = claim.large || claim.size.can_fit(held->size);
    const bool may_displace =
        claim.isolated || claim.ends == never_ends || (as_large && !held->visited);
    return may_displace ? std::optional(displacement_cost) : std::nullopt;
}

void reservation_book::note_blocked(const blocked_step& what)
{
    for (reservation& each : this->reservations) {
        each.visited = each.visited || each.step == what.step;
    }
    std::vector<waiting_step>& steps = this->blocked[what.pool];
    auto found = std::find_if(steps.begin(), steps.end(), [&what](const waiting_step& each) {
        return each.what.step == what.step;
    });
    if (found == steps.end()) {
        const auto alike =
            std::count_if(steps.begin(), steps.end(), [&what](const waiting_step& each) {
                return each.what.large == what.large;
            });
        if (static_cast<std::size_t>(alike) >= max_followed) {
            return;
        }
        found = steps.insert(steps.end(), {what, this->now, std::nullopt});
    }
    if (found->seen) {
        return; // another task of the step
    }
    found->what = what;
    found->seen = true;
    found->position = this->next_position++;
}

void reservation_book::note_placed(const placement_claim& claim, const std::string& worker,
                                   std::int64_t left)
{
    for (waiting_step& each : this->blocked[claim.pool]) {
        if (each.what.step == claim.step) {
            each.overtaken_since.reset();
            continue;
        }
        each.contended = each.contended || each.what.gang || !claim.size.can_fit(each.what.size);
        if (each.seen && !each.overtaken_since && is_smaller(claim.size, each.what.size)) {
            each.overtaken_since = this->now;
        }
    }
    std::size_t own = this->reservations.size();
    for (std::size_t i = 0; i < this->reservations.size(); ++i) {
        reservation& each = this->reservations[i];
        const auto place = each.places.find(worker);
        if (each.step == claim.step) {
            each.visited = true;
            own = own == this->reservations.size() || place != each.places.end() ? i : own;
        } else if (place != each.places.end() && claim.ends > each.due) {
            if (place->second.beside.can_fit(claim.size)) {
                place->second.beside -= claim.size;
            } else {
                each.problem = "a task of earlier rank has taken its place";
            }
        }
    }
    if (own == this->reservations.size()) {
        return;
    }
    const reservation& used = this->reservations[own];
    const bool is_needed = !used.places.contains(worker) && !used.gang &&
                           left >= static_cast<std::int64_t>(this->count_of(claim.step));
    if (!is_needed) {
        this->totals.start_wait_ms +=
            static_cast<std::uint64_t>(between(used.blocked_since, this->now).count());
        this->close(own, reservation_event::kind::used,
                    "starts on " + worker + " after " + ms_text(used.blocked_since, this->now));
    }
}

std::size_t reservation_book::count_of(const step_id& step) const
{
    return static_cast<std::size_t>(
        std::count_if(this->reservations.begin(), this->reservations.end(),
                      [&step](const reservation& each) { return each.step == step; }));
}

std::vector<step_id> reservation_book::unvisited() const
{
    std::vector<step_id> steps;
    for (const reservation& each : this->reservations) {
        if (!each.visited) {
            steps.push_back(each.step);
        }
    }
    return steps;
}

void reservation_book::give_up(const step_id& step, const std::string& cause)
{
    for (std::size_t i = this->reservations.size(); i > 0; --i) {
        if (this->reservations[i - 1].step == step) {
            this->close(i - 1, reservation_event::kind::given_up, cause);
        }
    }
}

void reservation_book::close(std::size_t index, reservation_event::kind how,
                             const std::string& detail)
{
    const reservation& closed = this->reservations[index];
    ++(how == reservation_event::kind::used ? this->totals.used : this->totals.given_up);
    this->events.push_back({how, closed.step,
                            detail + "; reserved on " + describe_places(closed) + ", forecast " +
                                ms_text(closed.made_at, closed.due) + ", actual " +
                                ms_text(closed.made_at, this->now)});
    this->reservations.erase(this->reservations.begin() + static_cast<std::ptrdiff_t>(index));
    this->refused.clear(); // there is more room now
}

void reservation_book::drop_problems()
{
    for (std::size_t i = this->reservations.size(); i > 0; --i) {
        reservation& each = this->reservations[i - 1];
        if (!std::all_of(each.places.begin(), each.places.end(),
                         [](const auto& place) { return place.second.has_room; })) {
            each.room_since.reset();
        } else if (!each.room_since) {
            each.room_since = this->now;
        }
        if (each.problem.empty() && each.room_since &&
            this->now >= *each.room_since + max_unused_time) {
            each.problem = "its place has room, but the task may not start there";
            this->barred_until[each.step] = this->now + bar_time;
        }
        if (!each.problem.empty()) {
            const std::string cause = each.problem;
            this->close(i - 1, reservation_event::kind::given_up, cause);
        }
    }
}

bool reservation_book::may_request(const waiting_step& waiting) const
{
    const bool is_held_up =
        (waiting.what.large && waiting.contended) ||
        (waiting.overtaken_since && this->now >= *waiting.overtaken_since + waiting.what.run_time);
    return is_held_up && !this->barred_until.contains(waiting.what.step);
}

std::vector<blocked_step> reservation_book::take_requests()
{
    this->drop_problems();
    std::vector<blocked_step> requests;
    for (auto& [pool, steps] : this->blocked) {
        std::erase_if(steps, [](const waiting_step& each) { return !each.seen; });
        std::sort(steps.begin(), steps.end(),
                  [](const waiting_step& left, const waiting_step& right) {
                      return left.position < right.position;
                  });
        for (waiting_step& each : steps) {
            each.seen = false;
        }
        const auto scan = this->next_scan.find(pool);
        if (scan != this->next_scan.end() && this->now < scan->second) {
            continue;
        }
        const std::size_t before = requests.size();
        for (const waiting_step& each : steps) {
            const auto open = std::count_if(
                this->reservations.begin(), this->reservations.end(),
                [&pool = pool](const reservation& other) { return other.pool == pool; });
            const auto own = static_cast<std::int64_t>(this->count_of(each.what.step));
            const bool is_one = each.what.gang || !each.what.large;
            const std::int64_t wanted = is_one ? 1 : each.what.tasks;
            for (std::int64_t i = own;
                 i < wanted && this->may_request(each) &&
                 static_cast<std::size_t>(open) + requests.size() - before < max_reservations;
                 ++i) {
                requests.push_back(each.what);
            }
            const bool overruns =
                std::any_of(this->reservations.begin(), this->reservations.end(),
                            [&](const reservation& other) {
                                return other.step == each.what.step && this->may_move(other);
                            });
            if (overruns && requests.size() - before < max_reservations) {
                requests.push_back(each.what);
            }
        }
        if (requests.size() > before) {
            this->next_scan[pool] = this->now + scan_interval;
        }
    }
    std::erase_if(this->blocked, [](const auto& each) { return each.second.empty(); });
    return requests;
}

bool reservation_book::may_move(const reservation& held) const
{
    return !held.room_since && this->now >= held.due + overrun_margin &&
           this->now >= held.next_move;
}

bool reservation_book::fits_budget(const blocked_step& what) const
{
    teams::resources reserved = multiply(what.size, what.gang ? what.tasks : 1);
    std::size_t others = 0;
    for (const reservation& each : this->reservations) {
        if (each.pool != what.pool) {
            continue;
        }
        ++others;
        for (const auto& [worker, place] : each.places) {
            reserved += multiply(each.size, place.tasks);
        }
    }
    const auto found = this->capacities.find(what.pool);
    return others == 0 || (others < max_reservations && found != this->capacities.end() &&
                           found->second.total.can_fit(multiply(reserved, pool_parts)));
}

void reservation_book::reserve(const blocked_step& what,
                               const std::vector<worker_forecast>& workers)
{
    const auto overrun = std::find_if(
        this->reservations.begin(), this->reservations.end(),
        [&](const reservation& each) { return each.step == what.step && this->may_move(each); });
    if (overrun != this->reservations.end()) {
        this->move(*overrun, what, workers);
        return;
    }
    if (!this->fits_budget(what)) {
        return;
    }
    std::vector<const worker_forecast*> unreserved;
    for (const worker_forecast& each : workers) {
        if (this->on(each.worker) == nullptr) {
            unreserved.push_back(&each);
        }
    }
    this->totals.forecasts += workers.size();
    const auto plan = best_plan(what, unreserved, this->now);
    if (!plan) {
        this->barred_until[what.step] = this->now + bar_time;
        return;
    }
    if (plan->due <= this->now) {
        return; // not for lack of capacity
    }
    this->add(what, plan->due, places_of(*plan, what.size), nullptr);
}

void reservation_book::move(reservation& from, const blocked_step& what,
                            const std::vector<worker_forecast>& workers)
{
    std::vector<const worker_forecast*> others;
    std::vector<const worker_forecast*> own;
    for (const worker_forecast& each : workers) {
        const reservation* held = this->on(each.worker);
        if (held == &from) {
            own.push_back(&each);
        }
        if (held == nullptr || held == &from) {
            others.push_back(&each);
        }
    }
    this->totals.forecasts += workers.size();
    from.next_move = this->now + first_move_gap;
    const auto current = best_plan(what, own, this->now);
    const auto better = best_plan(what, others, this->now);
    if (!better || (current && better->due + min_move_gain > current->due)) {
        return;
    }
    const reservation moved = from;
    ++this->totals.moved;
    this->close(static_cast<std::size_t>(&from - this->reservations.data()),
                reservation_event::kind::given_up, "its runs exceed their forecast, moved");
    this->add(what, better->due, places_of(*better, what.size), &moved);
}

void reservation_book::add(const blocked_step& what, steady_time due,
                           std::map<std::string, reservation::place> places,
                           const reservation* moved)
{
    reservation made;
    made.step = what.step;
    made.pool = what.pool;
    made.size = what.size;
    made.gang = what.gang;
    made.places = std::move(places);
    made.blocked_since = this->now;
    for (const waiting_step& each : this->blocked[what.pool]) {
        if (each.what.step == what.step) {
            made.blocked_since = each.since;
        }
    }
    made.made_at = this->now;
    if (this->reservations.empty()) {
        this->refreshed_at = this->now;
    }
    made.due = due;
    made.next_move = this->now;
    if (moved != nullptr) {
        made.blocked_since = moved->blocked_since;
        made.moves = moved->moves + 1;
        made.next_move =
            this->now + first_move_gap * (1 << std::min(made.moves, max_gap_doublings));
    }
    ++this->totals.made;
    this->events.push_back({reservation_event::kind::made, what.step,
                            "reserved on " + describe_places(made) + ", forecast " +
                                ms_text(made.made_at, made.due) + ", moves " +
                                std::to_string(made.moves)});
    this->reservations.push_back(std::move(made));
}

const reservation_counters& reservation_book::counters() const
{
    return this->totals;
}

std::vector<reservation_event> reservation_book::take_events()
{
    return std::exchange(this->events, {});
}

} // namespace chervilslip::scheduling
