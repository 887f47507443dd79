#pragma once

#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

namespace pomelorouter::scenario
{

/// A fault in a scenario file, or an expectation that was not met.
class scenario_error : public std::runtime_error
{
public:
    scenario_error(int line, const std::string& message);
};

/// One statement: a verb, plain words and `key=value` options.
class statement
{
public:
    statement(int line, std::vector<std::string> words);

    int line() const { return this->line_number; }
    const std::string& text() const { return this->source; }

    /// Takes the next plain word; throws if there is none.
    std::string word(const std::string& expected);
    /// Takes the next plain word if it is `value`.
    bool accept(const std::string& value);
    bool at_end() const { return this->position == this->words.size(); }
    std::int64_t number(const std::string& expected);
    /// Takes an option, or returns the fallback.
    std::string option(const std::string& key, const std::string& fallback);
    std::int64_t number_option(const std::string& key, std::int64_t fallback);
    /// Takes `within N`, in seconds.
    std::int64_t within(std::int64_t fallback);
    /// Takes all options that have not been taken.
    std::map<std::string, std::string> rest();
    /// Throws if a word or an option has not been taken.
    void finish() const;
    [[noreturn]] void fail(const std::string& message) const;

private:
    std::int64_t to_number(const std::string& text, const std::string& name) const;

    int line_number;
    std::string source;
    std::vector<std::string> words;
    std::map<std::string, std::string> options;
    std::size_t position = 0;
};

/// Splits a scenario into statements. A statement ends with its line, a comment begins
/// with `#`, and JSON in braces is one word over several lines.
std::vector<statement> parse_script(const std::string& text);

} // namespace pomelorouter::scenario
