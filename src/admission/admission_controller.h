#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>
#include <vector>

#include "common/clock.h"

/// Load shedding: how many new jobs the fleet accepts while its owner lacks processor time.
namespace chervilslip::admission {

/// Timing and bounds of the controller.
struct controller_options {
    common::milliseconds interval{250}; ///< between two decisions, and between two publications
    /// Median round trip of start commands, waiting in the owner's queues included, from which the
    /// owner counts as overloaded, and below which it counts as calm.
    common::milliseconds overloaded_round_trip{130};
    common::milliseconds calm_round_trip{65};
    /// The same for the mean lateness of the owner's timer.
    common::milliseconds overloaded_timer_lag{60};
    common::milliseconds calm_timer_lag{30};
    std::size_t min_samples = 8; ///< with fewer round trips in an interval only the timer counts
    /// Part of what the owner can handle that is accepted while its queues are long, so that they
    /// become shorter.
    double draining = 0.8;
    common::milliseconds drain_time{2000}; ///< in which waiting tasks are to be started
    double max_decrease = 0.5;             ///< factor of the share in one interval
    double min_decrease = 0.97;  ///< the same, once less is accepted than the owner handles
    double increase = 1.08;      ///< factor of the share in a calm interval
    double fast_increase = 1.25; ///< the same, while much less is accepted than the owner handles
    double rate_weight = 0.3;    ///< of the latest interval in the estimated rates
    double min_share = 0.05;     ///< keeps some jobs flowing, which show when the overload ends
    double notable_change = 0.1; ///< relative change of the share that is published

    friend bool operator==(const controller_options&, const controller_options&) = default;
};

/// What the controller has measured in the latest complete interval.
struct controller_signals {
    common::milliseconds round_trip{0}; ///< median; of start commands
    common::milliseconds timer_lag{0};  ///< mean
    double offered_rate = 0.0; ///< estimated tasks a second of all new jobs, refused ones included
    double handled_rate = 0.0; ///< starts a second that an overloaded owner handles; 0: not known

    friend bool operator==(const controller_signals&, const controller_signals&) = default;
};

/// Decides which share of new jobs to accept, from signs that the owner's queues grow: start
/// commands whose results it handles late, and a late timer. While they are long and do not shrink,
/// the share approaches what an owner that has no time to spare is seen to handle of what is
/// offered. While they are short it grows by a factor an interval. A single interval, such as a
/// takeover's, does not end full acceptance. Not thread safe. Precondition: the times passed in
/// never decrease.
class admission_controller {
public:
    explicit admission_controller(common::steady_time now, controller_options tuning = {});

    /// Records that the owner has received a new job that counts against the share.
    void on_job(std::int64_t tasks);

    /// Records that a start command was sent.
    void on_command_sent();

    /// Records that the result of a start command was handled, or that it timed out. `gathered` is
    /// the part of the round trip in which the command and its result were held back on purpose, to
    /// be sent with others.
    void on_command_completed(common::milliseconds round_trip,
                              common::milliseconds gathered = common::milliseconds{0});

    /// Records by how much a timer of the owner was late.
    void on_timer(common::milliseconds lag);

    /// Returns whether the interval is over, so that `tick` updates the share.
    [[nodiscard]] bool is_due(common::steady_time now) const;

    /// Records how many accepted tasks could be started, but have not been.
    void on_backlog(std::int64_t tasks);

    /// Ends the interval if it is over, and updates the share.
    void tick(common::steady_time now);

    /// Returns the share to publish when it has changed notably since the last publication.
    [[nodiscard]] std::optional<double> take_publication();

    /// Records that a share which `take_publication` returned may not have been stored.
    void on_publication_failed();

    /// Returns the share of new jobs that the owner can handle, in (0, 1].
    [[nodiscard]] double share() const;

    [[nodiscard]] const controller_signals& signals() const;

private:
    [[nodiscard]] double pressure() const;
    void update_signals();
    void update_rates(common::steady_time now, bool is_overloaded);
    void update_share(double pressure_now);

    controller_options options;
    common::steady_time interval_begin;
    common::steady_time interval_end;
    std::int64_t backlog = 0;                      ///< tasks
    std::int64_t tasks_received = 0;               ///< in this interval, of new jobs
    std::vector<common::milliseconds> round_trips; ///< of this interval
    std::size_t commands_open = 0;
    std::size_t open_at_start = 0; ///< commands without a result when the interval began
    common::milliseconds timer_lag_sum{0};
    std::int64_t timer_count = 0;
    controller_signals latest;
    double last_pressure = 0.0;
    double current_share = 1.0;
    double published_share = 1.0;
    double earlier_published_share = 1.0;
    bool may_publish = false;
    bool stored_share_unknown = false; ///< a publication failed, or only its response was lost
};

} // namespace chervilslip::admission
