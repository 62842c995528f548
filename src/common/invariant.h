#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace chervilslip::common {

/// What must always hold; each is checked inside the decision logic.
enum class invariant {
    team_of_key,
    upper_limit,
    at_most_once,
    answer_matches_request,
    not_run_is_true,
    slots_not_oversold,
    legal_transition,
};

inline constexpr std::size_t invariant_count = 7;

/// Returns the name of an invariant for logs and metrics. Thread safe.
constexpr std::string_view to_string(invariant which)
{
    constexpr std::array<std::string_view, invariant_count> names{
        "team_of_key",     "upper_limit",        "at_most_once",    "answer_matches_request",
        "not_run_is_true", "slots_not_oversold", "legal_transition"};
    return names.at(static_cast<std::size_t>(which));
}

/// Is told of each violation.
using violation_handler = std::function<void(invariant which, const std::string& detail)>;

/// Counts the checks of each invariant and reports violations. Not thread safe.
class invariant_monitor {
public:
    explicit invariant_monitor(violation_handler on_violation) : handler(std::move(on_violation))
    {
    }

    /// Records one check; `describe` is called only when it failed.
    template <typename Describe>
    void check(invariant which, bool holds, Describe describe)
    {
        ++this->checks.at(static_cast<std::size_t>(which));
        if (!holds) {
            ++this->violations;
            this->handler(which, describe());
        }
    }

    /// Returns how often an invariant was checked.
    [[nodiscard]] std::uint64_t check_count(invariant which) const
    {
        return this->checks.at(static_cast<std::size_t>(which));
    }

    /// Returns how many checks failed.
    [[nodiscard]] std::uint64_t violation_count() const
    {
        return this->violations;
    }

private:
    violation_handler handler;
    std::array<std::uint64_t, invariant_count> checks{};
    std::uint64_t violations = 0;
};

} // namespace chervilslip::common
