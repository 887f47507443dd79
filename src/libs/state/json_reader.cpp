#include "state/json_reader.hpp"

#include "state/error.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/stream_parser.hpp>

#include <utility>

namespace pomelorouter::state
{

boost::json::value parse_json(std::string_view text, const std::string& place,
                              const json_limits& limits)
{
    if (text.size() > limits.max_bytes)
    {
        throw error(error_code::too_large, place,
                    "the document exceeds " + std::to_string(limits.max_bytes) +
                        " bytes");
    }
    boost::json::parse_options options;
    options.max_depth = limits.max_depth;
    options.allow_invalid_utf8 = limits.allow_invalid_utf8;
    boost::json::stream_parser parser({}, options);
    boost::json::error_code failure;
    std::size_t consumed = parser.write_some(text.data(), text.size(), failure);
    if (!failure && consumed < text.size())
        failure = boost::json::error::extra_data;
    if (!failure)
        parser.finish(failure);
    if (failure)
    {
        throw error(error_code::invalid_json, place + " byte " + std::to_string(consumed),
                    failure.message());
    }
    return parser.release();
}

std::string json_pointer_escape(std::string_view key)
{
    std::string escaped;
    for (const char c : key)
    {
        if (c == '~')
            escaped += "~0";
        else if (c == '/')
            escaped += "~1";
        else
            escaped += c;
    }
    return escaped;
}

json_reader::json_reader(const boost::json::value& value, std::string document_place,
                         std::string base_pointer)
    : object(value.if_object()),
      place(std::move(document_place)),
      pointer(std::move(base_pointer))
{
    if (this->object == nullptr)
    {
        throw error(error_code::wrong_type, this->place + "#" + this->pointer,
                    "expected an object");
    }
}

std::string json_reader::pointer_of(std::string_view key) const
{
    return this->pointer + "/" + json_pointer_escape(key);
}

std::string json_reader::where(std::string_view key) const
{
    return this->place + "#" + this->pointer_of(key);
}

const boost::json::value* json_reader::find(std::string_view key)
{
    this->known.emplace(key);
    return this->object->if_contains(key);
}

const boost::json::value& json_reader::require(std::string_view key)
{
    const boost::json::value* value = this->find(key);
    if (value == nullptr)
        throw error(error_code::missing_key, this->where(key), "this key is required");
    return *value;
}

std::string json_reader::get_string(std::string_view key)
{
    const boost::json::value& value = this->require(key);
    if (!value.is_string())
        throw error(error_code::wrong_type, this->where(key), "expected a string");
    return std::string(value.get_string());
}

std::string json_reader::get_string(std::string_view key, std::string fallback)
{
    return this->find(key) == nullptr ? std::move(fallback) : this->get_string(key);
}

std::int64_t json_reader::get_int(std::string_view key, std::int64_t low,
                                  std::int64_t high)
{
    const boost::json::value& value = this->require(key);
    boost::json::error_code failure;
    const auto number = value.is_double() ? 0 : value.to_number<std::int64_t>(failure);
    if (failure || !value.is_number() || value.is_double())
        throw error(error_code::wrong_type, this->where(key), "expected an integer");
    if (number < low || number > high)
    {
        throw error(error_code::out_of_range, this->where(key),
                    "expected " + std::to_string(low) + " to " + std::to_string(high));
    }
    return number;
}

std::int64_t json_reader::get_int(std::string_view key, std::int64_t low,
                                  std::int64_t high, std::int64_t fallback)
{
    return this->find(key) == nullptr ? fallback : this->get_int(key, low, high);
}

std::uint64_t json_reader::get_uint64(std::string_view key)
{
    const boost::json::value& value = this->require(key);
    boost::json::error_code failure;
    const auto number = value.to_number<std::uint64_t>(failure);
    if (failure || value.is_double())
        throw error(error_code::wrong_type, this->where(key),
                    "expected a non-negative integer");
    return number;
}

double json_reader::get_double(std::string_view key, double low, double high,
                               double fallback)
{
    const boost::json::value* value = this->find(key);
    if (value == nullptr)
        return fallback;
    if (!value->is_number())
        throw error(error_code::wrong_type, this->where(key), "expected a number");
    const auto number = value->to_number<double>();
    if (number < low || number > high)
    {
        throw error(error_code::out_of_range, this->where(key),
                    "expected " + std::to_string(low) + " to " + std::to_string(high));
    }
    return number;
}

bool json_reader::get_bool(std::string_view key, bool fallback)
{
    const boost::json::value* value = this->find(key);
    if (value == nullptr)
        return fallback;
    if (!value->is_bool())
        throw error(error_code::wrong_type, this->where(key), "expected true or false");
    return value->get_bool();
}

const boost::json::object& json_reader::get_object(std::string_view key)
{
    const boost::json::value& value = this->require(key);
    if (!value.is_object())
        throw error(error_code::wrong_type, this->where(key), "expected an object");
    return value.get_object();
}

const boost::json::array& json_reader::get_array(std::string_view key)
{
    const boost::json::value& value = this->require(key);
    if (!value.is_array())
        throw error(error_code::wrong_type, this->where(key), "expected an array");
    return value.get_array();
}

void json_reader::finish() const
{
    for (const auto& member : *this->object)
    {
        if (this->known.find(std::string_view(member.key())) == this->known.end())
            throw error(error_code::unknown_key, this->where(member.key()),
                        "no such key");
    }
}

} // namespace pomelorouter::state
