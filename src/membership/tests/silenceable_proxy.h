#pragma once

#include <deque>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include "common/clock.h"
#include "net/http_message.h"

namespace chervilslip::membership::tests {

/// Forwards TCP connections on loopback. Open connections can be silenced for good: bytes are
/// accepted and dropped, without a reset. Not thread safe.
class silenceable_proxy {
public:
    using tcp = boost::asio::ip::tcp;

    silenceable_proxy(boost::asio::io_context& io, const net::endpoint& to)
        : context(io), acceptor(io, {boost::asio::ip::make_address("127.0.0.1"), 0}),
          target(boost::asio::ip::make_address(to.address), to.port)
    {
        this->accept();
    }

    [[nodiscard]] net::endpoint address() const
    {
        return {"127.0.0.1", this->acceptor.local_endpoint().port()};
    }

    /// Silences the connections that are open now.
    void silence()
    {
        for (const auto& each : this->links) {
            each->silent = true;
        }
    }

    /// Holds back what arrives on all connections until `time` from now.
    void hold(common::milliseconds time)
    {
        this->held_until = std::chrono::steady_clock::now() + time;
    }

    [[nodiscard]] std::size_t connections() const
    {
        return this->links.size();
    }

private:
    struct link {
        explicit link(boost::asio::io_context& io) : from(io), to(io)
        {
        }

        tcp::socket from;
        tcp::socket to;
        bool silent = false;
    };

    void accept()
    {
        auto made = std::make_shared<link>(this->context);
        this->acceptor.async_accept(made->from,
                                    [this, made](const boost::system::error_code& failure) {
                                        if (failure) {
                                            return;
                                        }
                                        boost::system::error_code ignored;
                                        made->to.connect(this->target, ignored);
                                        this->links.push_back(made);
                                        this->pump(made, made->from, made->to);
                                        this->pump(made, made->to, made->from);
                                        this->accept();
                                    });
    }

    void pump(const std::shared_ptr<link>& of, tcp::socket& source, tcp::socket& sink)
    {
        auto bytes = std::make_shared<std::array<char, 65536>>();
        source.async_read_some(boost::asio::buffer(*bytes),
                               [this, of, bytes, &source,
                                &sink](const boost::system::error_code& failure, std::size_t size) {
                                   if (failure) {
                                       boost::system::error_code ignored;
                                       sink.close(ignored);
                                       return;
                                   }
                                   this->forward(of, std::string(bytes->data(), size), sink);
                                   this->pump(of, source, sink);
                               });
    }

    void forward(const std::shared_ptr<link>& of, std::string bytes, tcp::socket& sink)
    {
        if (of->silent) {
            return;
        }
        auto timer = std::make_shared<boost::asio::steady_timer>(this->context, this->held_until);
        timer->async_wait(
            [of, bytes = std::move(bytes), &sink, timer](const boost::system::error_code&) {
                boost::system::error_code ignored;
                boost::asio::write(sink, boost::asio::buffer(bytes), ignored);
            });
    }

    boost::asio::io_context& context;
    tcp::acceptor acceptor;
    tcp::endpoint target;
    std::deque<std::shared_ptr<link>> links;
    common::steady_time held_until;
};

} // namespace chervilslip::membership::tests
