#pragma once

#include <functional>
#include <map>
#include <set>

#include "scheduling/messages.h"

namespace chervilslip::fakes {

/// One run that a worker is told to start.
struct run_request {
    jobs::task_id task;
    std::int64_t run = 0;
    std::int64_t deadline_ms = 0;     ///< on the worker's clock
    teams::resources size;            ///< what it takes of the worker's capacity
    std::optional<std::int64_t> ends; ///< when it ends by itself; nothing: it lasts
    bool fails = false;               ///< how it ends
    bool stopping = false;            ///< it was stopped and ends at `ends`
    std::string checkpoint{};         ///< what it has saved, or the one that it resumed from
    std::string next_checkpoint{};    ///< what it saves at `saves`
    std::optional<std::int64_t> saves{};

    friend bool operator==(const run_request&, const run_request&) = default;
};

class run_model;

/// What a worker tells its test of. All are optional.
struct run_hooks {
    /// A run is about to begin; the request may still say how it ends.
    std::function<void(const run_model&, run_request&)> on_start;
    std::function<void(const jobs::task_id&, scheduling::end_cause)> on_end;
    /// An end is noted; `lapsed`: the worker's lease ran out between the two.
    std::function<void(const scheduling::finished_run&, bool lapsed)> on_noted;
};

/// How a worker differs from others.
struct run_model_options {
    std::int64_t clock_offset_ms = 0;
    double clock_rate = 1.0;
    bool guards_capacity = false;      ///< refuses what does not fit
    std::int64_t stop_ms = 0;          ///< how long a run takes to stop, from the last `settle`
    std::size_t ends_per_report = 500; ///< ends that a report lists at most
    bool obeys_older_owners = false;   ///< a planted fault
    bool hides_cut_lists = false;      ///< a planted fault: does not say that more ends follow
    bool compares_id_only = false;     ///< obeys what was meant for an earlier instance of its id

    friend bool operator==(const run_model_options&, const run_model_options&) = default;
};

/// A worker that runs tasks under leases, without I/O. Times are milliseconds of the test's own
/// clock. Not thread safe. Precondition: time never goes back.
class run_model {
public:
    run_model(scheduling::worker_entry entry, run_model_options wanted, run_hooks hooks);

    /// Begins another life, which knows nothing of the one before.
    void begin_life(const scheduling::worker_instance& instance, std::int64_t clock_offset_ms);

    /// Changes what the worker has, whatever runs.
    void set_capacity(const teams::resources& capacity);

    /// Renews leases up to `deadline_ms` and notes ends up to `acknowledged`.
    scheduling::command_outcome poll(const scheduling::worker_instance& meant, std::int64_t token,
                                     std::int64_t acknowledged,
                                     std::optional<std::int64_t> deadline_ms, std::int64_t now);

    /// Starts a run, or says why not.
    scheduling::command_outcome start(const scheduling::worker_instance& meant, std::int64_t token,
                                      const run_request& request, std::int64_t now);

    /// Ends a run; one that is not there yet will be refused.
    scheduling::command_outcome stop(const scheduling::worker_instance& meant, std::int64_t token,
                                     const jobs::task_id& task, std::int64_t run);

    /// Ends what is over, or whose lease has run out.
    void settle(std::int64_t now);

    /// Forgets all runs, as at a crash.
    void crash();

    /// Returns what the worker lists.
    [[nodiscard]] scheduling::worker_report report(std::int64_t now) const;

    [[nodiscard]] std::int64_t clock(std::int64_t now) const;
    [[nodiscard]] const scheduling::worker_entry& entry() const;
    [[nodiscard]] teams::resources used() const;
    [[nodiscard]] const std::map<jobs::task_id, run_request>& runs() const;
    [[nodiscard]] bool has_ends() const;
    [[nodiscard]] std::int64_t ends_so_far() const;

private:
    scheduling::command_outcome admit(const scheduling::worker_instance& meant, std::int64_t token);
    [[nodiscard]] bool fits(const teams::resources& size) const;
    void extend(std::int64_t deadline_ms, std::int64_t now);
    void note_ends(std::int64_t number);
    void end_by_stop(run_request& run);
    void end_run(const jobs::task_id& task, scheduling::end_cause cause);

    scheduling::worker_entry told;
    run_model_options options;
    run_hooks hooks;
    std::int64_t highest_token = 0;
    std::int64_t deadline = 0; ///< on its own clock
    std::map<jobs::task_id, run_request> running;
    std::map<jobs::task_id, std::int64_t> highest_run;
    std::vector<scheduling::finished_run> ended;
    std::int64_t ends = 0;
    std::set<std::int64_t> lapsed_ends; ///< listed before a lapse of the lease
    std::int64_t settled_at = 0;
};

} // namespace chervilslip::fakes
