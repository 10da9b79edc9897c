#pragma once

#include "fakes/fake_target.h"
#include "gypsumhub/core/hash.h"
#include "gypsumhub/proxy/proxy_server.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <string>
#include <vector>

namespace gypsumhub {

/// Records the reported results of exchanges. Any thread may call it.
class recording_listener : public attempt_listener {
public:
    auto onAttempt(const attempt_report& report) -> void override
    {
        auto lock = std::lock_guard(m_mutex);
        m_reports.push_back(report);
    }

    auto count(attempt_result result) const -> size_t
    {
        auto lock = std::lock_guard(m_mutex);
        return static_cast<size_t>(std::ranges::count(m_reports, result, &attempt_report::result));
    }

    auto reports() const -> std::vector<attempt_report>
    {
        auto lock = std::lock_guard(m_mutex);
        return m_reports;
    }

private:
    mutable std::mutex m_mutex;
    std::vector<attempt_report> m_reports;
};

/// Answers every claim with the prepared `verdict` and records how claims ended.
class scripted_claims : public claim_port {
public:
    auto claim(claim_query query, std::function<void(claim_verdict)> done) -> void override
    {
        {
            auto lock = std::lock_guard(m_mutex);
            queries.push_back(query);
        }
        done(verdict);
    }

    auto finish(const claim_query&, claim_end end, std::shared_ptr<const kept_answer> answer) -> void override
    {
        auto lock = std::lock_guard(m_mutex);
        ends.push_back(end);
        answers.push_back(std::move(answer));
    }

    auto recordedEnds() const -> std::vector<claim_end>
    {
        auto lock = std::lock_guard(m_mutex);
        return ends;
    }

    claim_verdict verdict { claim_decision::Dispatch, result_code::Ok, nullptr };
    std::vector<claim_query> queries;
    std::vector<claim_end> ends;
    std::vector<std::shared_ptr<const kept_answer>> answers;

private:
    mutable std::mutex m_mutex;
};

/// A blocking HTTP client on one connection.
class test_caller {
public:
    explicit test_caller(uint16_t port)
        : m_socket(m_ioContext)
    {
        m_socket.connect({ asio::ip::make_address("127.0.0.1"), port });
    }

    auto sendRaw(std::string_view bytes) -> void
    {
        auto ignored = error_code {};
        asio::write(m_socket, asio::buffer(bytes), ignored);
    }

    /// Returns the next answer; throws when the connection fails before the answer is complete.
    auto readAnswer(bool toHead = false) -> http::response<http::string_body>
    {
        auto parser = http::response_parser<http::string_body> {};
        parser.body_limit(boost::none);
        parser.skip(toHead);
        http::read(m_socket, m_buffer, parser);
        return parser.release();
    }

    auto request(std::string_view method, std::string_view target, std::string_view fields = {}, std::string_view body = {})
        -> http::response<http::string_body>
    {
        auto text = std::string(method).append(" ").append(target).append(" HTTP/1.1\r\nHost: test\r\n").append(fields);
        if (!body.empty())
            text.append("Content-Length: ").append(std::to_string(body.size())).append("\r\n");
        sendRaw(text.append("\r\n").append(body));
        return readAnswer(method == "HEAD");
    }

    /// Reads until the server closes the connection and returns the received bytes.
    auto readToEnd() -> std::string
    {
        auto text = std::string {};
        auto error = error_code {};
        asio::read(m_socket, asio::dynamic_buffer(text), error);
        return text;
    }

    auto close() -> void { m_socket.close(); }

private:
    asio::io_context m_ioContext;
    tcp::socket m_socket;
    beast::flat_buffer m_buffer;
};

/// A server and fake targets of one service "desk", which is routed at "/". The server's node is the only group member.
class proxy_fixture {
public:
    explicit proxy_fixture(size_t targetCount = 1, const proxy_server_settings& initialSettings = {})
        : settings(initialSettings)
    {
        settings.self = { hashName("node") };
        settings.callerAddress = { "127.0.0.1", 0 };
        rules.drainTimeout = seconds(5);
        for (auto index = size_t { 0 }; index < targetCount; ++index) {
            auto targetSettings = fake_target::settings {};
            targetSettings.name = "vm-" + std::to_string(index);
            targetSettings.slots = 64;
            targets.push_back(std::make_unique<fake_target>(targetSettings));
            addresses.push_back({ "127.0.0.1", targets.back()->port() });
        }
        view.group.push_back({ settings.self, { "127.0.0.1", 9 }, 0, "dc-a" });
    }

    /// Publishes a snapshot and starts a new server.
    auto start() -> void
    {
        publish();
        server = std::make_unique<proxy_server>(settings, snapshot, listener, claims);
        auto started = server->start();
        if (!started)
            throw std::runtime_error("the proxy server failed to start");
    }

    /// Publishes a snapshot with the current rules, view and target addresses.
    auto publish() -> void
    {
        auto service = std::make_shared<service_spec>();
        service->name = "desk";
        service->key = { hashName("desk") };
        service->rules = rules;
        auto config = std::make_shared<configuration>();
        config->revision.number = 1;
        config->routes = config->routes.with({ { "/", "desk" } }, {});
        config->services["desk"] = service;
        auto next = std::make_shared<routing_snapshot>();
        next->version = ++m_version;
        next->config = config;
        view.spec = service;
        view.targets.clear();
        for (auto& address : addresses) {
            auto key = vm_key { hashName(address.address + std::to_string(address.port)) };
            view.targets.push_back({ key, address, health_state::Healthy, 0, slotShare, 1000, std::make_shared<target_load>() });
        }
        std::ranges::sort(view.targets, {}, &target_view::key);
        next->services.push_back(view);
        snapshot.store(next);
    }

    /// Connects a new caller to the server.
    auto caller() -> test_caller { return test_caller(server->port()); }

    proxy_server_settings settings;
    service_rules rules;
    service_view view;
    uint16_t slotShare { 64 };
    std::vector<std::unique_ptr<fake_target>> targets;
    std::vector<endpoint> addresses;
    rcu_cell<routing_snapshot> snapshot;
    recording_listener listener;
    scripted_claims claims;
    std::unique_ptr<proxy_server> server;

private:
    uint64_t m_version { 0 };
};

} // namespace gypsumhub
