#pragma once

#include <cstdint>
#include <deque>
#include <unordered_set>

namespace chervilslip::daemon {

/// Recognises the numbers of messages that arrive a second time. Not thread safe.
class recent_numbers {
public:
    /// Remembers a number; returns false if it is known already.
    bool add(std::uint64_t number)
    {
        if (!this->known.insert(number).second) {
            return false;
        }
        this->in_order.push_back(number);
        if (this->in_order.size() > max_known) {
            this->known.erase(this->in_order.front());
            this->in_order.pop_front();
        }
        return true;
    }

    /// Returns whether a number is remembered.
    [[nodiscard]] bool contains(std::uint64_t number) const
    {
        return this->known.contains(number);
    }

private:
    /// More than a peer sends before it finds that a connection is silent.
    static constexpr std::size_t max_known = 2048;

    std::unordered_set<std::uint64_t> known;
    std::deque<std::uint64_t> in_order;
};

} // namespace chervilslip::daemon
