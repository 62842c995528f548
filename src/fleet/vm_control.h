#pragma once

#include <functional>
#include <string>
#include <vector>

#include "common/error.h"

namespace chervilslip::fleet {

/// What a VM is doing, as the platform's list says.
enum class vm_state { up, moving, maintenance, down, unknown };

/// A VM of the fleet.
struct fleet_vm {
    std::string name;
    std::string pool;
    vm_state state = vm_state::unknown;
    std::string zone;
    std::string worker; ///< id of the life that runs on it; empty: none is known
    std::string rack;
    std::int64_t processors = 0; ///< thousandths

    friend bool operator==(const fleet_vm&, const fleet_vm&) = default;
};

/// Who gives an order for a VM.
struct order_fence {
    std::string holder;
    std::int64_t token = 0;

    friend bool operator==(const order_fence&, const order_fence&) = default;
};

/// What became of an order for a VM.
enum class vm_order_outcome {
    accepted, ///< or was done already
    fenced,
    busy,       ///< not up, or leaving
    other_wave, ///< not due in that wave
    invalid,    ///< no such VM, or not a pool for it
    try_later,  ///< too many orders; nothing was done
    unknown,    ///< no answer; may have been done
};

/// Returns the name of a verdict. Thread safe.
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

/// Carries orders for VMs. Each handler is called once, on the io_context's thread, never from
/// within the call. Not thread safe.
class vm_control {
public:
    vm_control() = default;
    vm_control(const vm_control&) = delete;
    vm_control& operator=(const vm_control&) = delete;
    virtual ~vm_control() = default;

    /// Reads the whole list of VMs.
    virtual void list_vms(std::function<void(common::result<std::vector<fleet_vm>>)> done) = 0;

    /// Moves a VM into a pool; everything on it ends at once.
    virtual void move_vm(const std::string& vm, const std::string& pool, const order_fence& fence,
                         std::function<void(vm_order_outcome)> done) = 0;

    /// Takes a VM down for the upkeep of a wave; everything on it ends at once.
    virtual void start_maintenance(const std::string& vm, std::int64_t wave,
                                   const order_fence& fence,
                                   std::function<void(vm_order_outcome)> done) = 0;

    /// Tells the operators how far a wave has come.
    virtual void report_wave(std::int64_t wave, bool completed,
                             std::function<void(common::result<bool>)> done) = 0;
};

} // namespace chervilslip::fleet
