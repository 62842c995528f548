#pragma once

#include <algorithm>

#include "common/clock.h"

namespace chervilslip::scheduling {

/// How long the owner gathers commands, results and changes before it handles them together. While
/// it keeps up nothing is gathered. The later its timer runs, the longer is the window, so that its
/// work for each task falls as its load rises. Not thread safe.
class batch_window {
public:
    /// Bounds the delay that a step of a job can get from it: a few windows.
    static constexpr common::milliseconds longest{40};

    /// A timer that is late by less has other causes than load.
    static constexpr common::milliseconds ordinary_lag{5};

    /// Records by how much the periodic timer was late.
    void observe(common::milliseconds lag)
    {
        // Rises at once and falls slowly, because a longer window reduces the lag itself.
        const auto faded = this->smoothed - std::max(this->smoothed / decay, smallest_decay);
        this->smoothed = std::clamp(lag, std::min(faded, longest_remembered), longest_remembered);
    }

    /// Returns the window; zero while the owner keeps up.
    [[nodiscard]] common::milliseconds length() const
    {
        if (this->smoothed <= ordinary_lag) {
            return common::milliseconds{0};
        }
        return std::min(this->smoothed, longest);
    }

private:
    static constexpr int decay = 16; ///< observations until about two thirds of a lag are forgotten
    static constexpr common::milliseconds smallest_decay{1};

    static constexpr common::milliseconds longest_remembered{2 * longest};

    common::milliseconds smoothed{0};
};

} // namespace chervilslip::scheduling
