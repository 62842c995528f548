#pragma once

#include <algorithm>

namespace chervilslip::routing {

/// Limits retries to a fraction of requests, so that failing upstreams cannot cause a retry storm.
/// Not thread safe.
class retry_budget {
public:
    /// Adds the fraction of a retry that each new request allows.
    void add_request()
    {
        this->balance = std::min(this->balance + retries_per_request, max_saved_retries);
    }

    /// Consumes one retry; returns false when the budget is exhausted.
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
    static constexpr double max_saved_retries = 100.0;

    double balance = 0.0;
};

} // namespace chervilslip::routing
