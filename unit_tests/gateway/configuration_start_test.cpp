#include "unit_tests/gateway/gateway_fixture.h"

using namespace gypsumhub;

namespace {

/// A node with a store of its own, so that calls of one node can miss what another one reads.
class separate_node {
public:
    explicit separate_node(int index)
        : m_index(index)
    {
        auto settings = gateway_settings {};
        settings.name = nameOf(index);
        settings.dataCentre = "a1";
        settings.region = "a";
        settings.dataCentres = { { "a1", "a" } };
        settings.callerAddress = gateway_fixture::callerAddress(index);
        settings.readinessAddress = addressOf(2);
        settings.directoryAddress = addressOf(3);
        settings.peerAddress = addressOf(4);
        settings.storeAddress = { "127.0.0.1", store.port() };
        settings.logDescriptor = ::fileno(m_log);
        registerPeer(1 - index);
        m_node = std::make_unique<gateway_node>(settings, "none.ini");
        m_thread = std::thread([this] { leaf::try_handle_all([&]() -> leaf::result<void> { return m_node->run(); }, [] {}); });
    }

    ~separate_node()
    {
        m_node->requestStop();
        m_thread.join();
        std::fclose(m_log);
    }

    auto isReady() const -> bool { return sendRequest(addressOf(2), http::verb::get, "/gypsumhub/readyz", "").status == 200; }

    fake_keyspace_server store { "127.0.0.1" };

private:
    static auto nameOf(int index) -> std::string { return "n" + std::to_string(index + 1); }
    auto addressOf(int purpose) const -> endpoint { return gateway_fixture::addressOf(m_index, gateway_fixture::portOf(purpose)); }

    auto registerPeer(int index) -> void
    {
        auto portText = [&](int purpose) { return gateway_fixture::addressOf(index, 0).address + ":" + std::to_string(gateway_fixture::portOf(purpose)); };
        store.put("gypsumhub/nodes/a1/" + nameOf(index), R"({"data_centre":"a1","caller_address":")" + portText(1) + R"(","peer_address":")" + portText(4) + R"(","store_delay":"1ms","cores":1,"link":100})");
    }

    int m_index;
    std::FILE* m_log { std::tmpfile() };
    std::unique_ptr<gateway_node> m_node;
    std::thread m_thread;
};

constexpr auto configurationText = R"({"version":"00000001","routes":[{"name":"safe","host":"h.example","prefix":"/safe/","kind":"safe","time_limit":"4000ms",)"
                                   R"("latency_target":"2000ms","priority":1,"service":"bookdesk","max_attempts":2}],"services":[{"name":"bookdesk"}],)"
                                   R"("limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_read_limit":"3000ms","idle_limit":"15s"}})";

} // namespace

TEST_CASE("FAULT: a node whose store calls miss the configuration becomes ready by another node that got it after both had started")
{
    auto first = separate_node(0);
    auto second = separate_node(1);
    // A node that starts asks others for 2 s; none of them has the configuration by then.
    std::this_thread::sleep_for(std::chrono::milliseconds(2'800));
    first.store.put("op/config", configurationText);
    REQUIRE(eventually([&] { return first.isReady(); }));
    CHECK(eventually([&] { return second.isReady(); }));
}
