#include "jobs/job.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace chervilslip::jobs {

bool job::is_long_running() const
{
    return std::any_of(this->steps.begin(), this->steps.end(),
                       [](const step& each) { return each.long_running; });
}

std::string_view to_string(job_state state)
{
    switch (state) {
    case job_state::pending:
        return "pending";
    case job_state::running:
        return "running";
    case job_state::completed:
        return "completed";
    case job_state::failed:
        return "failed";
    case job_state::cancelled:
        return "cancelled";
    }
    return "pending";
}

std::string task_id::to_string() const
{
    constexpr std::size_t usual_suffix = 16;
    std::string text;
    text.reserve(this->job.size() + usual_suffix);
    text += this->job;
    text += '.';
    text += std::to_string(this->occurrence);
    text += '.';
    text += std::to_string(this->step);
    text += '.';
    text += std::to_string(this->index);
    return text;
}

std::optional<task_id> parse_task_id(std::string_view text)
{
    const auto job_end = text.find('.');
    if (job_end == std::string_view::npos || job_end == 0) {
        return std::nullopt;
    }
    std::array<std::int64_t, 3> numbers{};
    std::string_view rest = text.substr(job_end + 1);
    for (std::size_t i = 0; i < numbers.size(); ++i) {
        const auto* begin = rest.data();
        const auto* end = begin + rest.size();
        const auto [parsed_end, failure] = std::from_chars(begin, end, numbers.at(i));
        const bool last = i + 1 == numbers.size();
        if (failure != std::errc{} || numbers.at(i) < 0 ||
            (last ? parsed_end != end : parsed_end == end) || (!last && *parsed_end != '.')) {
            return std::nullopt;
        }
        rest = last ? std::string_view{}
                    : rest.substr(static_cast<std::size_t>(parsed_end - begin) + 1);
    }
    return task_id{std::string(text.substr(0, job_end)), numbers[0],
                   static_cast<step_index>(numbers[1]), numbers[2]};
}

} // namespace chervilslip::jobs
