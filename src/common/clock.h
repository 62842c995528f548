#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

namespace chervilslip::common {

using steady_time = std::chrono::steady_clock::time_point;
using wall_time = std::chrono::system_clock::time_point;
using milliseconds = std::chrono::milliseconds;

/// The source of time for everything that does I/O; decision logic gets the time with each event.
class clock {
public:
    clock() = default;
    clock(const clock&) = delete;
    clock& operator=(const clock&) = delete;
    virtual ~clock() = default;

    /// Returns monotonic time. Thread safe.
    [[nodiscard]] virtual steady_time steady_now() const = 0;

    /// Returns calendar time. Thread safe.
    [[nodiscard]] virtual wall_time wall_now() const = 0;
};

/// The clock of the operating system.
class real_clock final : public clock {
public:
    [[nodiscard]] steady_time steady_now() const override
    {
        return std::chrono::steady_clock::now();
    }

    [[nodiscard]] wall_time wall_now() const override
    {
        return std::chrono::system_clock::now();
    }
};

/// A clock whose monotonic time also counts while the machine is suspended, so that a lease is
/// never believed to last longer than it does.
class suspend_aware_clock final : public clock {
public:
    [[nodiscard]] steady_time steady_now() const override
    {
        timespec now{};
        ::clock_gettime(CLOCK_BOOTTIME, &now);
        return steady_time(std::chrono::seconds(now.tv_sec) +
                           std::chrono::nanoseconds(now.tv_nsec));
    }

    [[nodiscard]] wall_time wall_now() const override
    {
        return std::chrono::system_clock::now();
    }
};

/// Returns whole milliseconds since the Unix epoch. Thread safe.
inline std::int64_t unix_milliseconds(wall_time time)
{
    return std::chrono::duration_cast<milliseconds>(time.time_since_epoch()).count();
}

} // namespace chervilslip::common
