#pragma once

#include <map>
#include <set>
#include <string>

#include "common/clock.h"
#include "routing/upstream.h"

namespace chervilslip::routing {

/// Thresholds for ejecting upstreams and for restoring them.
struct outlier_limits {
    int consecutive_failures = 5;
    int consecutive_unreachable = 2;
    int required_probes = 3;
    common::milliseconds base_ejection{2000};
    common::milliseconds max_ejection{60000};
    double max_ejected_fraction = 0.5; ///< share of a pool's VMs

    friend bool operator==(const outlier_limits&, const outlier_limits&) = default;
};

/// Whether an upstream receives tasks; a probing one receives only repeatable tasks.
enum class health { healthy, ejected, probing };

/// Ejects upstreams that are unreachable, or whose tasks fail much more often than those of the
/// rest of their pool. Not thread safe.
class outlier_detector {
public:
    explicit outlier_detector(outlier_limits bounds);

    /// Records how a task on `vm` ended. Returns true when the upstream was ejected or restored.
    bool record(const std::string& vm, const std::string& pool, outcome result,
                std::size_t pool_size, common::steady_time now);

    [[nodiscard]] health health_of(const std::string& vm, common::steady_time now) const;

    /// Drops the record of an upstream that has left the VM list.
    void remove(const std::string& vm);

private:
    struct vm_record {
        std::string pool;
        int consecutive_failures = 0;
        int consecutive_unreachable = 0;
        int successful_probes = 0;
        int ejections = 0;
        double failure_rate = 0.0;
        bool ejected = false;
        common::steady_time ejected_until;
    };

    bool eject(vm_record& entry, std::size_t pool_size, common::steady_time now);
    [[nodiscard]] std::size_t ejected_count(const std::string& pool) const;
    [[nodiscard]] bool is_outlier(const std::string& vm, const vm_record& entry) const;

    outlier_limits limits;
    std::map<std::string, vm_record> vm_records;
};

} // namespace chervilslip::routing
