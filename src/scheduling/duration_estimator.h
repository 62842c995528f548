#pragma once

#include <map>
#include <string>
#include <vector>

#include "jobs/job.h"
#include "scheduling/run_time_distribution.h"

namespace chervilslip::scheduling {

/// What distinguishes the steps of a queue whose run times are not comparable.
struct step_shape {
    std::string image;
    int processors = 0; ///< binary logarithm, rounded down
    int position = 0;   ///< within the job; the last value stands for all later steps
    bool accelerated = false;
    bool gang = false;
    bool best_effort = false;
    bool far = false; ///< ran far from its data, by a factor that is not known

    friend auto operator<=>(const step_shape&, const step_shape&) = default;
};

/// Returns the shape of a step. Thread safe.
step_shape shape_of(const jobs::step& step, jobs::step_index position);

/// Estimates the run time of a queue's tasks from completed runs, because the declared estimates
/// are far off. Not thread safe.
class duration_estimator {
public:
    /// Adds the run time of a completed task. One that is not that of a whole run, because the run
    /// resumed from a checkpoint or its begin is not known, enters the expected time only.
    /// Precondition: `run_time` is not negative.
    void add(const std::string& queue, common::milliseconds run_time, bool is_whole = true);

    /// Returns the expected run time of a task; `declared` while there are too few samples.
    [[nodiscard]] common::milliseconds expected(const std::string& queue,
                                                common::milliseconds declared) const;

    /// Returns the time within which a share of a queue's runs end; near `declared` while there are
    /// few samples. Precondition: `share` is between 0 and 1.
    [[nodiscard]] common::milliseconds quantile(const std::string& queue,
                                                common::milliseconds declared, double share) const;

    /// As above, for the steps of one shape.
    [[nodiscard]] common::milliseconds quantile(const std::string& queue, const step_shape& shape,
                                                common::milliseconds declared, double share) const;

    /// Returns the distribution of a shape, which stays at its address; it is empty for a new one.
    /// Beyond the number of shapes that are told apart, a queue's further ones share one.
    run_time_distribution& of_shape(const std::string& queue, const step_shape& shape);

    /// Returns the distribution of a shape; null if it has none of its own.
    [[nodiscard]] const run_time_distribution* find_shape(const std::string& queue,
                                                          const step_shape& shape) const;

    /// What was learned of a queue.
    struct summary {
        std::string queue;
        std::int64_t samples = 0;
        common::milliseconds median{0};
        common::milliseconds upper{0}; ///< within which 95 % of the runs end

        friend bool operator==(const summary&, const summary&) = default;
    };

    /// Returns what was learned of up to `most` queues, those with the most samples first.
    [[nodiscard]] std::vector<summary> summaries(std::size_t most) const;

private:
    struct entry {
        double mean_ms = 0;
        double samples = 0;
        run_time_distribution times;
        std::map<step_shape, run_time_distribution> shapes;
    };
    std::map<std::string, entry> entries;
};

} // namespace chervilslip::scheduling
