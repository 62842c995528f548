#pragma once

#include <algorithm>

namespace chervilslip::routing {

/// Allows retries as a fraction of requests, so that failing upstreams cannot cause a storm.
/// Not thread safe.
class retry_budget {
public:
    /// Earns a part of a retry with each new request.
    void add_request()
    {
        this->balance = std::min(this->balance + retries_per_request, most_saved_retries);
    }

    /// Takes one retry, or returns false when none is earned.
    bool try_acquire()
    {
        if (this->balance < 1.0) {
            return false;
        }
        this->balance -= 1.0;
        return true;
    }

private:
    static constexpr double retries_per_request = 0.2;
    static constexpr double most_saved_retries = 100.0;

    double balance = 0.0;
};

} // namespace chervilslip::routing
