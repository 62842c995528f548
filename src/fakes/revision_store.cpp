#include "fakes/revision_store.h"

#include <algorithm>

namespace chervilslip::fakes {

namespace {

constexpr std::size_t page_items = 500;
constexpr std::size_t kept_changes = 20'000;

} // namespace

std::optional<store::item> revision_store::read(const std::string& key) const
{
    const auto found = this->items.find(key);
    return found == this->items.end() ? std::nullopt : std::optional(found->second);
}

store::range_page revision_store::range(const std::string& prefix, const std::string& after) const
{
    store::range_page page;
    page.store_revision = this->latest;
    auto next = after.empty() ? this->items.lower_bound(prefix) : this->items.upper_bound(after);
    for (; next != this->items.end() && next->first.starts_with(prefix); ++next) {
        if (page.items.size() == page_items) {
            page.more = true;
            break;
        }
        page.items.push_back(next->second);
    }
    return page;
}

std::optional<store::change_page> revision_store::changes(const std::string& prefix,
                                                          std::int64_t after) const
{
    if (after < this->forgotten) {
        return std::nullopt;
    }
    store::change_page page;
    page.store_revision = this->latest;
    const auto first = std::upper_bound(this->history.begin(), this->history.end(), after,
                                        [](std::int64_t revision, const store::change& each) {
                                            return revision < each.entry.revision;
                                        });
    std::copy_if(
        first, this->history.end(), std::back_inserter(page.changes),
        [&prefix](const store::change& each) { return each.entry.key.starts_with(prefix); });
    return page;
}

bool revision_store::holds(const store::expectation& each) const
{
    const auto found = this->items.find(each.key);
    return each.revision == (found == this->items.end() ? 0 : found->second.revision);
}

common::result<store::commit_outcome> revision_store::commit(const store::transaction& wanted)
{
    store::commit_outcome outcome;
    if (!std::all_of(wanted.expected.begin(), wanted.expected.end(),
                     [this](const store::expectation& each) { return this->holds(each); })) {
        for (const store::expectation& each : wanted.expected) {
            if (const auto item = this->read(each.key)) {
                outcome.current.push_back(*item);
            }
        }
        return outcome;
    }
    for (const store::assignment& each : wanted.set) {
        if (each.lease != 0 && !this->leases.contains(each.lease)) {
            return common::make_error(common::errc::not_found, "commit", "fake store",
                                      "lease " + std::to_string(each.lease) + " has ended");
        }
    }
    ++this->latest;
    for (const store::assignment& each : wanted.set) {
        this->put(each);
    }
    for (const std::string& key : wanted.remove) {
        this->erase(key);
    }
    outcome.committed = true;
    outcome.revision = this->latest;
    return outcome;
}

void revision_store::put(const store::assignment& each)
{
    store::item& item = this->items[each.key];
    if (item.created_revision == 0) {
        item.created_revision = this->latest;
    }
    item.key = each.key;
    item.value = each.value;
    item.lease = each.lease;
    item.revision = this->latest;
    this->history.push_back({item, false});
    while (this->history.size() > kept_changes) {
        this->forgotten = this->history.front().entry.revision;
        this->history.pop_front();
    }
}

void revision_store::erase(const std::string& key)
{
    if (this->items.erase(key) == 0) {
        return;
    }
    store::change removal;
    removal.entry.key = key;
    removal.entry.revision = this->latest;
    removal.removed = true;
    this->history.push_back(std::move(removal));
}

store::lease_grant revision_store::grant(common::milliseconds time_to_live, common::steady_time now)
{
    const std::uint64_t id = ++this->last_lease;
    this->leases[id] = {time_to_live, now + time_to_live};
    return {id, time_to_live};
}

std::optional<common::milliseconds> revision_store::renew(std::uint64_t id, common::steady_time now)
{
    const auto found = this->leases.find(id);
    if (found == this->leases.end()) {
        return std::nullopt;
    }
    found->second.until = now + found->second.time_to_live;
    return found->second.time_to_live;
}

bool revision_store::end_lease(std::uint64_t id)
{
    if (this->leases.erase(id) == 0) {
        return false;
    }
    std::vector<std::string> keys;
    for (const auto& [key, item] : this->items) {
        if (item.lease == id) {
            keys.push_back(key);
        }
    }
    if (!keys.empty()) {
        ++this->latest;
    }
    for (const std::string& key : keys) {
        this->erase(key);
    }
    return true;
}

void revision_store::lapse_leases(common::steady_time now)
{
    std::vector<std::uint64_t> over;
    for (const auto& [id, lease] : this->leases) {
        if (lease.until <= now) {
            over.push_back(id);
        }
    }
    for (const std::uint64_t id : over) {
        this->end_lease(id);
    }
}

void revision_store::compact()
{
    this->forgotten = this->latest;
    this->history.clear();
}

std::int64_t revision_store::revision() const
{
    return this->latest;
}

} // namespace chervilslip::fakes
