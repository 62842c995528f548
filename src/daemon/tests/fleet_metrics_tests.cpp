#include <criterion/criterion.h>

#include "daemon/fleet_metrics.h"

namespace {

using namespace chervilslip;

Test(fleet_metrics, the_number_of_rows_by_team_is_bounded)
{
    // given
    constexpr std::size_t extra = 3;
    std::vector<scheduling::team_share> rows;
    for (std::size_t i = 0; i < daemon::max_team_rows + extra; ++i) {
        rows.push_back({"main", "t" + std::to_string(i), 0.5, 0.25, common::milliseconds(1000)});
    }

    // when
    const auto families = daemon::team_share_metrics(rows);

    // then
    for (const auto& each : families) {
        cr_assert(each.metric.size() == daemon::max_team_rows + 1);
        cr_assert(each.metric.back().label[1].value == "other");
    }
    cr_assert(families[0].metric.back().gauge.value == extra * 0.25);
    cr_assert(families[1].metric.back().gauge.value == extra * 0.5);
    cr_assert(families[2].metric.back().counter.value == extra);
}

} // namespace
