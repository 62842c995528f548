#pragma once

#include "common/error.h"
#include "routing/upstream.h"

/// The fleet of VMs: the platform's list of them, orders for them and their pools.
namespace chervilslip::fleet {

/// Parses the platform's VM list, `{"vms": [...]}`. Thread safe.
/// Errors: `bad_message` with the field in `detail`.
common::result<std::vector<routing::upstream_info>> parse_vm_list(const std::string& text,
                                                                  const std::string& peer);

} // namespace chervilslip::fleet
