#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace chervilslip::common {

/// The seeded random source handed to decision logic. Not thread safe.
class random_source {
public:
    explicit random_source(std::uint64_t seed) : engine(seed)
    {
    }

    /// Returns a number in [0, bound). Precondition: `bound` > 0.
    std::uint64_t below(std::uint64_t bound)
    {
        return std::uniform_int_distribution<std::uint64_t>{0, bound - 1}(this->engine);
    }

    /// Returns a number in [0, 1).
    double unit()
    {
        return std::uniform_real_distribution<double>{0.0, 1.0}(this->engine);
    }

    /// Returns true with the given probability. Precondition: 0 <= `probability` <= 1.
    bool chance(double probability)
    {
        return this->unit() < probability;
    }

    /// Returns an exponentially distributed number with the given mean. Precondition: `mean` > 0.
    double exponential(double mean)
    {
        return std::exponential_distribution<double>{1.0 / mean}(this->engine);
    }

private:
    std::mt19937_64 engine;
};

} // namespace chervilslip::common
