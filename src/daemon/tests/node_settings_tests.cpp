#include <filesystem>
#include <fstream>

#include <criterion/criterion.h>

#include "daemon/node_settings.h"

namespace {

using namespace chervilslip;
using daemon::checked_node_settings;

checked_node_settings load_text(const std::string& text)
{
    const auto file = std::filesystem::temp_directory_path() /
                      ("chervilslip-node-settings-" + std::to_string(::getpid()) + ".json");
    std::ofstream(file) << text;
    auto checked = daemon::load_node_settings(file.string());
    std::filesystem::remove(file);
    return checked;
}

const std::string valid_settings = R"({
    // a comment
    "node": "a", "zone": "z", "position": {"index": 1, "count": 3},
    "listen": "127.0.0.1:1", "operator_listen": "127.0.0.1:2", "peer_listen": "127.0.0.1:3",
    "store": "127.0.0.1:4", "vm_list": "127.0.0.1:5",
    "peer_secret": "0123456789abcdef", "operator_token": "0123456789abcdef"
)";

Test(node_settings, valid_file_is_read_with_defaults)
{
    // given / when
    const auto checked = load_text(valid_settings + "}");

    // then
    cr_assert(checked.problems.empty());
    cr_assert((checked.typed.position == teams::node_position{1, 3}));
    cr_assert((checked.typed.peer_listen == net::endpoint{"127.0.0.1", 3}));
    cr_assert(checked.typed.http.body_bytes == 1024 * 1024);
}

Test(node_settings, every_problem_is_reported_with_the_allowed_values)
{
    // given / when
    const auto checked = load_text(valid_settings + R"(, "store_check_ms": 0, "colour": 1,
        "http": {"body_bytes": "many"}, "choice": "best", "peers": ["here"]})");

    // then
    cr_assert(checked.problems.size() == 5);
    for (const settings::problem& each : checked.problems) {
        cr_assert_not(each.allowed.empty());
    }
}

Test(node_settings, position_index_must_be_below_the_count)
{
    // given
    std::string text = valid_settings + "}";
    text.replace(text.find("\"index\": 1"), 10, "\"index\": 3");

    // when
    const auto checked = load_text(text);

    // then
    cr_assert(checked.problems.size() == 1);
    cr_assert(checked.problems.front().path == "/position/index");
}

Test(node_settings, missing_file_is_reported_with_its_name)
{
    // given / when
    const auto checked = daemon::load_node_settings("no-such-file.json");

    // then
    cr_assert(checked.problems.size() == 1);
    cr_assert(checked.problems.front().file == "no-such-file.json");
}

Test(node_settings, examples_are_valid)
{
    const auto directory = std::string(CHERVILSLIP_SOURCE_DIR) + "/examples/nodes";
    for (const auto& entry : std::filesystem::directory_iterator(directory)) {
        // given / when
        const auto checked = daemon::load_node_settings(entry.path().string());

        // then
        cr_assert(checked.problems.empty(), "%s: %s", entry.path().c_str(),
                  checked.problems.front().to_string().c_str());
    }
}

} // namespace
