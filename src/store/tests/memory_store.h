#pragma once

#include <deque>

#include "store/store.h"

namespace chervilslip::store::tests {

/// In-memory store that can lose responses. Handlers run within the call; delayed actions run in
/// order, regardless of their delay.
class memory_store {
public:
    void read(const std::string& key, purpose /*call_purpose*/, const read_handler& handler)
    {
        ++this->reads;
        if (this->down) {
            handler(response_lost("read"));
            return;
        }
        const auto found = this->values.find(key);
        handler(found == this->values.end() ? std::nullopt : std::optional{found->second});
    }

    void compare_and_swap(const swap_request& request, purpose /*call_purpose*/,
                          const swap_handler& handler)
    {
        ++this->swaps;
        if (this->down) {
            handler(response_lost("swap"));
            return;
        }
        if (this->before_swap) {
            std::exchange(this->before_swap, nullptr)();
        }
        const auto found = this->values.find(request.key);
        const auto current = found == this->values.end() ? no_revision : found->second.revision;
        const bool swapped = current == request.expected_revision;
        if (swapped) {
            this->values[request.key] = {request.value, ++this->revision};
            this->written_keys.push_back(request.key);
        }
        if (this->lost_swap_responses > 0) {
            --this->lost_swap_responses;
            handler(response_lost("swap"));
            return;
        }
        handler(swap_outcome{swapped, this->revision});
    }

    void after(common::milliseconds /*delay*/, std::function<void()> action)
    {
        this->delayed.push_back(std::move(action));
    }

    /// Runs delayed actions until none are left.
    void run()
    {
        while (!this->delayed.empty()) {
            const auto action = std::move(this->delayed.front());
            this->delayed.pop_front();
            action();
        }
    }

    std::map<std::string, versioned_value> values;
    std::vector<std::string> written_keys;
    std::deque<std::function<void()>> delayed;
    std::function<void()> before_swap; ///< runs once before a swap, to simulate a concurrent writer
    std::int64_t revision = 0;
    int lost_swap_responses = 0;
    int reads = 0;
    int swaps = 0;
    bool down = false;

private:
    static common::error response_lost(const std::string& step)
    {
        return common::make_error(common::errc::timed_out, step, "memory store", "");
    }
};

static_assert(key_value_store<memory_store>);

} // namespace chervilslip::store::tests
