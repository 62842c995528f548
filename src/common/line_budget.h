#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <utility>

#include "common/clock.h"

namespace chervilslip::common {

/// Bounds how many lines of each kind are written, so that frequent kinds never crowd out rare
/// ones. Not thread safe.
template <std::size_t Kinds>
class line_budget {
public:
    /// Each kind may have `per_second` lines a second, and `burst` at once.
    line_budget(double lines_per_second, double lines_at_once)
        : per_second(lines_per_second), burst(lines_at_once)
    {
        this->kinds.fill({lines_at_once, {}});
    }

    /// Tells whether a line of a kind may be written now, and counts it. Precondition: time does
    /// not go back, and `kind` is below `Kinds`.
    bool take(std::size_t kind, steady_time now)
    {
        bucket& of = this->kinds.at(kind);
        const double passed = std::chrono::duration<double>(now - of.filled_at).count();
        of.left = std::min(this->burst, of.left + passed * this->per_second);
        of.filled_at = now;
        if (of.left < 1.0) {
            this->dropped_lines += 1;
            return false;
        }
        of.left -= 1.0;
        return true;
    }

    /// Counts a line that could not be written for another reason.
    void add_dropped()
    {
        this->dropped_lines += 1;
    }

    /// Returns how many lines were dropped since the last call.
    std::uint64_t take_dropped()
    {
        return std::exchange(this->dropped_lines, 0);
    }

private:
    struct bucket {
        double left = 0;
        steady_time filled_at;
    };

    double per_second;
    double burst;
    std::array<bucket, Kinds> kinds{};
    std::uint64_t dropped_lines = 0;
};

} // namespace chervilslip::common
