#pragma once

#include "fakes/fake_http_server.h"

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace gypsumhub {

/// Fake of the key-value store on the users' platform: entries, ranges, watches and leases. Leases expire only through `endLeases`.
class fake_keyspace_server {
public:
    /// Listens on a free port of `address`.
    explicit fake_keyspace_server(const std::string& address);
    ~fake_keyspace_server();

    auto port() const -> uint16_t { return m_server.port(); }
    auto put(const std::string& key, std::string value) -> void;
    auto remove(const std::string& key) -> void;
    /// While the store is unavailable, it closes connections without an answer.
    auto setUnavailable(bool) -> void;
    /// Port of an address that serves one node, 0 for the first one, and may turn that node alone away.
    auto portOf(size_t node) -> uint16_t;
    /// While a node is turned away, its calls are refused with 503.
    auto setTurnedAway(size_t node, bool) -> void;
    /// While the store is silent to a node, its calls get no answer and their connections stay open.
    auto setSilent(size_t node, bool) -> void;
    /// From now on, watches on `prefix` that have something to tell are not answered and their connections stay open; an empty prefix
    /// ends this.
    auto loseWatchAnswers(std::string prefix) -> void;
    /// Number of watch answers lost so far.
    auto lostAnswers() -> int;
    /// Ends all leases and removes the entries that are attached to them.
    auto endLeases() -> void;
    /// Keeps a copy of the present state for `restoreCopy`.
    auto saveCopy() -> void;
    /// Returns to the state of the latest copy: later writes and leases are lost, their numbers are given out again, and the era rises.
    auto restoreCopy() -> void;
    /// Keys that start with `prefix`, in order.
    auto keys(std::string_view prefix) -> std::vector<std::string>;

private:
    /// A stored value with the revision of its last write; lease 0 means none.
    struct entry {
        std::string value;
        uint64_t revision { 0 };
        uint64_t lease { 0 };
    };
    /// One write or removal, in the history that watches read.
    struct change {
        std::string key;
        entry written;
        bool isRemoval { false };
    };

    auto answer(const fake_http_target&, const std::string& body) -> fake_http_answer;
    auto holdsLease(uint64_t lease) const -> bool;
    auto answerKey(const fake_http_target&) -> fake_http_answer;
    auto answerRange(const fake_http_target&) -> std::string;
    auto answerWatch(const fake_http_target&) -> fake_http_answer;
    auto write(const std::string& body) -> bool;
    auto putEntry(const std::string& key, std::string value, uint64_t lease) -> void;
    auto removeEntry(const std::string& key) -> void;

    /// What a copy of the store holds.
    struct content {
        std::map<std::string, entry, std::less<>> entries;
        std::vector<change> changes;
        uint64_t revision { 1 };
        uint64_t newestLease { 0 };
        /// Leases with a lower number have ended.
        uint64_t oldestLease { 1 };
    };

    /// The address of one node.
    struct door {
        std::atomic<bool> isTurnedAway { false };
        std::atomic<bool> isSilent { false };
        std::unique_ptr<fake_http_server> server;
    };

    std::mutex m_mutex;
    content m_content;
    content m_copy;
    uint64_t m_era { 1 };
    bool m_isUnavailable { false };
    std::string m_lostPrefix;
    int m_lostAnswers { 0 };
    std::string m_address;
    boost::asio::io_context m_context { 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_workGuard;
    fake_http_server m_server;
    std::vector<std::unique_ptr<door>> m_doors;
    std::thread m_thread;
};

} // namespace gypsumhub
