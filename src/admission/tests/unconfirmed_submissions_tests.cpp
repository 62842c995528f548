#include <criterion/criterion.h>

#include "admission/unconfirmed_submissions.h"

namespace {

using namespace chervilslip;
using admission::unconfirmed_submissions;
using std::chrono::milliseconds;

constexpr auto window = unconfirmed_submissions::repeat_window;
constexpr common::steady_time start{std::chrono::hours(1)};
constexpr common::steady_time informed = start + window;

} // namespace

Test(unconfirmed_submissions, nothing_is_excluded_before_peers_would_have_told)
{
    const unconfirmed_submissions jobs(start);
    cr_assert_not(jobs.excludes("j1", informed - milliseconds(1)));
    cr_assert(jobs.excludes("j1", informed));
}

Test(unconfirmed_submissions, a_job_is_remembered_for_as_long_as_callers_repeat_it)
{
    unconfirmed_submissions jobs(start);
    jobs.add("j1", informed);
    jobs.add("j1", informed + window / 2);
    jobs.add("j2", informed + window);
    cr_assert_not(jobs.excludes("j1", informed + window));
    cr_assert(jobs.excludes("j3", informed + window));
    cr_assert(jobs.excludes("j1", informed + 2 * window));
}

Test(unconfirmed_submissions, nothing_is_excluded_after_a_peer_was_lost_or_has_returned)
{
    unconfirmed_submissions jobs(start);
    jobs.handle_peer_connected("new", informed);
    cr_assert(jobs.excludes("j1", informed));
    jobs.handle_peer_lost("new", informed);
    cr_assert_not(jobs.excludes("j1", informed));
    cr_assert(jobs.excludes("j1", informed + window));
    jobs.handle_peer_connected("new", informed + 2 * window);
    cr_assert_not(jobs.excludes("j1", informed + 2 * window));
    cr_assert(jobs.excludes("j1", informed + 3 * window));
}

Test(unconfirmed_submissions, a_peer_that_connects_is_told_what_is_remembered)
{
    unconfirmed_submissions jobs(start);
    jobs.add("j1", informed);
    jobs.add("j2", informed + window / 2);
    const std::vector<std::string> expected{"j2"};
    cr_assert(jobs.remembered(informed + window) == expected);
}

Test(unconfirmed_submissions, a_job_that_had_to_be_forgotten_is_not_excluded)
{
    unconfirmed_submissions jobs(start);
    jobs.add("first", informed);
    for (std::size_t i = 0; i < unconfirmed_submissions::max_jobs; ++i) {
        jobs.add(std::to_string(i), informed);
    }
    cr_assert_not(jobs.excludes("first", informed));
    cr_assert(jobs.excludes("first", informed + window));
}
