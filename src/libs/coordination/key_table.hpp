#pragma once

#include "coordination/idempotency.hpp"
#include "state/clock.hpp"

#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace pomelorouter::coordination
{

/// An answer that is kept to be given again.
struct kept_answer
{
    unsigned status = 0;
    std::string content_type;
    std::string body;
};

/// One key that this process has a request for, or had.
struct key_entry
{
    local_key_state state = local_key_state::none;
    std::string request;
    state::time_point forget_at{};
    bool body_kept = false;
    kept_answer answer;
};

struct key_table_limits
{
    std::size_t max_keys = 200'000;
    std::size_t max_answer_bytes = 16 * 1024 * 1024;
};

/// Keys of this process with the answers kept for them. A key is remembered for its whole
/// lifetime, since forgetting it would let its request run again; only the bodies of
/// answers are given up when there are too many of them.
class key_table
{
public:
    explicit key_table(const key_table_limits& table_limits = {});

    /// Returns the entry of a key, or null.
    const key_entry* find(std::string_view key) const;
    /// Adds a key; returns false if the table is full.
    bool add(const std::string& key, const std::string& request, local_key_state state,
             state::time_point forget_at);
    void set_running(std::string_view key);
    void finish(const std::string& key, kept_answer answer);
    void set_lost(std::string_view key);
    /// Removes a key of which nothing was run.
    void remove(std::string_view key);
    /// Forgets keys past their lifetime.
    void prune(state::time_point now);

    std::size_t size() const { return this->entries.size(); }
    std::size_t answer_bytes() const { return this->kept_bytes; }

private:
    void drop_body(key_entry& entry);
    void drop_oldest_bodies();

    key_table_limits limits;
    std::map<std::string, key_entry, std::less<>> entries;
    std::multimap<state::time_point, std::string> by_forget_time;
    /// Keys in the order in which their answers came.
    std::deque<std::string> answered;
    std::size_t kept_bytes = 0;
};

} // namespace pomelorouter::coordination
