#pragma once

#include <algorithm>
#include <deque>
#include <set>
#include <unordered_map>
#include <unordered_set>

#include "scheduling/messages.h"

namespace chervilslip::scheduling {

/// Jobs whose stored progress is out of date, in the order in which they changed, so that a backlog
/// of writes delays all of them alike. Not thread safe.
class changed_jobs {
public:
    /// Adds a job unless it is there already.
    void add(const std::string& job)
    {
        if (this->members.insert(job).second) {
            this->order.push_back(job);
        }
    }

    void remove(const std::string& job)
    {
        this->members.erase(job);
    }

    [[nodiscard]] bool contains(const std::string& job) const
    {
        return this->members.contains(job);
    }

    [[nodiscard]] std::size_t size() const
    {
        return this->members.size();
    }

    /// Returns the job that has waited longest; null if there is none.
    [[nodiscard]] const std::string* front()
    {
        while (!this->order.empty() && !this->members.contains(this->order.front())) {
            this->order.pop_front(); // removed since
        }
        return this->order.empty() ? nullptr : &this->order.front();
    }

    /// Removes the front. Precondition: `front` has returned a job since the last change.
    void pop_front()
    {
        this->members.erase(this->order.front());
        this->order.pop_front();
    }

private:
    std::deque<std::string> order; ///< may hold jobs that were removed
    std::unordered_set<std::string> members;
};

/// A sequence of journal writes, one at a time. A job's changes always take the same lane, so they
/// are written in order; lanes are independent, so that several writes may be under way.
struct journal_lane {
    using planned_start = std::pair<jobs::task_id, std::int64_t>; ///< task and run number

    changed_jobs changed;
    /// Starts that are not in a journal batch yet, by job.
    std::unordered_map<std::string, std::vector<planned_start>> planned_starts;
    /// Workers that have reported ends of a changed job, by job.
    std::unordered_map<std::string, std::set<std::string>> workers_of_ends;

    std::optional<std::uint64_t> batch_in_flight;
    std::vector<document_change> batch_changes;
    std::vector<planned_start> batch_starts;
    std::set<std::string> batch_workers; ///< with ends that the batch makes durable
    common::steady_time last_flush;

    /// Returns whether the batch in flight has a change of a job.
    [[nodiscard]] bool writes(const std::string& job) const
    {
        return this->batch_in_flight &&
               std::any_of(this->batch_changes.begin(), this->batch_changes.end(),
                           [&job](const document_change& each) { return each.job == job; });
    }
};

} // namespace chervilslip::scheduling
