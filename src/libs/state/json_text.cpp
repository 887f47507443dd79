#include "state/json_text.hpp"

#include "state/json_reader.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace pomelorouter::state
{

namespace
{

constexpr std::size_t indent_width = 2;
// Limits the size of a value in a diff, because a subtree on one line would hide the
// other lines.
constexpr std::size_t max_shown_bytes = 200;

void append_pretty(std::string& text, const boost::json::value& value, std::size_t depth);

void append_line(std::string& text, std::size_t depth, bool is_first)
{
    text += is_first ? "\n" : ",\n";
    text.append(depth * indent_width, ' ');
}

void append_object(std::string& text, const boost::json::object& object,
                   std::size_t depth)
{
    text += '{';
    bool is_first = true;
    for (const auto& member : object)
    {
        append_line(text, depth + 1, is_first);
        is_first = false;
        text += boost::json::serialize(boost::json::string(member.key()));
        text += ": ";
        append_pretty(text, member.value(), depth + 1);
    }
    text += '\n';
    text.append(depth * indent_width, ' ');
    text += '}';
}

void append_pretty(std::string& text, const boost::json::value& value, std::size_t depth)
{
    if (const auto* object = value.if_object(); object != nullptr && !object->empty())
    {
        append_object(text, *object, depth);
        return;
    }
    const auto* array = value.if_array();
    if (array == nullptr || array->empty())
    {
        text += boost::json::serialize(value);
        return;
    }
    text += '[';
    bool is_first = true;
    for (const boost::json::value& item : *array)
    {
        append_line(text, depth + 1, is_first);
        is_first = false;
        append_pretty(text, item, depth + 1);
    }
    text += '\n';
    text.append(depth * indent_width, ' ');
    text += ']';
}

void compare(const boost::json::value& before, const boost::json::value& after,
             const std::string& pointer, std::vector<json_change>& changes)
{
    if (before == after)
        return;
    if (!before.is_object() || !after.is_object())
    {
        changes.push_back({json_change_kind::changed, pointer, before, after});
        return;
    }
    const boost::json::object& old_members = before.get_object();
    const boost::json::object& new_members = after.get_object();
    for (const auto& member : old_members)
    {
        const std::string place = pointer + "/" + json_pointer_escape(member.key());
        const boost::json::value* other = new_members.if_contains(member.key());
        if (other == nullptr)
            changes.push_back({json_change_kind::removed, place, member.value(), {}});
        else
            compare(member.value(), *other, place, changes);
    }
    for (const auto& member : new_members)
    {
        if (!old_members.contains(member.key()))
        {
            changes.push_back({json_change_kind::added,
                               pointer + "/" + json_pointer_escape(member.key()),
                               {},
                               member.value()});
        }
    }
}

std::string shorten(const boost::json::value& value)
{
    std::string text = boost::json::serialize(value);
    const std::size_t size = text.size();
    if (size <= max_shown_bytes)
        return text;
    text.resize(max_shown_bytes);
    text.append("... (").append(std::to_string(size)).append(" bytes)");
    return text;
}

} // namespace

std::string format_pretty(const boost::json::value& value)
{
    std::string text;
    append_pretty(text, value, 0);
    text += '\n';
    return text;
}

std::vector<json_change> compare_json(const boost::json::value& before,
                                      const boost::json::value& after)
{
    std::vector<json_change> changes;
    compare(before, after, "", changes);
    return changes;
}

std::string format_change(const json_change& change)
{
    const std::string place = change.pointer.empty() ? "(whole tree)" : change.pointer;
    switch (change.kind)
    {
    case json_change_kind::added:
        return "+ " + place + " " + shorten(change.after);
    case json_change_kind::removed:
        return "- " + place + " " + shorten(change.before);
    case json_change_kind::changed:
        break;
    }
    return "~ " + place + " " + shorten(change.before) + " -> " + shorten(change.after);
}

} // namespace pomelorouter::state
