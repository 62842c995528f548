#include "scheduling/duration_estimator.h"

#include <algorithm>

namespace chervilslip::scheduling {

namespace {

constexpr double min_sample_weight = 0.05; ///< averages over about the last 20 samples
constexpr double min_samples = 5.0;        ///< from this number on, the declared time is ignored

} // namespace

void duration_estimator::add(const std::string& queue, common::milliseconds run_time)
{
    entry& estimate = this->entries[queue];
    estimate.samples += 1;
    const double weight = std::max(min_sample_weight, 1.0 / estimate.samples);
    estimate.mean_ms += weight * (static_cast<double>(run_time.count()) - estimate.mean_ms);
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

} // namespace chervilslip::scheduling
