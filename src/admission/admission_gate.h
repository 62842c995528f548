#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "common/clock.h"
#include "common/error.h"
#include "jobs/job.h"

namespace chervilslip::admission {

/// The share of new jobs to accept, as the owner publishes it.
struct published_share {
    double share = 1.0;     ///< in (0, 1]
    std::int64_t token = 0; ///< claim of the owner that published it

    friend bool operator==(const published_share&, const published_share&) = default;
};

/// Thread safe.
std::string encode_share(const published_share& value);

/// Errors: `bad_message`. Thread safe.
common::result<published_share> decode_share(const std::string& text);

/// Returns whether a job may be refused under overload. Long-running and scheduled jobs may not:
/// they are few, and matter for much longer than an overload lasts. Thread safe.
bool may_be_refused(const jobs::job& submitted);

/// Decides at an entry node which new jobs are accepted, from the share that the owner has
/// published. The decision depends only on the job's id and the share, so that all nodes decide
/// alike and a repeated submission is not accepted while the share stays. A share is in force as
/// long as the claim of the owner that published it. Not thread safe.
class admission_gate {
public:
    /// Observes the claim as of a revision of the store; `token` is unset when there is none.
    void observe_claim(std::optional<std::int64_t> token, std::int64_t store_revision);

    /// Observes that the claim under which the share was published has ended.
    void observe_claim_end();

    /// Observes the published share. `revision` is the revision of its item, 0 when there is none.
    void observe_share(const published_share& value, std::int64_t revision);

    /// Returns whether a job with this id is accepted.
    [[nodiscard]] bool admits(const std::string& id) const;

    /// Returns the earliest time after which a refused job is accepted, if the owner recovers now.
    /// In whole seconds, at least 1; it differs between jobs, so that they do not return at once.
    [[nodiscard]] std::chrono::seconds retry_after(const std::string& id) const;

    /// Returns the share in force.
    [[nodiscard]] double share() const;

    /// Returns the latest observed revision of the share's item; 0: none.
    [[nodiscard]] std::int64_t revision() const;

    /// Returns the claim under which the latest observed share was published.
    [[nodiscard]] std::int64_t token() const;

private:
    published_share latest;
    std::int64_t share_revision = 0;
    std::int64_t oldest_valid_token = 0; ///< claims with a lower token have ended
};

} // namespace chervilslip::admission
