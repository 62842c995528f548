#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/clock.h"

/// Rolling maintenance in waves: decides when each VM is drained and taken down.
namespace chervilslip::maintenance {

/// A set of VMs on which operators want maintenance done.
struct wave_request {
    std::int64_t number = 0;
    std::set<std::string> vms;
    common::milliseconds duration{0}; ///< within which all VMs are to be maintained
    std::int64_t max_unavailable = 1; ///< VMs of the wave that may be down at a time

    friend bool operator==(const wave_request&, const wave_request&) = default;
};

/// State of a VM as the planner sees it.
struct vm_snapshot {
    bool up = false;
    bool under_maintenance = false;        ///< down for maintenance, whoever ordered it
    bool has_worker = false;               ///< a known worker runs on it
    std::int64_t long_running = 0;         ///< runs of long-running tasks that may exist on it
    std::int64_t other_running = 0;        ///< runs of other tasks that may exist on it
    common::steady_time list_requested_at; ///< when the VM list with this state was requested

    friend bool operator==(const vm_snapshot&, const vm_snapshot&) = default;
};

/// Timing of the planner.
struct wave_options {
    common::milliseconds maintenance_time{2000}; ///< per VM, as stated by the platform
    common::milliseconds list_staleness{100};    ///< maximum age of the VM list when it arrives
    common::milliseconds order_retry_delay{300}; ///< delay after an order that was not accepted
    /// A VM whose order was rejected for good is in service for this long before it is drained
    /// again.
    common::milliseconds rejected_retry_delay{5000};
    /// Runs of other than long-running tasks may finish within this time before they are ended.
    common::milliseconds drain_timeout{2500};

    friend bool operator==(const wave_options&, const wave_options&) = default;
};

/// A step that the planner asks for.
struct wave_step {
    enum class kind {
        drain_vm,          ///< place no new work and move long-running tasks as their budgets allow
        undrain_vm,        ///< accept new work again
        start_maintenance, ///< order the maintenance
        save_progress,     ///< record that the list shows the maintenance of one more VM
        report_running,
        report_completed,
    };
    kind what{};
    std::int64_t wave = 0;
    std::string vm; ///< empty for reports

    friend bool operator==(const wave_step&, const wave_step&) = default;
};

/// Plans all waves. Not thread safe.
class wave_planner {
public:
    explicit wave_planner(wave_options timing);

    /// Restores the progress that an earlier owner made with a wave, which operators may have
    /// withdrawn since. Precondition: called before the wave is passed to `update_waves`.
    void restore(std::int64_t wave, std::set<std::string> started, bool completed,
                 common::steady_time now);

    /// Adds the waves that are new in `requested`, the list of all waves that operators requested.
    void update_waves(const std::vector<wave_request>& requested, common::steady_time now);

    /// Returns the steps to carry out now. `vms` holds every VM of the platform's list.
    std::vector<wave_step> plan(const std::map<std::string, vm_snapshot>& vms,
                                common::steady_time now);

    /// Handles the response to an order, unless the VM list has shown its effect before. After a
    /// permanent rejection the VM is undrained, and considered again later if the list still shows
    /// it.
    enum class order_outcome { accepted, permanently_rejected, try_later, unknown };
    void on_order_response(std::int64_t wave, const std::string& vm, order_outcome outcome,
                           common::steady_time now);

    /// Handles the response to a report; a report that was not written is repeated.
    void on_report_response(std::int64_t wave, bool completed, bool written);

    /// Tells whether a wave has not been reported as completed yet, or withholds VMs.
    [[nodiscard]] bool has_unfinished_wave() const;

    /// Returns the VMs of a wave whose maintenance has started or finished.
    [[nodiscard]] std::set<std::string> started_vms(std::int64_t wave) const;

    /// Tells whether a VM is being drained, or its maintenance was ordered or is in progress.
    [[nodiscard]] bool is_draining_or_down(const std::string& vm) const;

private:
    enum class vm_phase { waiting, draining, ordered, down, finished, rejected, excluded };

    struct vm_progress {
        vm_phase phase = vm_phase::waiting;
        common::steady_time since; ///< start of the phase
        common::steady_time retry_at;
        bool may_have_started = false; ///< an order got no response
        bool needs_undrain = false;    ///< is drained, but its order was rejected
        /// When the first of the VM lists without it was requested.
        std::optional<common::steady_time> missing_since;
    };

    struct wave_progress {
        wave_request request;
        common::steady_time seen_at;
        std::map<std::string, vm_progress> vms;
        bool running_reported = false;
        bool completed_reported = false;
        bool report_in_flight = false;
    };

    [[nodiscard]] static bool is_withheld(const vm_progress& vm);
    [[nodiscard]] static bool is_unfinished(const wave_progress& wave);
    [[nodiscard]] bool may_be_for_another_wave(std::int64_t wave, const std::string& vm) const;
    void settle_earlier_maintenance(const std::map<std::string, vm_snapshot>& vms);
    static void undrain_released(wave_progress& wave, std::vector<wave_step>& steps);
    static void update_missing(vm_progress& vm, common::steady_time list_requested_at,
                               common::steady_time now);
    void plan_wave(wave_progress& wave, const std::map<std::string, vm_snapshot>& vms,
                   common::steady_time now, std::vector<wave_step>& steps);
    void update_from_list(wave_progress& wave, const std::map<std::string, vm_snapshot>& vms,
                          common::steady_time now, std::vector<wave_step>& steps);

    struct restored_progress {
        std::set<std::string> started;
        bool completed = false;
        /// Of `started`, the VMs whose maintenance may still be in progress.
        std::set<std::string> unsettled;
        common::steady_time restored_at;
    };

    wave_options options;
    std::map<std::int64_t, wave_progress> waves;
    std::map<std::int64_t, restored_progress> restored;
};

} // namespace chervilslip::maintenance
