#include "routing/upstream_view.h"

#include <algorithm>

namespace chervilslip::routing {

namespace {

constexpr std::int64_t slots_per_reserved_slot = 16;

/// Compares two fractions of slots in use without rounding.
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
    return is_less_loaded(two.own + two.reported, two.slots, one.own + one.reported, one.slots)
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
        const candidate& each = candidates[i];
        const candidate& least = candidates[best];
        if (is_less_loaded(each.reported, each.slots, least.reported, least.slots)) {
            best = i;
        }
    }
    return best;
}

static_assert(choice_policy<corrected_two_choice>);
static_assert(choice_policy<random_choice>);
static_assert(choice_policy<least_reported_choice>);

std::int64_t urgent_reserve(std::int64_t slots)
{
    return slots / slots_per_reserved_slot;
}

upstream_view::upstream_view(std::string own_zone, selection_policy kind, outlier_limits limits,
                             common::random_source& source)
    : zone(std::move(own_zone)), policy(kind), outliers(limits), random(source)
{
}

void upstream_view::update_settings(const settings::snapshot& in_force)
{
    this->pool_of_vm.clear();
    for (const auto& [name, pool] : in_force.pools) {
        for (const std::string& vm : pool.vms) {
            this->pool_of_vm[vm] = name;
        }
    }
    this->assign_pools();
}

std::vector<removed_upstream> upstream_view::update_vm_list(const std::vector<upstream_info>& vms)
{
    ++this->list_number;
    auto next = this->entries.begin(); // lists come in the order of names, as a rule
    for (const upstream_info& info : vms) {
        const std::size_t before = this->entries.size();
        const auto found = next != this->entries.end() && next->first == info.vm
                               ? next
                               : this->entries.try_emplace(next, info.vm);
        const bool is_new = this->entries.size() != before;
        next = std::next(found);
        entry& each = found->second;
        if (each.info.address != info.address) {
            each.epoch.clear();
        }
        if (is_new) {
            this->assign_pool(info.vm, each);
        }
        each.info = info;
        each.listed_in = this->list_number;
        each.leaving = each.leaving || info.leaving;
    }
    std::vector<removed_upstream> gone;
    for (auto each = this->entries.begin(); each != this->entries.end();) {
        const bool listed = each->second.listed_in == this->list_number;
        if (!listed) {
            gone.push_back({each->first, each->second.pool});
        }
        if (!listed && each->second.own.slots == 0) {
            this->outliers.forget(each->first);
            this->vms_of_pool[each->second.pool].erase(each->first);
            each = this->entries.erase(each);
        } else {
            ++each;
        }
    }
    return gone;
}

void upstream_view::assign_pool(const std::string& vm, entry& each)
{
    const auto found = this->pool_of_vm.find(vm);
    each.pool = found == this->pool_of_vm.end() ? std::string{} : found->second;
    if (!each.pool.empty()) {
        this->vms_of_pool[each.pool].insert(vm);
    }
}

void upstream_view::assign_pools()
{
    this->vms_of_pool.clear();
    for (auto& [vm, each] : this->entries) {
        this->assign_pool(vm, each);
    }
}

void upstream_view::update_usage(const std::string& vm, const usage_report& report)
{
    const auto found = this->entries.find(vm);
    if (found == this->entries.end()) {
        return;
    }
    entry& each = found->second;
    each.epoch = report.epoch;
    each.others = report.remote_usage;
    each.leaving = report.draining || each.info.leaving;
}

void upstream_view::mark_leaving(const std::string& vm)
{
    const auto found = this->entries.find(vm);
    if (found != this->entries.end()) {
        found->second.leaving = true;
    }
}

void upstream_view::mark_full(const std::string& vm, common::steady_time until)
{
    const auto found = this->entries.find(vm);
    if (found != this->entries.end()) {
        found->second.full_until = until;
    }
}

void upstream_view::clear_epoch(const std::string& vm)
{
    const auto found = this->entries.find(vm);
    if (found != this->entries.end()) {
        found->second.epoch.clear();
    }
}

bool upstream_view::takes_work(const entry& each) const
{
    return each.listed_in == this->list_number && !each.leaving && !each.epoch.empty();
}

bool upstream_view::has_room(const entry& each, const placement_query& query) const
{
    teams::resources left = each.info.size;
    left -= each.own;
    left -= each.others;
    return left.can_fit(query.need);
}

std::int64_t upstream_view::free_slots(const std::string& pool) const
{
    std::int64_t free = 0;
    const auto members = this->vms_of_pool.find(pool);
    if (members == this->vms_of_pool.end()) {
        return free;
    }
    for (const std::string& vm : members->second) {
        const entry& each = this->entries.at(vm);
        if (this->takes_work(each)) {
            free += std::max<std::int64_t>(0, each.info.size.slots - each.own.slots -
                                                  each.others.slots);
        }
    }
    return free;
}

std::vector<candidate> upstream_view::eligible(const placement_query& query, bool own_zone,
                                               common::steady_time now) const
{
    std::vector<candidate> candidates;
    const auto members = this->vms_of_pool.find(query.pool);
    if (members == this->vms_of_pool.end()) {
        return candidates;
    }
    for (const std::string& vm : members->second) {
        const entry& each = this->entries.at(vm);
        if ((each.info.zone == this->zone) != own_zone || !this->takes_work(each) ||
            now < each.full_until || query.avoid.contains(vm) || !this->has_room(each, query)) {
            continue;
        }
        const health state = this->outliers.health_of(vm, now);
        // A probe is one repeatable task at a time, so that a failure costs nobody an answer.
        const bool may_probe = state == health::probing && query.repeatable && each.own.slots == 0;
        if (state == health::healthy || may_probe) {
            candidates.push_back({vm, each.info.address, each.epoch, each.info.size.slots,
                                  each.own.slots, each.others.slots});
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
    const bool keep_reserve = !query.urgent && this->free_slots(query.pool) <=
                                                   urgent_reserve(this->serving_slots(query.pool));
    if (keep_reserve) {
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
    const auto found = this->entries.find(vm);
    if (found == this->entries.end()) {
        return 0;
    }
    found->second.own += need;
    return found->second.own.slots;
}

void upstream_view::remove_local_task(const std::string& vm, const teams::resources& need)
{
    const auto found = this->entries.find(vm);
    if (found != this->entries.end()) {
        found->second.own -= need;
    }
}

bool upstream_view::record(const std::string& vm, outcome result, common::steady_time now)
{
    const auto found = this->entries.find(vm);
    if (found == this->entries.end() || found->second.pool.empty()) {
        return false;
    }
    const std::string& pool = found->second.pool;
    return this->outliers.record(vm, pool, result, this->vms_of_pool[pool].size(), now);
}

health upstream_view::health_of(const std::string& vm, common::steady_time now) const
{
    return this->outliers.health_of(vm, now);
}

bool upstream_view::fits_any_vm(const std::string& pool, const teams::resources& need) const
{
    const auto members = this->vms_of_pool.find(pool);
    return members != this->vms_of_pool.end() &&
           std::any_of(members->second.begin(), members->second.end(),
                       [this, &need](const std::string& vm) {
                           return this->entries.at(vm).info.size.can_fit(need);
                       });
}

std::int64_t upstream_view::serving_slots(const std::string& pool) const
{
    std::int64_t slots = 0;
    for (const candidate& each : this->pool_members(pool)) {
        slots += this->takes_work(this->entries.at(each.vm)) ? each.slots : 0;
    }
    return slots;
}

teams::resources upstream_view::total_capacity() const
{
    teams::resources total;
    for (const auto& [vm, each] : this->entries) {
        if (each.listed_in == this->list_number) {
            total += each.info.size;
        }
    }
    return total;
}

std::vector<candidate> upstream_view::pool_members(const std::string& pool) const
{
    std::vector<candidate> members;
    const auto found = this->vms_of_pool.find(pool);
    if (found == this->vms_of_pool.end()) {
        return members;
    }
    for (const std::string& vm : found->second) {
        const entry& each = this->entries.at(vm);
        members.push_back({vm, each.info.address, each.epoch, each.info.size.slots, each.own.slots,
                           each.others.slots});
    }
    return members;
}

std::string upstream_view::address_of(const std::string& vm) const
{
    const auto found = this->entries.find(vm);
    return found == this->entries.end() ? std::string{} : found->second.info.address;
}

std::string upstream_view::pool_of(const std::string& vm) const
{
    const auto found = this->entries.find(vm);
    return found == this->entries.end() ? std::string{} : found->second.pool;
}

std::vector<upstream_info> upstream_view::known_upstreams() const
{
    std::vector<upstream_info> known;
    for (const auto& [vm, each] : this->entries) {
        known.push_back(each.info);
    }
    return known;
}

std::int64_t upstream_view::declared_slots(const std::string& vm) const
{
    const auto found = this->entries.find(vm);
    return found == this->entries.end() ? 0 : found->second.info.size.slots;
}

} // namespace chervilslip::routing
