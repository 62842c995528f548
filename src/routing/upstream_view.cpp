#include "routing/upstream_view.h"

#include <algorithm>

namespace chervilslip::routing {

namespace {

constexpr std::int64_t slots_per_reserved_slot = 16;

/// Compares two ratios of load to slots without rounding.
bool is_less_loaded(std::int64_t load, std::int64_t slots, std::int64_t other_load,
                    std::int64_t other_slots)
{
    return load * other_slots < other_load * slots;
}

} // namespace

std::size_t corrected_two_choice::operator()(const std::vector<candidate>& candidates,
                                             common::random_source& random) const
{
    const std::size_t first = random.below(candidates.size());
    if (candidates.size() == 1) {
        return first;
    }
    std::size_t second = random.below(candidates.size() - 1);
    second += second >= first ? 1 : 0;
    const candidate& one = candidates[first];
    const candidate& two = candidates[second];
    return is_less_loaded(two.local_tasks + two.remote_tasks, two.slots,
                          one.local_tasks + one.remote_tasks, one.slots)
               ? second
               : first;
}

std::size_t random_choice::operator()(const std::vector<candidate>& candidates,
                                      common::random_source& random) const
{
    return random.below(candidates.size());
}

std::size_t least_reported_choice::operator()(const std::vector<candidate>& candidates,
                                              common::random_source& /*random*/) const
{
    std::size_t best = 0;
    for (std::size_t i = 1; i < candidates.size(); ++i) {
        const candidate& current = candidates[i];
        const candidate& least = candidates[best];
        if (is_less_loaded(current.remote_tasks, current.slots, least.remote_tasks, least.slots)) {
            best = i;
        }
    }
    return best;
}

static_assert(candidate_selector<corrected_two_choice>);
static_assert(candidate_selector<random_choice>);
static_assert(candidate_selector<least_reported_choice>);

std::int64_t urgent_reserve(std::int64_t slots)
{
    return slots / slots_per_reserved_slot;
}

upstream_view::upstream_view(std::string own_zone, selection_policy selection,
                             outlier_limits limits, common::random_source& source)
    : zone(std::move(own_zone)), policy(selection), outliers(limits), random(source)
{
}

void upstream_view::update_settings(const settings::snapshot& in_force)
{
    this->pool_by_vm.clear();
    for (const auto& [name, pool] : in_force.pools) {
        for (const std::string& vm : pool.vms) {
            this->pool_by_vm[vm] = name;
        }
    }
    this->assign_pools();
}

std::vector<removed_upstream> upstream_view::update_vm_list(const std::vector<upstream_info>& vms)
{
    ++this->vm_list_number;
    auto next = this->upstreams.begin(); // lists are usually sorted by name
    for (const upstream_info& info : vms) {
        const std::size_t before = this->upstreams.size();
        const auto found = next != this->upstreams.end() && next->first == info.vm
                               ? next
                               : this->upstreams.try_emplace(next, info.vm);
        const bool inserted = this->upstreams.size() != before;
        next = std::next(found);
        upstream_state& upstream = found->second;
        if (upstream.info.address != info.address) {
            upstream.epoch.clear();
        }
        if (inserted) {
            this->assign_pool(info.vm, upstream);
        }
        upstream.info = info;
        upstream.last_list_number = this->vm_list_number;
        upstream.leaving = upstream.leaving || info.leaving;
    }
    std::vector<removed_upstream> removed;
    for (auto it = this->upstreams.begin(); it != this->upstreams.end();) {
        const bool listed = it->second.last_list_number == this->vm_list_number;
        if (!listed) {
            removed.push_back({it->first, it->second.pool});
        }
        if (!listed && it->second.local_usage.slots == 0) {
            this->outliers.remove(it->first);
            this->vms_by_pool[it->second.pool].erase(it->first);
            it = this->upstreams.erase(it);
        } else {
            ++it;
        }
    }
    return removed;
}

void upstream_view::assign_pool(const std::string& vm, upstream_state& upstream)
{
    const auto found = this->pool_by_vm.find(vm);
    upstream.pool = found == this->pool_by_vm.end() ? std::string{} : found->second;
    if (!upstream.pool.empty()) {
        this->vms_by_pool[upstream.pool].insert(vm);
    }
}

void upstream_view::assign_pools()
{
    this->vms_by_pool.clear();
    for (auto& [vm, upstream] : this->upstreams) {
        this->assign_pool(vm, upstream);
    }
}

void upstream_view::update_usage(const std::string& vm, const usage_report& report)
{
    const auto found = this->upstreams.find(vm);
    if (found == this->upstreams.end()) {
        return;
    }
    upstream_state& upstream = found->second;
    upstream.epoch = report.epoch;
    upstream.remote_usage = report.remote_usage;
    upstream.leaving = report.draining || upstream.info.leaving;
}

void upstream_view::mark_leaving(const std::string& vm)
{
    const auto found = this->upstreams.find(vm);
    if (found != this->upstreams.end()) {
        found->second.leaving = true;
    }
}

void upstream_view::mark_full(const std::string& vm, common::steady_time until)
{
    const auto found = this->upstreams.find(vm);
    if (found != this->upstreams.end()) {
        found->second.full_until = until;
    }
}

void upstream_view::clear_epoch(const std::string& vm)
{
    const auto found = this->upstreams.find(vm);
    if (found != this->upstreams.end()) {
        found->second.epoch.clear();
    }
}

bool upstream_view::is_serving(const upstream_state& upstream) const
{
    return upstream.last_list_number == this->vm_list_number && !upstream.leaving &&
           !upstream.epoch.empty();
}

bool upstream_view::has_capacity(const upstream_state& upstream, const placement_query& query) const
{
    teams::resources remaining = upstream.info.size;
    remaining -= upstream.local_usage;
    remaining -= upstream.remote_usage;
    return remaining.can_fit(query.need);
}

std::int64_t upstream_view::free_slots(const std::string& pool) const
{
    std::int64_t free = 0;
    const auto members = this->vms_by_pool.find(pool);
    if (members == this->vms_by_pool.end()) {
        return free;
    }
    for (const std::string& vm : members->second) {
        const upstream_state& upstream = this->upstreams.at(vm);
        if (this->is_serving(upstream)) {
            free +=
                std::max<std::int64_t>(0, upstream.info.size.slots - upstream.local_usage.slots -
                                              upstream.remote_usage.slots);
        }
    }
    return free;
}

std::vector<candidate> upstream_view::eligible(const placement_query& query, bool own_zone,
                                               common::steady_time now) const
{
    std::vector<candidate> candidates;
    const auto members = this->vms_by_pool.find(query.pool);
    if (members == this->vms_by_pool.end()) {
        return candidates;
    }
    for (const std::string& vm : members->second) {
        const upstream_state& upstream = this->upstreams.at(vm);
        if ((upstream.info.zone == this->zone) != own_zone || !this->is_serving(upstream) ||
            now < upstream.full_until || query.avoid.contains(vm) ||
            !this->has_capacity(upstream, query)) {
            continue;
        }
        const health state = this->outliers.health_of(vm, now);
        // One repeatable task at a time serves as a probe, so that its failure can be retried and
        // fails no request.
        const bool may_probe =
            state == health::probing && query.repeatable && upstream.local_usage.slots == 0;
        if (state == health::healthy || may_probe) {
            candidates.push_back({vm, upstream.info.address, upstream.epoch,
                                  upstream.info.size.slots, upstream.local_usage.slots,
                                  upstream.remote_usage.slots});
        }
    }
    return candidates;
}

std::size_t upstream_view::choose(const std::vector<candidate>& candidates)
{
    switch (this->policy) {
    case selection_policy::corrected_two_choice:
        return corrected_two_choice{}(candidates, this->random);
    case selection_policy::random:
        return random_choice{}(candidates, this->random);
    case selection_policy::least_reported:
        return least_reported_choice{}(candidates, this->random);
    }
    return 0;
}

std::optional<candidate> upstream_view::pick(const placement_query& query, common::steady_time now)
{
    const bool is_reserved_for_urgent =
        !query.urgent &&
        this->free_slots(query.pool) <= urgent_reserve(this->serving_slots(query.pool));
    if (is_reserved_for_urgent) {
        return std::nullopt;
    }
    for (const bool own_zone : {true, false}) {
        const auto candidates = this->eligible(query, own_zone, now);
        if (!candidates.empty()) {
            return candidates[this->choose(candidates)];
        }
    }
    return std::nullopt;
}

std::int64_t upstream_view::add_local_task(const std::string& vm, const teams::resources& need)
{
    const auto found = this->upstreams.find(vm);
    if (found == this->upstreams.end()) {
        return 0;
    }
    found->second.local_usage += need;
    return found->second.local_usage.slots;
}

void upstream_view::remove_local_task(const std::string& vm, const teams::resources& need)
{
    const auto found = this->upstreams.find(vm);
    if (found != this->upstreams.end()) {
        found->second.local_usage -= need;
    }
}

bool upstream_view::record(const std::string& vm, outcome result, common::steady_time now)
{
    const auto found = this->upstreams.find(vm);
    if (found == this->upstreams.end() || found->second.pool.empty()) {
        return false;
    }
    const std::string& pool = found->second.pool;
    return this->outliers.record(vm, pool, result, this->vms_by_pool[pool].size(), now);
}

health upstream_view::health_of(const std::string& vm, common::steady_time now) const
{
    return this->outliers.health_of(vm, now);
}

bool upstream_view::fits_any_vm(const std::string& pool, const teams::resources& need) const
{
    const auto members = this->vms_by_pool.find(pool);
    return members != this->vms_by_pool.end() &&
           std::any_of(members->second.begin(), members->second.end(),
                       [this, &need](const std::string& vm) {
                           return this->upstreams.at(vm).info.size.can_fit(need);
                       });
}

std::int64_t upstream_view::serving_slots(const std::string& pool) const
{
    std::int64_t slots = 0;
    for (const candidate& member : this->pool_members(pool)) {
        slots += this->is_serving(this->upstreams.at(member.vm)) ? member.slots : 0;
    }
    return slots;
}

teams::resources upstream_view::total_capacity() const
{
    teams::resources total;
    for (const auto& [vm, upstream] : this->upstreams) {
        if (upstream.last_list_number == this->vm_list_number) {
            total += upstream.info.size;
        }
    }
    return total;
}

std::vector<candidate> upstream_view::pool_members(const std::string& pool) const
{
    std::vector<candidate> members;
    const auto found = this->vms_by_pool.find(pool);
    if (found == this->vms_by_pool.end()) {
        return members;
    }
    for (const std::string& vm : found->second) {
        const upstream_state& upstream = this->upstreams.at(vm);
        members.push_back({vm, upstream.info.address, upstream.epoch, upstream.info.size.slots,
                           upstream.local_usage.slots, upstream.remote_usage.slots});
    }
    return members;
}

std::string upstream_view::address_of(const std::string& vm) const
{
    const auto found = this->upstreams.find(vm);
    return found == this->upstreams.end() ? std::string{} : found->second.info.address;
}

std::string upstream_view::pool_of(const std::string& vm) const
{
    const auto found = this->upstreams.find(vm);
    return found == this->upstreams.end() ? std::string{} : found->second.pool;
}

std::vector<upstream_info> upstream_view::known_upstreams() const
{
    std::vector<upstream_info> known;
    for (const auto& [vm, upstream] : this->upstreams) {
        known.push_back(upstream.info);
    }
    return known;
}

std::int64_t upstream_view::declared_slots(const std::string& vm) const
{
    const auto found = this->upstreams.find(vm);
    return found == this->upstreams.end() ? 0 : found->second.info.size.slots;
}

} // namespace chervilslip::routing
