#pragma once

#include "state/clock.hpp"
#include "transport/http_server.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pomelorouter::test
{

/// In-memory implementation of the store API that a gateway uses.
class fake_store : public transport::http_handler
{
public:
    explicit fake_store(boost::asio::io_context& event_loop) : loop(event_loop) {}

    boost::asio::awaitable<void> handle(transport::http_exchange& exchange) override;

    /// Appends a record; an empty value removes the key.
    void put(const std::string& topic, const std::string& key, const std::string& value);
    /// Copies the records of a topic from another store.
    void copy(const std::string& topic, const fake_store& other);
    /// Drops all records of the log, but keeps the newest of each key.
    void compact(const std::string& topic);
    std::uint64_t end(const std::string& topic) const;
    /// Copies all topics, and returns to the last copy in a new era.
    void save_copy() { this->saved_topics = this->topics; }
    void return_to_copy();

    /// Answers every call with 503.
    bool is_down = false;
    /// Never responds to any call.
    bool is_silent = false;
    /// Pause before each response.
    state::milliseconds delay{0};
    /// Sends the responses to reads so slowly that none is ever complete.
    bool is_trickling = false;
    /// Carries out appends without responding.
    bool drops_append_responses = false;
    /// Named in all responses; 0 names none.
    std::uint64_t era = 0;
    /// Values of all records that were appended to a topic, lost ones included.
    std::map<std::string, std::vector<std::string>> appended;
    int calls = 0;
    std::map<std::string, int> topic_calls;

private:
    struct record
    {
        std::string key;
        std::string value;
    };
    struct topic_records
    {
        std::uint64_t first = 0;
        std::vector<record> records;
        std::map<std::string, std::pair<std::uint64_t, std::string>> newest;
    };

    boost::asio::awaitable<void> respond(transport::http_exchange& exchange,
                                         transport::http_response response) const;
    boost::asio::awaitable<void> trickle(transport::http_exchange& exchange);
    boost::asio::awaitable<void> read(transport::http_exchange& exchange);
    transport::http_response newest(const std::string& topic);
    transport::http_response append(const transport::http_request& request);

    boost::asio::io_context& loop;
    std::map<std::string, topic_records> topics;
    std::map<std::string, topic_records> saved_topics;
};

} // namespace pomelorouter::test
