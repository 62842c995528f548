#pragma once

#include <map>
#include <vector>

#include "store/prefix_follower.h"

namespace chervilslip::daemon {

/// Tells which stored items have not been passed on yet. An item that was removed and written again
/// under the same key is a new one. Not thread safe.
class input_tracker {
public:
    /// Records that the item that was written to `key` at `revision` has been passed on.
    void add(const std::string& key, std::int64_t revision)
    {
        std::int64_t& known = this->revisions[key];
        known = std::max(known, revision);
    }

    /// Returns the items that are new, and records them. `items` are all that are stored as of
    /// `revision`; they must outlive the result.
    std::vector<const store::item*> take_new(const store::item_map& items, std::int64_t revision)
    {
        std::vector<const store::item*> found;
        for (const auto& [key, each] : items) {
            std::int64_t& known = this->revisions[key];
            if (known < each.revision) {
                known = each.revision;
                found.push_back(&each);
            }
        }
        std::erase_if(this->revisions, [&items, revision](const auto& each) {
            return each.second <= revision && !items.contains(each.first);
        });
        return found;
    }

    void clear()
    {
        this->revisions.clear();
    }

    [[nodiscard]] std::size_t size() const
    {
        return this->revisions.size();
    }

private:
    std::map<std::string, std::int64_t> revisions; ///< of the items passed on, by key
};

} // namespace chervilslip::daemon
