#include <fstream>
#include <set>
#include <sstream>

#include <criterion/criterion.h>

#include <fcntl.h>
#include <unistd.h>

#include "common/event_log.h"
#include "common/line_budget.h"

namespace {

using namespace chervilslip::common;

std::string read_catalogue_page()
{
    std::ifstream file(std::string(CHERVILSLIP_SOURCE_DIR) + "/docs/EVENTS.md");
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

Test(event_log, each_event_is_explained_in_the_catalogue_page)
{
    // given
    const std::string page = read_catalogue_page();

    for (const event_entry& entry : event_catalogue) {
        // when
        const std::string row =
            "| " + std::to_string(static_cast<int>(entry.id)) + " | `" + std::string(entry.name);

        // then
        cr_assert(page.find(row) != std::string::npos, "docs/EVENTS.md lacks: %s", row.c_str());
    }
}

Test(event_log, numbers_are_unique)
{
    // given
    std::set<event_id> seen;

    // when
    for (const event_entry& entry : event_catalogue) {
        seen.insert(entry.id);
    }

    // then
    cr_assert(seen.size() == event_catalogue.size());
}

Test(event_log, each_line_parses_and_names_its_event)
{
    // given
    std::array<int, 2> ends{};
    cr_assert(::pipe(ends.data()) == 0);
    event_log::initialize(false, ends[1]);
    const event_log log("node-1");

    for (const event_entry& entry : event_catalogue) {
        // when
        log.write(entry.id, {{"subject", "\xff bytes that are no text"}});
        std::array<char, 4096> text{};
        const auto size = ::read(ends[0], text.data(), text.size());

        // then
        const std::string line(text.data(), static_cast<std::size_t>(size));
        const auto parsed = nlohmann::json::parse(line.substr(line.find('{')));
        cr_assert(parsed["event"] == static_cast<int>(entry.id));
        cr_assert(parsed["node"] == "node-1");
    }
}

Test(event_log, does_not_wait_for_a_reader_that_stopped, .timeout = 10)
{
    // given
    std::array<int, 2> ends{};
    cr_assert(::pipe(ends.data()) == 0);
    event_log::initialize(false, ends[1]);
    const event_log log("node-1");

    // when: far more than a pipe holds is written, and nobody reads
    for (int i = 0; i < 400; ++i) {
        log.write(event_id::bad_request, {{"error", std::string(1000, 'x')}});
    }

    // then: it has returned, and the pipe holds whole lines
    std::array<char, 1 << 20> text{};
    const auto size = ::read(ends[0], text.data(), text.size());
    cr_assert(size > 0);
    cr_assert(text[static_cast<std::size_t>(size) - 1] == '\n');
}

Test(line_budget, a_frequent_kind_does_not_crowd_out_a_rare_one)
{
    // given
    line_budget<2> budget(10, 5);
    const steady_time now(std::chrono::hours(1));
    int frequent = 0;

    // when
    for (int i = 0; i < 100; ++i) {
        frequent += budget.take(0, now) ? 1 : 0;
    }

    // then
    cr_assert(frequent == 5);
    cr_assert(budget.take(1, now));
    cr_assert(budget.take_dropped() == 95);
    cr_assert(budget.take(0, now + milliseconds(150)));
}

} // namespace
