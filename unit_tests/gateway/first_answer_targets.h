#pragma once

#include "unit_tests/gateway/scripted_target.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace gypsumhub {

/// Two targets that answer the first arrival of each request by a function of the test, and a repetition with 200 and the body "ok".
class first_answer_targets {
public:
    /// Answers a request by its head and id. The connection is closed afterwards, unless the function returns true.
    using first_answer = std::function<bool(tcp::socket&, const std::string& head, const std::string& id)>;

    first_answer_targets(gateway_fixture& fleet, int maxBodyBytes, first_answer answer)
        : m_answer(std::move(answer))
    {
        for (auto index = 0; index < 2; ++index) {
            m_targets.push_back(std::make_unique<scripted_target>("i-first" + std::to_string(index), [this](tcp::socket& socket) { serve(socket); }));
            m_targets.back()->registerIn(fleet);
        }
        scripted_target::routeRequests(fleet, maxBodyBytes);
    }

    /// How often a request has arrived at the two targets.
    auto arrivals(const std::string& id) -> int
    {
        auto lock = std::lock_guard(m_mutex);
        return m_arrivals[id];
    }

private:
    auto isFirst(const std::string& id) -> bool
    {
        auto lock = std::lock_guard(m_mutex);
        return m_arrivals[id]++ == 0;
    }

    auto serve(tcp::socket& socket) -> void
    {
        auto received = std::string {};
        for (auto isOpen = true; isOpen;) {
            auto head = scripted_target::readHead(socket, received);
            if (head.empty())
                return;
            auto id = scripted_target::fieldOf(head, "Request-Id");
            if (isFirst(id))
                isOpen = m_answer(socket, head, id);
            else
                scripted_target::send(socket, scripted_target::answer("200 X", id));
        }
    }

    first_answer m_answer;
    std::mutex m_mutex;
    std::map<std::string, int> m_arrivals;
    std::vector<std::unique_ptr<scripted_target>> m_targets;
};

} // namespace gypsumhub
