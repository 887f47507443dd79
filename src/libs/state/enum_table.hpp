#pragma once

#include <array>
#include <optional>
#include <string_view>

namespace pomelorouter::state
{

/// Maps one enumerator to its name.
template <typename Enum>
struct enum_name
{
    Enum value;
    std::string_view name;
};

/// Returns the name of `value`, or an empty view if the table has no row for it.
template <typename Enum, std::size_t Size>
constexpr std::string_view name_of(const std::array<enum_name<Enum>, Size>& table,
                                   Enum value)
{
    for (const enum_name<Enum>& row : table)
    {
        if (row.value == value)
            return row.name;
    }
    return {};
}

/// Returns the value called `name`, or nothing if the table has no such row.
template <typename Enum, std::size_t Size>
constexpr std::optional<Enum> value_of(const std::array<enum_name<Enum>, Size>& table,
                                       std::string_view name)
{
    for (const enum_name<Enum>& row : table)
    {
        if (row.name == name)
            return row.value;
    }
    return std::nullopt;
}

} // namespace pomelorouter::state
