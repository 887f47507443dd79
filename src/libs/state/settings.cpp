#include "state/settings.hpp"

#include "state/enum_table.hpp"
#include "state/error.hpp"
#include "state/json_reader.hpp"

#include <utility>

namespace pomelorouter::state
{

namespace
{

constexpr std::array<enum_name<service_kind>, 2> kind_names{{
    {service_kind::models, "models"},
    {service_kind::plain, "plain"},
}};

constexpr std::int64_t max_bytes = 1LL << 50;
constexpr std::int64_t max_distance_us = 10'000'000;
constexpr std::int64_t default_distance_us = 1000;

void override_attributes(json_reader& reader, attribute_values& values, bool is_root)
{
    if (const boost::json::value* object = reader.find("attributes"))
    {
        values.override_from(*object, reader.document(), reader.pointer_of("attributes"),
                             is_root);
    }
}

void override_places(json_reader& reader, std::vector<std::string>& places)
{
    if (reader.find("places") == nullptr)
        return;
    places.clear();
    std::size_t index = 0;
    for (const boost::json::value& item : reader.get_array("places"))
    {
        if (!item.is_string())
        {
            throw error(error_code::wrong_type,
                        reader.where("places") + "/" + std::to_string(index),
                        "not a string; expected the name of a region or region/zone");
        }
        places.emplace_back(item.get_string());
        ++index;
    }
}

/// Calls `visit(name, value, pointer)` for each member of the object `key`. Does nothing
/// if the object is absent.
template <typename Visit>
void for_each_child(json_reader& reader, std::string_view key, Visit visit)
{
    if (reader.find(key) == nullptr)
        return;
    for (const auto& member : reader.get_object(key))
    {
        const std::string name(member.key());
        const std::string pointer =
            reader.pointer_of(key) + "/" + json_pointer_escape(name);
        if (name.empty() || name.find_first_of("/ :") != std::string::npos)
        {
            throw error(error_code::invalid_argument, reader.document() + "#" + pointer,
                        "a name must not be empty or contain '/', ':' or a space");
        }
        visit(name, member.value(), pointer);
    }
}

adapter_settings read_adapter(const std::string& name, const boost::json::value& value,
                              const std::string& document, const std::string& pointer,
                              const model_settings& model)
{
    json_reader reader(value, document, pointer);
    adapter_settings adapter;
    adapter.name = name;
    adapter.version = reader.get_string("version", "1");
    adapter.bytes = reader.get_int("bytes", 1, max_bytes);
    adapter.attributes = model.attributes;
    override_attributes(reader, adapter.attributes, false);
    reader.finish();
    return adapter;
}

model_settings read_model(const std::string& name, const boost::json::value& value,
                          const std::string& document, const std::string& pointer,
                          const service_settings& service)
{
    json_reader reader(value, document, pointer);
    model_settings model;
    model.service = service.name;
    model.name = name;
    model.version = reader.get_string("version", "1");
    model.bytes = reader.get_int("bytes", 1, max_bytes);
    model.places = service.places;
    model.attributes = service.attributes;
    override_places(reader, model.places);
    override_attributes(reader, model.attributes, false);
    if (model.attributes.get(attribute::min_copies) >
        model.attributes.get(attribute::max_copies))
    {
        throw error(error_code::out_of_range, document + "#" + pointer + "/attributes",
                    "min_copies must not exceed max_copies");
    }
    for_each_child(reader, "adapters",
                   [&](const std::string& adapter, const boost::json::value& child,
                       const std::string& child_pointer)
                   {
                       model.adapters.emplace(
                           adapter,
                           read_adapter(adapter, child, document, child_pointer, model));
                   });
    reader.finish();
    return model;
}

service_settings read_service(const std::string& name, const boost::json::value& value,
                              const std::string& document, const std::string& pointer,
                              const attribute_values& parent)
{
    json_reader reader(value, document, pointer);
    service_settings service;
    service.name = name;
    const std::string kind = reader.get_string("kind", "models");
    const auto known = value_of(kind_names, kind);
    if (!known)
    {
        throw error(error_code::out_of_range, reader.where("kind"),
                    "unknown kind; expected models or plain");
    }
    service.kind = *known;
    service.attributes = parent;
    override_places(reader, service.places);
    override_attributes(reader, service.attributes, false);
    for_each_child(reader, "models",
                   [&](const std::string& model, const boost::json::value& child,
                       const std::string& child_pointer)
                   {
                       service.models.emplace(model, read_model(model, child, document,
                                                                child_pointer, service));
                   });
    if (service.kind == service_kind::plain && !service.models.empty())
    {
        throw error(error_code::invalid_argument, reader.where("models"),
                    "a plain service must not have models");
    }
    reader.finish();
    return service;
}

zone_settings read_zone(const std::string& region, const std::string& name,
                        const boost::json::value& value, const std::string& document,
                        const std::string& pointer, const attribute_values& parent)
{
    json_reader reader(value, document, pointer);
    zone_settings zone;
    zone.region = region;
    zone.name = name;
    zone.attributes = parent;
    override_attributes(reader, zone.attributes, false);
    if (reader.find("distance_us") != nullptr)
    {
        json_reader distances(reader.require("distance_us"), document,
                              reader.pointer_of("distance_us"));
        for (const auto& member : reader.get_object("distance_us"))
        {
            const std::string other(member.key());
            zone.distance_us[other] = distances.get_int(other, 0, max_distance_us);
        }
    }
    reader.finish();
    return zone;
}

void read_places(json_reader& root, settings& result)
{
    for_each_child(
        root, "places",
        [&](const std::string& region, const boost::json::value& value,
            const std::string& pointer)
        {
            json_reader reader(value, root.document(), pointer);
            attribute_values attributes = result.attributes;
            override_attributes(reader, attributes, false);
            for_each_child(
                reader, "zones",
                [&](const std::string& zone, const boost::json::value& child,
                    const std::string& child_pointer)
                {
                    if (result.zones.contains(zone))
                    {
                        throw error(error_code::invalid_argument,
                                    root.document() + "#" + child_pointer,
                                    "the name of an availability zone must be unique");
                    }
                    result.zones.emplace(zone,
                                         read_zone(region, zone, child, root.document(),
                                                   child_pointer, attributes));
                });
            reader.finish();
        });
}

void read_store(json_reader& root, store_settings& store)
{
    constexpr double max_rate = 1e6;
    constexpr std::int64_t max_at_once = 1'000'000;
    const boost::json::value* value = root.find("store");
    if (value == nullptr)
        return;
    json_reader reader(*value, root.document(), "/store");
    store.loads_per_s =
        reader.get_double("loads_per_s", 0.01, max_rate, store.loads_per_s);
    store.loads_at_once =
        reader.get_int("loads_at_once", 1, max_at_once, store.loads_at_once);
    store.adapters_at_once =
        reader.get_int("adapters_at_once", 1, max_at_once, store.adapters_at_once);
    reader.finish();
}

bool is_known_place(const settings& tree, const std::string& place)
{
    for (const auto& [name, zone] : tree.zones)
    {
        if (place == zone.region || place == zone.region + "/" + name)
            return true;
    }
    return false;
}

void check_places(const settings& tree, const std::string& document)
{
    for (const auto& [service_name, service] : tree.services)
    {
        for (const std::string& place : service.places)
        {
            if (!is_known_place(tree, place))
            {
                throw error(error_code::unknown_reference,
                            document + "#/services/" + service_name + "/places",
                            "'" + place +
                                "' is not a region or region/zone under /places");
            }
        }
        for (const auto& [model_name, model] : service.models)
        {
            for (const std::string& place : model.places)
            {
                if (!is_known_place(tree, place))
                {
                    throw error(error_code::unknown_reference,
                                document + "#/services/" + service_name + "/models/" +
                                    model_name + "/places",
                                "'" + place +
                                    "' is not a region or region/zone under /places");
                }
            }
        }
    }
}

} // namespace

std::string_view to_string(service_kind kind)
{
    return name_of(kind_names, kind);
}

const model_settings* settings::find_model(std::string_view service,
                                           std::string_view model) const
{
    const auto found = this->services.find(service);
    if (found == this->services.end())
        return nullptr;
    const auto entry = found->second.models.find(model);
    return entry == found->second.models.end() ? nullptr : &entry->second;
}

std::int64_t settings::distance_us(std::string_view from, std::string_view to) const
{
    if (from == to)
        return 0;
    const auto zone = this->zones.find(from);
    if (zone != this->zones.end())
    {
        const auto distance = zone->second.distance_us.find(to);
        if (distance != zone->second.distance_us.end())
            return distance->second;
    }
    return default_distance_us;
}

settings resolve_settings(const boost::json::value& tree, const std::string& place)
{
    json_reader reader(tree, place);
    settings result;
    override_attributes(reader, result.attributes, true);
    for_each_child(reader, "services",
                   [&](const std::string& name, const boost::json::value& value,
                       const std::string& pointer)
                   {
                       result.services.emplace(
                           name,
                           read_service(name, value, place, pointer, result.attributes));
                   });
    read_places(reader, result);
    read_store(reader, result.store);
    reader.finish();
    check_places(result, place);
    return result;
}

} // namespace pomelorouter::state
