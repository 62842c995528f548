#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "common/clock.h"

/// Waves of upkeep: which VM is emptied and serviced when.
namespace chervilslip::maintenance {

/// VMs that operators want serviced.
struct wave_request {
    std::int64_t number = 0;
    std::set<std::string> vms;
    common::milliseconds duration{0}; ///< within which all are to be serviced
    std::int64_t max_unavailable = 1; ///< VMs of the wave that may be down for it at a time

    friend bool operator==(const wave_request&, const wave_request&) = default;
};

/// What is known of a VM when the planner decides.
struct vm_snapshot {
    bool up = false;
    bool under_maintenance = false;        ///< down for its upkeep, whoever ordered it
    bool has_worker = false;               ///< a known worker runs on it
    std::int64_t long_running = 0;         ///< lasting runs that may exist on it
    std::int64_t other_running = 0;        ///< other runs that may exist on it
    common::steady_time list_requested_at; ///< when the list that says so was asked for

    friend bool operator==(const vm_snapshot&, const vm_snapshot&) = default;
};

/// Times of a planner.
struct wave_options {
    common::milliseconds service_time{2000}; ///< how long an upkeep takes, as the platform says
    common::milliseconds list_lag{100};      ///< the list may be this old when it is answered
    common::milliseconds order_retry{300};   ///< after an order that was not accepted
    common::milliseconds patience{2500};     ///< work other than lasting tasks may end by itself

    friend bool operator==(const wave_options&, const wave_options&) = default;
};

/// What the planner wants done.
struct wave_step {
    enum class kind {
        drain_vm,          ///< keep new work off it and move lasting tasks away as budgets allow
        undrain_vm,        ///< let work in again
        start_maintenance, ///< order the upkeep
        report_running,
        report_completed,
    };
    kind what{};
    std::int64_t wave = 0;
    std::string vm; ///< empty for reports

    friend bool operator==(const wave_step&, const wave_step&) = default;
};

/// Decides for all waves. Not thread safe.
class wave_planner {
public:
    explicit wave_planner(wave_options wanted);

    /// Takes what an earlier holder has done of a wave. Precondition: before the wave is seen.
    void restore(std::int64_t wave, std::set<std::string> serviced, bool completed);

    /// Takes all waves that operators have asked for.
    void update_waves(const std::vector<wave_request>& asked, common::steady_time now);

    /// Returns what is to be done now. `vms` has every VM of the platform's list.
    std::vector<wave_step> plan(const std::map<std::string, vm_snapshot>& vms,
                                common::steady_time now);

    /// Takes the answer to an order. A refusal for good takes the VM out of the wave.
    enum class order_outcome { accepted, permanently_rejected, try_later, unknown };
    void on_order_response(std::int64_t wave, const std::string& vm, order_outcome fate,
                           common::steady_time now);

    /// Takes the answer to a report; one that was not written is made again.
    void on_report_response(std::int64_t wave, bool completed, bool written);

    /// Returns the VMs of a wave that have begun their upkeep.
    [[nodiscard]] std::set<std::string> started_vms(std::int64_t wave) const;

    /// Tells whether a VM is being emptied or serviced now.
    [[nodiscard]] bool is_draining_or_down(const std::string& vm) const;

private:
    enum class vm_phase { waiting, emptying, ordered, down, serviced, left };

    struct vm_progress {
        vm_phase phase = vm_phase::waiting;
        common::steady_time since; ///< of the phase
        common::steady_time retry_at;
        bool maybe_begun = false; ///< an order had no answer
    };

    struct wave_progress {
        wave_request request;
        common::steady_time seen_at;
        std::map<std::string, vm_progress> vms;
        bool running_reported = false;
        bool completed_reported = false;
        bool report_open = false;
    };

    void plan_wave(wave_progress& wave, const std::map<std::string, vm_snapshot>& vms,
                   common::steady_time now, std::vector<wave_step>& steps);
    void follow_list(wave_progress& wave, const std::map<std::string, vm_snapshot>& vms,
                     common::steady_time now, std::vector<wave_step>& steps);

    struct earlier_progress {
        std::set<std::string> serviced;
        bool completed = false;
    };

    wave_options options;
    std::map<std::int64_t, wave_progress> waves;
    std::map<std::int64_t, earlier_progress> earlier;
};

} // namespace chervilslip::maintenance
