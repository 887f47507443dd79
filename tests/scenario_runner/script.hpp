#pragma once

#include <cstdint>
#include <map>
#include <stdexcept>
#include <string>
#include <vector>

namespace pomelorouter::scenario
{

/// Syntax error in a scenario file, or a statement that failed. The text contains the
/// line.
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

    /// Consumes the next plain word. Throws if there is none; `expected` describes it in
    /// the error.
    std::string word(const std::string& expected);
    /// Consumes the next plain word if it equals `value`; returns whether it did.
    bool accept(const std::string& value);
    bool at_end() const { return this->position == this->words.size(); }
    std::int64_t number(const std::string& expected);
    /// Consumes an option and returns its value, or the fallback if it is absent.
    std::string option(const std::string& key, const std::string& fallback);
    std::int64_t number_option(const std::string& key, std::int64_t fallback);
    /// Consumes `within N` and returns N in seconds, or the fallback if it is absent.
    std::int64_t take_timeout_s(std::int64_t fallback);
    /// Consumes and returns all remaining options.
    std::map<std::string, std::string> take_options();
    /// Throws if a word or an option has not been consumed.
    void finish() const;
    /// Throws `scenario_error` with the line and the text of the statement.
    [[noreturn]] void fail(const std::string& message) const;

private:
    std::int64_t to_number(const std::string& text, const std::string& name) const;

    int line_number;
    std::string source;
    std::vector<std::string> words;
    std::map<std::string, std::string> options;
    std::size_t position = 0;
};

/// Splits a scenario into statements. A statement ends at the end of its line, a comment
/// begins with `#`, and JSON in braces is one word that may span lines. Throws
/// `scenario_error` if braces are not balanced.
std::vector<statement> parse_script(const std::string& text);

} // namespace pomelorouter::scenario
