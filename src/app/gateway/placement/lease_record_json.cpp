#include "app/gateway/placement/lease_record_json.hpp"

#include "state/json_reader.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace pomelorouter::app
{

namespace
{

constexpr const char* lease_key = "placement";

} // namespace

/// A record that was appended in an earlier era, perhaps late, does not replace one of
/// the present era.
std::string lease_key_of(std::uint64_t era)
{
    return era == 0 ? lease_key : lease_key + ("/" + std::to_string(era));
}

std::string encode_lease_record(const coordination::lease_record& record)
{
    return boost::json::serialize(boost::json::object{{"holder", record.holder},
                                                      {"incarnation", record.incarnation},
                                                      {"epoch", record.epoch},
                                                      {"release", record.is_release},
                                                      {"may_order", record.may_order}});
}

coordination::lease_record decode_lease_record(const std::string& text)
{
    const boost::json::value value = state::parse_json(text, "lease record");
    state::json_reader reader(value, "lease record");
    coordination::lease_record record;
    record.holder = reader.get_string("holder");
    record.incarnation = reader.get_uint64("incarnation");
    record.epoch = reader.get_uint64("epoch");
    record.is_release = reader.get_bool("release", false);
    record.may_order = reader.get_bool("may_order", true);
    return record;
}

} // namespace pomelorouter::app
