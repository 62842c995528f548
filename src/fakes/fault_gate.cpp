#include "fakes/fault_gate.h"

#include <boost/asio/steady_timer.hpp>

namespace chervilslip::fakes {

fault_gate::fault_gate(boost::asio::io_context& io, std::uint64_t seed) : context(io), random(seed)
{
}

void fault_gate::set(const nlohmann::json& wanted)
{
    this->switches.down = wanted.value("down", this->switches.down);
    this->switches.delay =
        common::milliseconds(wanted.value("delay_ms", this->switches.delay.count()));
    this->switches.lost_answers = wanted.value("lost_answers", this->switches.lost_answers);
    this->switches.lose_next = wanted.value("lose_next", this->switches.lose_next);
}

bool fault_gate::loses_answer()
{
    if (this->switches.lose_next > 0) {
        --this->switches.lose_next;
        return true;
    }
    return this->random.chance(this->switches.lost_answers);
}

void fault_gate::pass(const std::shared_ptr<net::http_exchange>& exchange,
                      const std::function<net::http_response()>& work)
{
    if (this->switches.down) {
        exchange->drop();
        return;
    }
    this->send(exchange, work());
}

void fault_gate::send(const std::shared_ptr<net::http_exchange>& exchange,
                      net::http_response response)
{
    if (this->loses_answer()) {
        exchange->drop();
        return;
    }
    if (this->switches.delay.count() == 0) {
        exchange->respond(std::move(response));
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(this->context, this->switches.delay);
    timer->async_wait([timer, exchange, response = std::move(response)](
                          const boost::system::error_code&) { exchange->respond(response); });
}

} // namespace chervilslip::fakes
