#include "scripted_peer.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace pomelorouter::test
{

scripted_peer::scripted_peer(gateway_fixture& test, raw_backend::script control_reply,
                             std::int64_t capacity)
    : control(test.loop, std::move(control_reply)), socket(test.loop.get_executor())
{
    protocol::gateway_member& member = this->heartbeat.origin;
    member.node = "gateway-0";
    member.incarnation = 1;
    member.zone = test.settings.zone;
    member.control = this->control.address;
    member.capacity = capacity;
    member.datagrams = this->socket.listen(
        "127.0.0.1:0",
        [this](std::string_view datagram)
        {
            this->gateway_address =
                protocol::decode_gateway_heartbeat(datagram).origin.datagrams;
            this->send_heartbeat();
        });
    test.store.put("keyed.gateways", member.node, this->member_json());
}

std::string scripted_peer::member_json() const
{
    const protocol::gateway_member& member = this->heartbeat.origin;
    return boost::json::serialize(boost::json::object{{"node", member.node},
                                                      {"incarnation", member.incarnation},
                                                      {"zone", member.zone},
                                                      {"frontend", member.frontend},
                                                      {"control", member.control},
                                                      {"datagrams", member.datagrams},
                                                      {"capacity", member.capacity}});
}

void scripted_peer::send_heartbeat()
{
    if (!this->is_known())
        return;
    ++this->heartbeat.counter;
    this->socket.send(this->gateway_address,
                      protocol::encode_gateway_heartbeat(this->heartbeat));
}

} // namespace pomelorouter::test
