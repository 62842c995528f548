#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/clock.h"

namespace chervilslip::scheduling {

/// The availability zones that operators want evacuated.
struct evacuated_zones {
    std::set<std::string> names; ///< as operators wrote them

    /// Returns whether a zone is one of them. What has no zone is in none. Thread safe.
    [[nodiscard]] bool contains(const std::string& zone) const
    {
        return !zone.empty() && this->names.contains(zone);
    }

    friend bool operator==(const evacuated_zones&, const evacuated_zones&) = default;
};

/// What a zone holds.
struct zone_load {
    std::int64_t workers = 0; ///< that the registry lists
    std::int64_t runs = 0;    ///< that may exist, also on workers that are no longer listed

    friend bool operator==(const zone_load&, const zone_load&) = default;
};

/// A change in the state of a request, to be logged.
struct evacuation_change {
    enum class kind {
        begun,
        done,         ///< nothing runs in the zone any more
        ended,        ///< the request was withdrawn
        unknown_zone, ///< no worker and no VM is in a zone of that name
    };
    kind what{};
    std::string zone;
    zone_load load;

    friend bool operator==(const evacuation_change&, const evacuation_change&) = default;
};

/// Keeps the operators' requests to evacuate zones, and decides what they mean: which zones get no
/// new work, whether the requests are recent enough for any start, and when a request has begun,
/// is done or has ended. Not thread safe.
class zone_evacuation {
public:
    /// `max_age`: nothing may start once the requests were last confirmed longer ago than this;
    /// unset: not checked.
    explicit zone_evacuation(std::optional<common::milliseconds> max_age);

    /// Replaces all requests. Returns false if they are the same as before.
    bool set_requests(const evacuated_zones& requested);

    /// Records that the requests were complete at `as_of`.
    void confirm(common::steady_time as_of);

    /// Returns whether the requests are recent enough for a start.
    [[nodiscard]] bool is_confirmed(common::steady_time now) const;

    /// Returns whether a zone gets no new work. Workers without a zone are in none.
    [[nodiscard]] bool is_evacuated(const std::string& zone) const;

    /// Returns whether a request is in force, or its end has not been observed yet.
    [[nodiscard]] bool is_active() const;

    /// Sets the zones of the platform's VMs. Until then no zone is called unknown.
    void set_vm_zones(std::set<std::string> zones);

    /// Returns the changes since the last call. `loads` has each zone with a worker.
    std::vector<evacuation_change> observe(const std::map<std::string, zone_load>& loads);

private:
    enum class request_phase { fresh, unknown, begun, done };

    std::optional<common::milliseconds> max_confirmation_age;
    std::optional<common::steady_time> confirmed_at;
    std::optional<std::set<std::string>> vm_zones;
    std::map<std::string, request_phase> requests; ///< by zone
    std::vector<std::string> ended;                ///< not observed yet
};

} // namespace chervilslip::scheduling
