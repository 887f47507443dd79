#include "script.hpp"

#include <cctype>
#include <charconv>
#include <utility>

namespace pomelorouter::scenario
{

namespace
{

/// Splits a scenario into the words of its statements and records the line of each
/// statement.
class tokenizer
{
public:
    explicit tokenizer(const std::string& source) : text(source) {}

    std::vector<statement> read()
    {
        std::vector<statement> result;
        while (this->at < this->text.size())
        {
            const int start = this->line;
            std::vector<std::string> words = this->read_line();
            if (!words.empty())
                result.emplace_back(start, std::move(words));
        }
        return result;
    }

private:
    std::vector<std::string> read_line()
    {
        std::vector<std::string> words;
        while (this->at < this->text.size())
        {
            const char c = this->text[this->at];
            if (c == '\n')
            {
                this->next();
                break;
            }
            if (c == '#')
                this->skip_comment();
            else if (std::isspace(static_cast<unsigned char>(c)) != 0)
                this->next();
            else
                words.push_back(this->read_word());
        }
        return words;
    }

    void skip_comment()
    {
        while (this->at < this->text.size() && this->text[this->at] != '\n')
            this->next();
    }

    std::string read_word()
    {
        const int start = this->line;
        std::string word;
        int depth = 0;
        bool quoted = false;
        while (this->at < this->text.size())
        {
            const char c = this->text[this->at];
            if (depth == 0 && std::isspace(static_cast<unsigned char>(c)) != 0)
                break;
            if (c == '"')
                quoted = !quoted;
            if (c == '{' && !quoted)
                ++depth;
            if (c == '}' && !quoted)
                --depth;
            word += c;
            this->next();
        }
        if (depth != 0)
            throw scenario_error(start, "unbalanced braces");
        return word;
    }

    void next()
    {
        if (this->text[this->at] == '\n')
            ++this->line;
        ++this->at;
    }

    const std::string& text;
    std::size_t at = 0;
    int line = 1;
};

} // namespace

scenario_error::scenario_error(int line, const std::string& message)
    : std::runtime_error("line " + std::to_string(line) + ": " + message)
{
}

statement::statement(int line, std::vector<std::string> all_words) : line_number(line)
{
    for (std::string& item : all_words)
    {
        this->source += (this->source.empty() ? "" : " ") + item;
        const std::size_t equals = item.find('=');
        if (item.front() == '{' || equals == std::string::npos || equals == 0)
            this->words.push_back(std::move(item));
        else
            this->options[item.substr(0, equals)] = item.substr(equals + 1);
    }
}

std::string statement::word(const std::string& expected)
{
    if (this->at_end())
        this->fail("expected " + expected);
    return this->words[this->position++];
}

bool statement::accept(const std::string& value)
{
    if (this->at_end() || this->words[this->position] != value)
        return false;
    ++this->position;
    return true;
}

std::int64_t statement::number(const std::string& expected)
{
    return this->to_number(this->word(expected), expected);
}

std::int64_t statement::to_number(const std::string& text, const std::string& name) const
{
    std::int64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() || value < 0)
        this->fail("expected a non-negative integer for " + name + ", found '" + text +
                   "'");
    return value;
}

std::string statement::option(const std::string& key, const std::string& fallback)
{
    const auto found = this->options.find(key);
    if (found == this->options.end())
        return fallback;
    std::string value = found->second;
    this->options.erase(found);
    return value;
}

std::int64_t statement::number_option(const std::string& key, std::int64_t fallback)
{
    const std::string text = this->option(key, "");
    return text.empty() ? fallback : this->to_number(text, key);
}

std::int64_t statement::take_timeout_s(std::int64_t fallback)
{
    return this->accept("within") ? this->number("seconds") : fallback;
}

std::map<std::string, std::string> statement::take_options()
{
    return std::exchange(this->options, {});
}

void statement::finish() const
{
    if (!this->at_end())
        this->fail("unexpected '" + this->words[this->position] + "'");
    if (!this->options.empty())
        this->fail("unknown option '" + this->options.begin()->first + "'");
}

void statement::fail(const std::string& message) const
{
    throw scenario_error(this->line_number, message + " in: " + this->source);
}

std::vector<statement> parse_script(const std::string& text)
{
    return tokenizer(text).read();
}

} // namespace pomelorouter::scenario
