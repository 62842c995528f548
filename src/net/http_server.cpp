#include "net/http_server.h"

#include <algorithm>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "net/http_session.h"

namespace chervilslip::net {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using boost::system::error_code;
using common::errc;
using common::make_error;

namespace {

/// How often the deadlines of all connections are looked at, as a part of the shortest time limit.
constexpr int checks_per_limit = 8;
constexpr common::milliseconds min_check_interval{10};
constexpr common::milliseconds max_check_interval{250};

/// A process without free descriptors or memory accepts again after this time.
constexpr common::milliseconds accept_delay{50};

common::milliseconds check_interval(const http_limits& limits)
{
    const auto shortest =
        std::min({limits.header_time, limits.body_time, limits.idle_time, limits.write_time});
    return std::clamp(shortest / checks_per_limit, min_check_interval, max_check_interval);
}

} // namespace

class http_server::implementation final : public std::enable_shared_from_this<implementation> {
public:
    implementation(asio::io_context& io, const http_limits& limits, http_handler handler,
                   http_reject_observer observer)
        : context(io), acceptor(io), check_timer(io), accept_timer(io),
          interval(check_interval(limits)),
          listener(std::make_shared<http_listener>(limits, std::move(handler), std::move(observer)))
    {
    }

    common::result<endpoint> listen(const endpoint& address)
    {
        error_code failure;
        const auto ip = asio::ip::make_address(address.address, failure);
        if (!failure) {
            const tcp::endpoint local{ip, address.port};
            this->acceptor.open(local.protocol(), failure);
            this->acceptor.set_option(asio::socket_base::reuse_address(true), failure);
            this->acceptor.bind(local, failure);
        }
        if (!failure) {
            this->acceptor.listen(asio::socket_base::max_listen_connections, failure);
        }
        if (failure) {
            return make_error(errc::connect_failed, "listen", address.to_string(),
                              failure.message());
        }
        this->accept();
        return endpoint{address.address, this->acceptor.local_endpoint(failure).port()};
    }

    void stop_accepting()
    {
        this->listener->stopping = true;
        this->accept_timer.cancel();
        error_code failure;
        this->acceptor.non_blocking(true, failure);
        while (!failure) {
            tcp::socket socket(this->context);
            this->acceptor.accept(socket, failure);
            if (!failure) {
                this->open(std::move(socket));
            }
        }
        this->acceptor.close(failure);
    }

    void close_all()
    {
        for (const auto& each : this->listener->open_sessions()) {
            each->close();
        }
    }

    [[nodiscard]] http_listener& state() const
    {
        return *this->listener;
    }

private:
    void accept()
    {
        this->acceptor.async_accept(
            [self = this->shared_from_this()](const error_code& failure, tcp::socket socket) {
                if (!failure) {
                    self->open(std::move(socket));
                }
                if (!self->acceptor.is_open() || failure == asio::error::operation_aborted) {
                    return;
                }
                if (!failure || failure == asio::error::connection_aborted) {
                    self->accept();
                } else {
                    self->accept_later();
                }
            });
    }

    void accept_later()
    {
        this->accept_timer.expires_after(accept_delay);
        this->accept_timer.async_wait([self = this->shared_from_this()](const error_code& failure) {
            if (!failure && self->acceptor.is_open()) {
                self->accept();
            }
        });
    }

    void open(tcp::socket&& socket)
    {
        this->listener->open(std::move(socket));
        if (!std::exchange(this->checking, true)) {
            this->schedule_check();
        }
    }

    void schedule_check()
    {
        this->check_due = std::chrono::steady_clock::now() + this->interval;
        this->check_timer.expires_at(this->check_due);
        this->check_timer.async_wait([weak = this->weak_from_this()](const error_code& failure) {
            if (const auto self = weak.lock(); self && !failure) {
                self->check_deadlines();
            }
        });
    }

    void check_deadlines()
    {
        const auto now = std::chrono::steady_clock::now();
        // After a pause of the process, what has arrived in the meantime is read first.
        const bool is_late = now - this->check_due > this->interval;
        this->was_late = is_late && !this->was_late;
        if (!this->was_late) {
            this->listener->end_late(now);
        }
        this->checking = this->listener->session_count() > 0;
        if (this->checking) {
            this->schedule_check();
        }
    }

    asio::io_context& context;
    tcp::acceptor acceptor;
    asio::steady_timer check_timer;
    asio::steady_timer accept_timer;
    common::milliseconds interval;
    common::steady_time check_due;
    bool checking = false; ///< deadlines are looked at while there are connections
    bool was_late = false; ///< the latest check came too late and ended nothing
    std::shared_ptr<http_listener> listener;
};

http_server::http_server(asio::io_context& context, http_limits limits, http_handler handler,
                         http_reject_observer observer)
    : inner(std::make_shared<implementation>(context, limits, std::move(handler),
                                             std::move(observer)))
{
}

http_server::~http_server()
{
    this->inner->stop_accepting();
    this->inner->close_all();
}

void http_server::set_refusal_check(http_refusal_check check)
{
    this->inner->state().is_refusal_certain = std::move(check);
}

common::result<endpoint> http_server::listen(const endpoint& address)
{
    return this->inner->listen(address);
}

void http_server::stop_accepting()
{
    this->inner->stop_accepting();
}

void http_server::close_idle()
{
    for (const auto& each : this->inner->state().open_sessions()) {
        each->close_if_idle();
    }
}

void http_server::close_all()
{
    this->inner->close_all();
}

std::size_t http_server::open_connections() const
{
    return this->inner->state().session_count();
}

} // namespace chervilslip::net
