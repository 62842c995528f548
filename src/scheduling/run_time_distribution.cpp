#include "scheduling/run_time_distribution.h"

#include <algorithm>
#include <cmath>

namespace chervilslip::scheduling {

namespace {

/// Averages over about the last 50 samples. The upper tenth follows a change within 6 runs, the
/// median within 35.
constexpr double sample_weight = 0.02;

/// A declared time counts as much as this many runs at first, and less by a fifth with each run.
constexpr double prior_samples = 5.0;
constexpr double prior_decay = 0.8;
constexpr double negligible_prior = 0.01;

/// Declared times are off by a relative error of up to this much.
constexpr double declared_error = 0.9;

/// Returns the probability that a run with a declared time ends within `time_ms`: the declared time
/// is the true one times 1 + e, with e anywhere between the error and its negative.
double prior_share(double time_ms, double declared_ms)
{
    if (time_ms <= 0) {
        return 0;
    }
    return std::clamp((1 + declared_error - declared_ms / time_ms) / (2 * declared_error), 0.0,
                      1.0);
}

double prior_quantile(double share, double declared_ms)
{
    return declared_ms / (1 + declared_error * (1 - 2 * share));
}

common::milliseconds to_time(double ms)
{
    return common::milliseconds(static_cast<std::int64_t>(std::llround(ms)));
}

} // namespace

std::size_t run_time_distribution::bucket_of(double time_ms)
{
    if (time_ms < 1) {
        return 0;
    }
    const double position = std::log2(time_ms) * static_cast<double>(buckets_per_octave);
    return std::min(static_cast<std::size_t>(position) + 1, bucket_count - 1);
}

double run_time_distribution::lower_edge(std::size_t bucket)
{
    static const std::array<double, bucket_count + 1> edges = [] {
        std::array<double, bucket_count + 1> values{};
        for (std::size_t i = 1; i < values.size(); ++i) {
            values.at(i) =
                std::exp2(static_cast<double>(i - 1) / static_cast<double>(buckets_per_octave));
        }
        return values;
    }();
    return edges.at(bucket);
}

void run_time_distribution::add(common::milliseconds run_time)
{
    for (float& each : this->weights) {
        each *= static_cast<float>(1 - sample_weight);
    }
    this->total = this->total * (1 - sample_weight) + 1;
    this->weights.at(bucket_of(static_cast<double>(run_time.count()))) += 1;
    ++this->count;
}

std::int64_t run_time_distribution::samples() const
{
    return this->count;
}

double run_time_distribution::share_longer(common::milliseconds time) const
{
    if (this->count == 0) {
        return 0;
    }
    const auto time_ms = static_cast<double>(time.count());
    const std::size_t within = bucket_of(time_ms);
    double longer = 0;
    for (std::size_t i = within + 1; i < bucket_count; ++i) {
        longer += static_cast<double>(this->weights.at(i));
    }
    const double lower = lower_edge(within);
    const double upper = lower_edge(within + 1);
    const double rest = std::clamp((upper - time_ms) / (upper - lower), 0.0, 1.0);
    longer += static_cast<double>(this->weights.at(within)) * rest;
    return std::clamp(longer / this->total, 0.0, 1.0);
}

common::milliseconds run_time_distribution::quantile(double share) const
{
    return to_time(this->mixed_quantile(share, 0, 0));
}

common::milliseconds run_time_distribution::quantile(double share,
                                                     common::milliseconds declared) const
{
    const auto declared_ms = static_cast<double>(declared.count());
    if (this->count == 0) {
        return to_time(prior_quantile(share, declared_ms));
    }
    const double prior = prior_samples * std::pow(prior_decay, static_cast<double>(this->count));
    const bool counts = declared_ms > 0 && prior > negligible_prior;
    return to_time(this->mixed_quantile(share, declared_ms, counts ? prior : 0));
}

double run_time_distribution::mixed_quantile(double share, double declared_ms,
                                             double prior_weight) const
{
    const double wanted = share * (this->total + prior_weight);
    double below = 0; // weight of the samples in earlier buckets
    double reached = 0;
    for (std::size_t i = 0; i < bucket_count; ++i) {
        below += static_cast<double>(this->weights.at(i));
        const double upper = lower_edge(i + 1);
        const double prior =
            prior_weight > 0 ? prior_weight * prior_share(upper, declared_ms) : 0.0;
        const double next = below + prior;
        if (next >= wanted && next > reached) {
            const double lower = lower_edge(i);
            return lower + (upper - lower) * (wanted - reached) / (next - reached);
        }
        reached = next;
    }
    return lower_edge(bucket_count);
}

} // namespace chervilslip::scheduling
