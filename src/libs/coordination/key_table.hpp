#pragma once

#include "coordination/idempotency.hpp"
#include "state/clock.hpp"

#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace pomelorouter::coordination
{

/// An answer stored for replay.
struct kept_answer
{
    unsigned status = 0;
    std::string content_type;
    std::string body;
};

/// State of one key that a request in this process uses or used.
struct key_entry
{
    local_key_state state = local_key_state::none;
    std::string request;
    state::time_point expiry{};
    bool body_kept = false;
    kept_answer answer;
};

struct key_table_limits
{
    std::size_t max_keys = 200'000;
    std::size_t max_answer_bytes = 16 * 1024 * 1024;
};

/// Idempotency keys of this process with the stored answers. A key is kept for its whole
/// lifetime, since its request could run again without it; only the bodies of the oldest
/// answers are dropped when they exceed the limit.
class key_table
{
public:
    explicit key_table(const key_table_limits& table_limits = {});

    /// Returns null if the key is unknown.
    const key_entry* find(std::string_view key) const;
    /// Adds a key; returns false if the table is full or has the key already.
    bool add(const std::string& key, const std::string& request, local_key_state state,
             state::time_point expiry);
    void set_running(std::string_view key);
    void finish(const std::string& key, kept_answer answer);
    void set_lost(std::string_view key);
    /// Removes a key whose request was not run.
    void remove(std::string_view key);
    /// Removes keys whose lifetime is over.
    void prune(state::time_point now);

    std::size_t size() const { return this->entries.size(); }
    std::size_t answer_bytes() const { return this->kept_bytes; }

private:
    void drop_body(key_entry& entry);
    void drop_oldest_bodies();

    key_table_limits limits;
    std::map<std::string, key_entry, std::less<>> entries;
    std::multimap<state::time_point, std::string> by_expiry;
    /// Keys in the order in which their answers arrived.
    std::deque<std::string> answered_keys;
    std::size_t kept_bytes = 0;
};

} // namespace pomelorouter::coordination
