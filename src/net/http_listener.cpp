#include <algorithm>
#include <iterator>
#include <utility>

#include "net/http_session.h"

namespace chervilslip::net {

namespace {

constexpr std::size_t read_size = std::size_t{16} * 1024;

/// An idle connection is closed for a new one only after this time, because a request may be on its
/// way on it.
constexpr common::milliseconds min_idle_time{1000};

/// Connections over the limit that may wait for their refusal at once, beside a part of the limit.
/// The others are closed without an answer.
constexpr std::size_t min_turned_away = 4;
constexpr std::size_t turned_away_divisor = 16;

} // namespace

http_listener::http_listener(const http_limits& with, http_handler to, http_reject_observer told)
    : limits(with), handler(std::move(to)), observer(std::move(told)), budget(with.total_bytes),
      read_buffer(read_size)
{
}

void http_listener::open(boost::asio::ip::tcp::socket&& socket)
{
    const auto now = std::chrono::steady_clock::now();
    const bool is_full = this->sessions.size() - this->turned_away >= this->limits.connections &&
                         !this->make_room(now);
    if (is_full &&
        this->turned_away >= min_turned_away + this->limits.connections / turned_away_divisor) {
        boost::system::error_code ignored;
        const std::string peer = socket.remote_endpoint(ignored).address().to_string(ignored);
        this->observer(refusal_reason::connection_limit,
                       common::make_error(common::errc::unavailable, "accept connection", peer,
                                          "too many connections are open; closed at once"));
        return;
    }
    const auto opened =
        std::make_shared<http_session>(std::move(socket), this->shared_from_this(), now, is_full);
    opened->place = this->sessions.insert(this->sessions.end(), opened);
    this->turned_away += is_full ? 1 : 0;
    this->by_account.resize(std::max(this->by_account.size(), opened->account() + 1));
    this->by_account[opened->account()] = opened.get();
    opened->start();
}

bool http_listener::make_room(common::steady_time now)
{
    const auto account = this->budget.longest_idle(now, min_idle_time);
    if (!account || this->by_account[*account]->is_turned_away()) {
        return false;
    }
    const auto idle = this->by_account[*account]->shared_from_this();
    idle->make_way();
    return true;
}

void http_listener::shed_excess(common::steady_time now)
{
    if (!this->budget.is_exceeded() || std::exchange(this->is_shedding, true)) {
        return;
    }
    const std::unique_ptr<bool, void (*)(bool*)> end_of_shedding(&this->is_shedding,
                                                                 [](bool* flag) { *flag = false; });
    std::vector<std::shared_ptr<http_session>> chosen;
    for (const memory_budget::account_id account : this->budget.choose_to_shed(now)) {
        chosen.push_back(this->by_account[account]->shared_from_this());
    }
    for (const auto& each : chosen) {
        each->shed();
    }
}

void http_listener::end_late(common::steady_time now)
{
    std::vector<std::shared_ptr<http_session>> late;
    std::copy_if(this->sessions.begin(), this->sessions.end(), std::back_inserter(late),
                 [now](const auto& each) { return each->is_late(now); });
    for (const auto& each : late) {
        if (each->is_late(now)) { // it may have been shed for another one
            each->end_late();
        }
    }
}

void http_listener::remove(http_session& closed)
{
    this->budget.close(closed.account());
    this->by_account[closed.account()] = nullptr;
    this->turned_away -= closed.is_turned_away() ? 1 : 0;
    this->sessions.erase(closed.place);
}

std::vector<std::shared_ptr<http_session>> http_listener::open_sessions() const
{
    return {this->sessions.begin(), this->sessions.end()};
}

std::size_t http_listener::session_count() const
{
    return this->sessions.size();
}

} // namespace chervilslip::net
