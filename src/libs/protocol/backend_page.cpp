#include "protocol/backend_page.hpp"

#include "protocol/compact_codec.hpp"

#include <peer_types.h>

namespace pomelorouter::protocol
{

namespace
{

constexpr const char* place = "page of backend servers";

} // namespace

std::string encode_backend_page(const backend_page& page)
{
    gen::BackendPage wire;
    wire.__set_nextOffset(static_cast<std::int64_t>(page.next));
    wire.__set_whole(page.is_full_list);
    wire.__set_listReachable(page.list_reachable);
    wire.__set_settingsReachable(page.settings_reachable);
    for (const backend_page_record& record : page.records)
    {
        gen::BackendRecord& item = wire.records.emplace_back();
        item.__set_key(record.key);
        item.__set_offset(static_cast<std::int64_t>(record.offset));
        if (record.value)
            item.__set_value(*record.value);
        item.__set_removal(record.is_removal);
    }
    if (page.store_era > 0)
        wire.__set_storeEra(static_cast<std::int64_t>(page.store_era));
    if (page.store_id != 0)
        wire.__set_storeId(static_cast<std::int64_t>(page.store_id));
    return internal::encode_compact(wire);
}

backend_page decode_backend_page(std::string_view body)
{
    const auto wire =
        internal::decode_compact<gen::BackendPage>(body, place, backend_page_max_bytes);
    backend_page page;
    page.next = static_cast<std::uint64_t>(wire.nextOffset);
    page.is_full_list = wire.whole;
    page.list_reachable = wire.listReachable;
    page.settings_reachable = wire.settingsReachable;
    if (wire.__isset.storeEra)
        page.store_era = static_cast<std::uint64_t>(wire.storeEra);
    if (wire.__isset.storeId)
        page.store_id = static_cast<std::uint64_t>(wire.storeId);
    for (const gen::BackendRecord& item : wire.records)
    {
        backend_page_record& record = page.records.emplace_back();
        record.offset = static_cast<std::uint64_t>(item.offset);
        record.key = item.key;
        if (item.__isset.value)
            record.value = item.value;
        record.is_removal = item.removal;
    }
    return page;
}

} // namespace pomelorouter::protocol
