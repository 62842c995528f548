#include "scheduling/duration_estimator.h"

#include <algorithm>
#include <bit>

namespace chervilslip::scheduling {

namespace {

constexpr double min_sample_weight = 0.05; ///< averages over about the last 20 samples
constexpr double min_samples = 5.0;        ///< from this number on, the declared time is ignored

/// Shapes of a queue that are told apart. Callers choose the sizes and images of their steps, so
/// the number has to be bounded.
constexpr std::size_t max_shapes = 16;

constexpr int max_position = 3;
constexpr double upper_share = 0.95;

} // namespace

step_shape shape_of(const jobs::step& step, jobs::step_index position)
{
    step_shape shape;
    shape.image = step.image;
    shape.processors = static_cast<int>(std::bit_width(
        static_cast<std::uint64_t>(std::max<std::int64_t>(step.task_resources.processors, 0))));
    shape.position = static_cast<int>(std::min<jobs::step_index>(position, max_position));
    shape.accelerated = step.task_resources.accelerators > 0;
    shape.gang = step.gang;
    shape.best_effort = step.best_effort;
    return shape;
}

void duration_estimator::add(const std::string& queue, common::milliseconds run_time, bool is_whole)
{
    entry& estimate = this->entries[queue];
    estimate.samples += 1;
    const double weight = std::max(min_sample_weight, 1.0 / estimate.samples);
    estimate.mean_ms += weight * (static_cast<double>(run_time.count()) - estimate.mean_ms);
    if (is_whole) {
        estimate.times.add(run_time);
    }
}

common::milliseconds duration_estimator::expected(const std::string& queue,
                                                  common::milliseconds declared) const
{
    const auto found = this->entries.find(queue);
    if (found == this->entries.end() || found->second.samples < min_samples) {
        return declared;
    }
    return common::milliseconds(static_cast<std::int64_t>(found->second.mean_ms));
}

common::milliseconds duration_estimator::quantile(const std::string& queue,
                                                  common::milliseconds declared, double share) const
{
    const auto found = this->entries.find(queue);
    return found == this->entries.end() ? run_time_distribution{}.quantile(share, declared)
                                        : found->second.times.quantile(share, declared);
}

common::milliseconds duration_estimator::quantile(const std::string& queue, const step_shape& shape,
                                                  common::milliseconds declared, double share) const
{
    const run_time_distribution* times = this->find_shape(queue, shape);
    return times == nullptr ? this->quantile(queue, declared, share)
                            : times->quantile(share, declared);
}

run_time_distribution& duration_estimator::of_shape(const std::string& queue,
                                                    const step_shape& shape)
{
    auto& shapes = this->entries[queue].shapes;
    const auto found = shapes.find(shape);
    if (found != shapes.end()) {
        return found->second;
    }
    return shapes[shapes.size() < max_shapes ? shape : step_shape{}];
}

const run_time_distribution* duration_estimator::find_shape(const std::string& queue,
                                                            const step_shape& shape) const
{
    const auto found = this->entries.find(queue);
    if (found == this->entries.end()) {
        return nullptr;
    }
    const auto known = found->second.shapes.find(shape);
    return known == found->second.shapes.end() ? nullptr : &known->second;
}

std::vector<duration_estimator::summary> duration_estimator::summaries(std::size_t most) const
{
    std::vector<summary> rows;
    for (const auto& [queue, known] : this->entries) {
        if (known.times.samples() > 0) {
            rows.push_back({queue, known.times.samples(), {}, {}});
        }
    }
    std::stable_sort(rows.begin(), rows.end(), [](const summary& left, const summary& right) {
        return left.samples > right.samples;
    });
    rows.resize(std::min(rows.size(), most));
    for (summary& each : rows) {
        const run_time_distribution& times = this->entries.at(each.queue).times;
        each.median = times.quantile(0.5);
        each.upper = times.quantile(upper_share);
    }
    return rows;
}

} // namespace chervilslip::scheduling
