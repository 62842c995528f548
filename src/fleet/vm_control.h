#pragma once

#include <functional>
#include <string>
#include <vector>

#include "common/error.h"

namespace chervilslip::fleet {

/// State of a VM according to the platform's list.
enum class vm_state { up, moving, maintenance, down, unknown };

/// A VM of the fleet.
struct fleet_vm {
    std::string name;
    std::string pool;
    vm_state state = vm_state::unknown;
    std::string zone;
    std::string worker; ///< id of the worker process that runs on it; empty: none is known
    std::string rack;
    std::int64_t processors = 0; ///< thousandths

    friend bool operator==(const fleet_vm&, const fleet_vm&) = default;
};

/// Identifies the owner that gives an order, so that the platform rejects those of earlier owners.
struct order_fence {
    std::string holder;
    std::int64_t token = 0;

    friend bool operator==(const order_fence&, const order_fence&) = default;
};

/// Outcome of an order for a VM.
enum class vm_order_outcome {
    accepted, ///< or already carried out
    fenced,
    busy,       ///< not up, or leaving
    other_wave, ///< not scheduled in that wave
    invalid,    ///< no such VM, or not a pool for it
    try_later,  ///< rate limited; nothing was done
    unknown,    ///< no response; may have been carried out
};

/// Returns the outcome as it appears in the log. Thread safe.
constexpr std::string_view to_string(vm_order_outcome value)
{
    switch (value) {
    case vm_order_outcome::accepted:
        return "accepted";
    case vm_order_outcome::fenced:
        return "fenced";
    case vm_order_outcome::busy:
        return "busy";
    case vm_order_outcome::other_wave:
        return "other wave";
    case vm_order_outcome::invalid:
        return "invalid";
    case vm_order_outcome::try_later:
        return "try later";
    case vm_order_outcome::unknown:
        return "unknown";
    }
    return "unknown";
}

/// Interface to the platform that controls VMs. Each handler is called once, on the io_context's
/// thread, never from within the call. Not thread safe.
class vm_control {
public:
    vm_control() = default;
    vm_control(const vm_control&) = delete;
    vm_control& operator=(const vm_control&) = delete;
    virtual ~vm_control() = default;

    /// Reads the complete list of VMs.
    virtual void list_vms(std::function<void(common::result<std::vector<fleet_vm>>)> done) = 0;

    /// Moves a VM to another pool, which ends everything on it at once.
    virtual void move_vm(const std::string& vm, const std::string& pool, const order_fence& fence,
                         std::function<void(vm_order_outcome)> done) = 0;

    /// Takes a VM down for the maintenance of a wave, which ends everything on it at once.
    virtual void start_maintenance(const std::string& vm, std::int64_t wave,
                                   const order_fence& fence,
                                   std::function<void(vm_order_outcome)> done) = 0;

    /// Reports to the operators that a wave is running or has completed.
    virtual void report_wave(std::int64_t wave, bool completed,
                             std::function<void(common::result<bool>)> done) = 0;
};

} // namespace chervilslip::fleet
