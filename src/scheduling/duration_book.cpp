#include "scheduling/duration_book.h"

#include <algorithm>

namespace chervilslip::scheduling {

namespace {

constexpr double newest_part = 0.05;    ///< weight of one sample: about the last twenty count
constexpr double trusted_samples = 5.0; ///< from here on the declared time is ignored

} // namespace

void duration_book::add(const std::string& queue, common::milliseconds taken)
{
    entry& known = this->entries[queue];
    known.samples += 1;
    const double part = std::max(newest_part, 1.0 / known.samples);
    known.mean_ms += part * (static_cast<double>(taken.count()) - known.mean_ms);
}

common::milliseconds duration_book::expected(const std::string& queue,
                                             common::milliseconds declared) const
{
    const auto found = this->entries.find(queue);
    if (found == this->entries.end() || found->second.samples < trusted_samples) {
        return declared;
    }
    return common::milliseconds(static_cast<std::int64_t>(found->second.mean_ms));
}

} // namespace chervilslip::scheduling
