#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "common/clock.h"

/// Settings declared by operators, as immutable typed values.
namespace chervilslip::settings {

/// A rack, with the limit on VMs out of service at once.
struct rack {
    std::int64_t most_vms_out = 1;

    friend bool operator==(const rack&, const rack&) = default;
};

/// An availability zone, with the limit on VMs out of service at once.
struct zone {
    std::string region;
    std::int64_t most_vms_out = 1;
    std::map<std::string, rack> racks;

    friend bool operator==(const zone&, const zone&) = default;
};

/// Limit on VMs of a pool out of service at once, and minimum of VMs in service.
struct availability_budget {
    std::int64_t most_vms_out = 1;
    std::int64_t least_vms_serving = 1;

    friend bool operator==(const availability_budget&, const availability_budget&) = default;
};

/// A pool of VMs.
struct pool {
    std::set<std::string> vms;
    std::int64_t least_vms = 1;
    std::int64_t most_vms = 1;
    availability_budget budget;

    friend bool operator==(const pool&, const pool&) = default;
};

/// Fleet-wide settings.
struct fleet {
    std::string spare_pool; ///< receives the overflow of other pools; empty: none

    friend bool operator==(const fleet&, const fleet&) = default;
};

/// A workspace, such as an order desk or an office, to which teams and queues belong.
struct workspace {
    std::string description;
    bool large = false;

    friend bool operator==(const workspace&, const workspace&) = default;
};

/// Whether a team's requests are served in a zone partitioned from the store and the other zones.
enum class cut_off_policy { serve, refuse };

/// A team's scheduling share and limits.
struct team_rules {
    std::string workspace;
    double share = 1.0;     ///< weight among the teams under full load
    std::int64_t limit = 1; ///< maximum of tasks running at once in the fleet
    cut_off_policy when_cut_off = cut_off_policy::serve;
    std::chrono::seconds longest_cut_off{3600};

    friend bool operator==(const team_rules&, const team_rules&) = default;
};

enum class key_state { active, withdrawn };

/// A key with which a team submits work; only a salted hash of the secret is stored.
struct team_key {
    std::string salt;
    std::string hash;
    std::string issued_by;
    key_state state = key_state::active;

    friend bool operator==(const team_key&, const team_key&) = default;
};

/// Resources that one task takes of a VM.
struct task_size {
    std::int64_t processors = 1;
    std::int64_t memory_mb = 256;
    std::int64_t accelerators = 0;

    friend bool operator==(const task_size&, const task_size&) = default;
};

/// A queue of requests for one pool.
struct queue {
    std::string workspace;
    std::string pool;
    bool open = false;             ///< accepts requests without a key
    std::string open_team;         ///< the team that requests without a key are accounted to
    std::int64_t most_waiting = 1; ///< maximum of waiting requests per team
    common::milliseconds deadline{30000};
    bool repeatable = false;
    bool overflow_to_spare = true;
    task_size task;
    common::milliseconds expected_run_time{1000};

    friend bool operator==(const queue&, const queue&) = default;
};

/// An accepted configuration; immutable, shared between readers.
struct snapshot {
    std::int64_t number = 0; ///< number of the change that produced it; increases by one per change
    std::string change;      ///< content hash of the change record
    fleet whole_fleet;
    std::map<std::string, zone> zones;
    std::map<std::string, pool> pools;
    std::map<std::string, workspace> workspaces;
    std::map<std::string, team_rules> teams;
    std::map<std::string, std::map<std::string, team_key>> keys; ///< team, then key id
    std::map<std::string, queue> queues;

    friend bool operator==(const snapshot&, const snapshot&) = default;
};

} // namespace chervilslip::settings
