#include "common/event_log.h"

#include <mutex>

#include <poll.h>
#include <unistd.h>

#include <log4cplus/appender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>

#include "common/line_budget.h"

namespace chervilslip::common {

namespace {

const event_entry& find_entry(event_id id)
{
    const auto* found = std::find_if(event_catalogue.begin(), event_catalogue.end(),
                                     [id](const event_entry& entry) { return entry.id == id; });
    return *found;
}

std::string_view severity_name(severity level)
{
    switch (level) {
    case severity::info:
        return "info";
    case severity::warning:
        return "warning";
    case severity::alarm:
        return "alarm";
    }
    return "info";
}

/// Lines of one kind a second, and at once: a peak of two hundred task starts a second is kept.
constexpr double lines_per_second = 250;
constexpr double lines_at_once = 500;

/// A pipe that takes this much takes it whole, so a line never blocks half way.
constexpr std::size_t longest_line = 4000;

/// Drops are reported at most this often.
constexpr std::chrono::seconds report_period{1};

/// What all logs of the process share.
struct shared_budget {
    std::mutex guard;
    line_budget<event_catalogue.size()> budget{lines_per_second, lines_at_once};
    steady_time next_report;
};

shared_budget& process_budget()
{
    static shared_budget instance;
    return instance;
}

bool is_writable(int descriptor)
{
    pollfd wanted{descriptor, POLLOUT, 0};
    return ::poll(&wanted, 1, 0) == 1 && (wanted.revents & POLLOUT) != 0;
}

/// Writes lines to a descriptor as long as it takes them at once; others are dropped and counted.
class unblocking_appender final : public log4cplus::Appender {
public:
    explicit unblocking_appender(int to) : descriptor(to)
    {
    }

    unblocking_appender(const unblocking_appender&) = delete;
    unblocking_appender& operator=(const unblocking_appender&) = delete;

    ~unblocking_appender() override
    {
        this->destructorImpl();
    }

    void close() override
    {
    }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent& event) override
    {
        log4cplus::tostringstream text;
        this->layout->formatAndAppend(text, event);
        std::string line = text.str();
        if (line.size() > longest_line) {
            line.resize(longest_line - 1);
            line += '\n';
        }
        const bool written =
            is_writable(this->descriptor) && ::write(this->descriptor, line.data(), line.size()) ==
                                                 static_cast<ssize_t>(line.size());
        if (!written) {
            shared_budget& shared = process_budget();
            const std::lock_guard lock(shared.guard);
            shared.budget.add_dropped();
        }
    }

private:
    int descriptor;
};

} // namespace

void event_log::initialize(bool quiet, int descriptor)
{
    static log4cplus::Initializer initializer;
    log4cplus::SharedAppenderPtr appender(new unblocking_appender(descriptor));
    appender->setLayout(std::unique_ptr<log4cplus::Layout>(
        new log4cplus::PatternLayout(LOG4CPLUS_TEXT("%D{%Y-%m-%dT%H:%M:%S.%q} %m%n"))));
    auto root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(appender);
    root.setLogLevel(quiet ? log4cplus::WARN_LOG_LEVEL : log4cplus::INFO_LOG_LEVEL);
}

event_log::event_log(std::string node_name) : node(std::move(node_name))
{
}

bool event_log::take_line(event_id id)
{
    const auto kind = static_cast<std::size_t>(&find_entry(id) - event_catalogue.data());
    shared_budget& shared = process_budget();
    const std::lock_guard lock(shared.guard);
    return shared.budget.take(kind, std::chrono::steady_clock::now());
}

void event_log::report_drops() const
{
    shared_budget& shared = process_budget();
    std::uint64_t dropped = 0;
    {
        const auto now = std::chrono::steady_clock::now();
        const std::lock_guard lock(shared.guard);
        if (now < shared.next_report) {
            return;
        }
        shared.next_report = now + report_period;
        dropped = shared.budget.take_dropped();
    }
    if (dropped > 0) {
        this->write_line(event_id::lines_dropped, {{"lines", dropped}});
    }
}

void event_log::write_line(event_id id, const nlohmann::json& fields) const
{
    const event_entry& entry = find_entry(id);
    nlohmann::json line = fields;
    line["event"] = static_cast<int>(entry.id);
    line["name"] = entry.name;
    line["level"] = severity_name(entry.level);
    line["node"] = this->node;
    const std::string text = line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    auto logger = log4cplus::Logger::getRoot();
    switch (entry.level) {
    case severity::info:
        LOG4CPLUS_INFO(logger, text);
        break;
    case severity::warning:
        LOG4CPLUS_WARN(logger, text);
        break;
    case severity::alarm:
        LOG4CPLUS_ERROR(logger, text);
        break;
    }
}

} // namespace chervilslip::common
