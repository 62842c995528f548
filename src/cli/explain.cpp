#include "cli/explain.h"

#include <algorithm>
#include <chrono>
#include <ctime>
#include <iomanip>
#include <set>
#include <sstream>

namespace chervilslip::cli {

namespace {

using nlohmann::json;

/// What may hold up any job: who decides, and whether the store is in reach.
const std::set<std::string> shared_causes{"claim_won",  "claim_lost",     "takeover_read",
                                          "store_lost", "store_regained", "journal_failed"};

/// What a worker's trouble looks like.
const std::set<std::string> worker_causes{"worker_suspected", "worker_trusted", "worker_lost"};

/// A gap that is shorter is an ordinary wait.
constexpr std::int64_t notable_gap_ms = 500;

std::string text_of(const json& fields, const char* name)
{
    const auto found = fields.find(name);
    return found != fields.end() && found->is_string() ? found->get<std::string>() : std::string{};
}

bool names(const logged_event& event, const std::string& id)
{
    if (text_of(event.fields, "job") == id || text_of(event.fields, "request") == id) {
        return true;
    }
    const std::string subject = text_of(event.fields, "subject");
    return subject == id || subject.starts_with(id + ".");
}

/// Returns the worker that an event's detail ends with: "run 2 on W", "unknown by W".
std::string worker_of(const logged_event& event)
{
    const std::string detail = text_of(event.fields, "detail");
    const auto space = detail.rfind(' ');
    const bool named =
        detail.find(" on ") != std::string::npos || detail.find(" by ") != std::string::npos;
    return named && space != std::string::npos ? detail.substr(space + 1) : std::string{};
}

std::optional<std::int64_t> milliseconds_of(const std::string& time)
{
    std::tm parts{};
    std::istringstream source(time);
    source >> std::get_time(&parts, "%Y-%m-%dT%H:%M:%S");
    if (source.fail()) {
        return std::nullopt;
    }
    constexpr std::int64_t ms_per_second = 1000;
    std::int64_t ms = 0;
    if (source.peek() == '.') {
        source.get();
        source >> ms;
    }
    return static_cast<std::int64_t>(::timegm(&parts)) * ms_per_second + ms;
}

std::int64_t gap_between(const logged_event& earlier, const logged_event& later)
{
    const auto begin = milliseconds_of(earlier.time);
    const auto end = milliseconds_of(later.time);
    return begin && end ? *end - *begin : 0;
}

const logged_event* last_of(const std::vector<logged_event>& own, const std::string& name)
{
    const auto found = std::find_if(own.rbegin(), own.rend(),
                                    [&name](const auto& each) { return each.name == name; });
    return found == own.rend() ? nullptr : &*found;
}

std::string seconds(std::int64_t ms)
{
    constexpr double ms_per_second = 1000.0;
    std::ostringstream text;
    text << std::fixed << std::setprecision(2) << static_cast<double>(ms) / ms_per_second << " s";
    return text.str();
}

/// Names the longest wait between two events of the job, and what happened meanwhile.
std::string longest_wait(const std::vector<logged_event>& own, const std::vector<logged_event>& all)
{
    std::size_t at = 0;
    std::int64_t longest = 0;
    for (std::size_t i = 1; i < own.size(); ++i) {
        const std::int64_t gap = gap_between(own[i - 1], own[i]);
        if (gap > longest) {
            longest = gap;
            at = i;
        }
    }
    if (longest < notable_gap_ms) {
        return "no wait of " + seconds(notable_gap_ms) + " or more";
    }
    std::string text = "longest wait " + seconds(longest) + ", between " + own[at - 1].name +
                       " and " + own[at].name;
    std::string meanwhile;
    for (const logged_event& each : all) {
        const bool within = each.time >= own[at - 1].time && each.time <= own[at].time;
        const bool other = shared_causes.contains(each.name) || worker_causes.contains(each.name);
        if (within && other) {
            meanwhile += (meanwhile.empty() ? "" : ", ") + each.name + " at " + each.node;
        }
    }
    return text +
           (meanwhile.empty() ? "; nothing else was logged meanwhile" : "; meanwhile " + meanwhile);
}

std::string finding_of(const std::vector<logged_event>& own, const std::vector<logged_event>& all)
{
    if (own.empty()) {
        return "no event names it: it never reached these nodes, or was refused before it was "
               "read (no configuration yet, unknown key or queue)";
    }
    if (last_of(own, "job_accepted") == nullptr) {
        if (const logged_event* refused = last_of(own, "job_refused")) {
            const auto lost = std::find_if(all.rbegin(), all.rend(), [&](const auto& each) {
                return each.name == "store_lost" && each.node == refused->node &&
                       each.time <= refused->time;
            });
            return "refused as not run by " + refused->node +
                   (lost == all.rend()
                        ? std::string{"; no loss of the store was logged there"}
                        : ": the store was out of reach, " + text_of(lost->fields, "cause"));
        }
        if (last_of(own, "job_unknown_fate") != nullptr) {
            return "unknown outcome: a write was sent and not answered, and no node has found it "
                   "accepted since";
        }
    }
    std::string text;
    if (const logged_event* ended = last_of(own, "job_ended")) {
        text = text_of(ended->fields, "detail") + " after " +
               seconds(gap_between(own.front(), *ended)) + "; ";
    } else {
        text = "not ended in these logs; ";
    }
    return text + longest_wait(own, all);
}

} // namespace

std::optional<logged_event> read_event(const std::string& line)
{
    const auto begin = line.find('{');
    if (begin == std::string::npos) {
        return std::nullopt;
    }
    json fields = json::parse(line.substr(begin), nullptr, false);
    if (!fields.is_object() || !fields.contains("event")) {
        return std::nullopt;
    }
    logged_event event;
    event.time = line.substr(0, line.find(' '));
    event.node = text_of(fields, "node");
    event.name = text_of(fields, "name");
    event.fields = std::move(fields);
    return event;
}

explanation explain(std::vector<logged_event> events, const std::string& id)
{
    std::stable_sort(events.begin(), events.end(),
                     [](const auto& left, const auto& right) { return left.time < right.time; });
    std::vector<logged_event> own;
    std::set<std::string> workers;
    for (const logged_event& each : events) {
        if (names(each, id)) {
            own.push_back(each);
            workers.insert(worker_of(each));
        }
    }
    explanation told;
    told.found = !own.empty();
    for (const logged_event& each : events) {
        const bool under_way =
            told.found && each.time >= own.front().time && each.time <= own.back().time;
        const bool of_worker =
            worker_causes.contains(each.name) && workers.contains(text_of(each.fields, "subject"));
        if (names(each, id) || (under_way && (of_worker || shared_causes.contains(each.name)))) {
            told.events.push_back(each);
        }
    }
    // The loss that led to a refusal may lie before it.
    told.finding = finding_of(own, events);
    return told;
}

} // namespace chervilslip::cli
