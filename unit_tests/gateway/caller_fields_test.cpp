#include "unit_tests/gateway/raw_caller.h"

using namespace gypsumhub;

namespace {

constexpr auto wideLimit = size_t { 128 * 1024 };
// The HTTP library holds no longer value of a field.
constexpr auto longestValue = size_t { 65'533 };

auto configureWideHeads(gateway_fixture& fleet) -> void
{
    auto text = R"({"version":"00000009","routes":[{"name":"safe","host":"h.example","prefix":"/safe/","kind":"safe","time_limit":"4000ms","latency_target":"2000ms",)"
                R"("priority":1,"service":"bookdesk","max_attempts":2}],"services":[{"name":"bookdesk"}],"limits":{"max_header_bytes":)"
        + std::to_string(wideLimit) + R"(,"max_body_bytes":65536,"header_read_limit":"3000ms","idle_limit":"15s"}})";
    fleet.store.put("op/config", text);
    REQUIRE(eventually(
        [&] { return fleet.linesOfEvent("configuration_taken") == 4; }));
}

auto field(const std::string& name, size_t bytes) -> std::string
{
    return name + ": " + std::string(bytes, 'v') + "\r\n";
}

} // namespace

TEST_CASE("FAULT: heads with very long or very many fields are answered, "
          "whatever limit the operator sets")
{
    auto fleet = gateway_fixture {};
    configureWideHeads(fleet);
    auto manyFields = std::string {};
    while (manyFields.size() < wideLimit / 2)
        manyFields += "f" + std::to_string(manyFields.size()) + ": v\r\n";
    for (auto& fields :
        { field("long", longestValue + 1), field("long", 70'000),
            field("long", 120'000), field(std::string(66'000, 'n'), 1),
            field("a", 60'000) + field("b", 60'000), manyFields,
            field("host", 70'000) }) {
        CAPTURE(fields.size());
        auto caller = raw_caller(gateway_fixture::callerAddress(0));
        caller.send(raw_request { .id = "before" }.text() + raw_request { .id = "odd", .fields = fields }.text());
        auto answers = caller.read(2);
        REQUIRE(answers.size() == 2);
        CHECK(answers[0].status == 200);
        CHECK(answers[1].status != 0);
    }
    CHECK(fleet.metricOf(0, "open_requests") == 0);
}

TEST_CASE("LOST: a head that the HTTP library cannot hold takes no answer to "
          "an earlier request of its connection with it")
{
    auto fleet = gateway_fixture {};
    configureWideHeads(fleet);
    auto caller = raw_caller(gateway_fixture::callerAddress(0));
    // More than may be open at once, so that the last one is read when an earlier
    // answer is written.
    constexpr auto count = 17;
    auto text = std::string {};
    for (auto index = 0; index < count; ++index)
        text += raw_request { .id = "open-" + std::to_string(index),
            .delayMs = 300 + 20 * index }
                    .text();
    caller.send(text + raw_request { .id = "odd", .fields = field("long", 70'000) }.text());
    auto answers = caller.read(count + 1);
    REQUIRE(answers.size() == count + 1);
    for (auto index = size_t { 0 }; index < count; ++index)
        CHECK(answers[index].status == 200);
    CHECK(answers.back().status == 431);
}

TEST_CASE("LOST: a trailer that the HTTP library cannot hold takes no answer "
          "to an earlier request of its connection with it")
{
    auto fleet = gateway_fixture {};
    auto caller = raw_caller(gateway_fixture::callerAddress(0));
    constexpr auto count = 16;
    auto text = std::string {};
    for (auto index = 0; index < count; ++index)
        text += raw_request { .id = "open-" + std::to_string(index), .delayMs = 400 }
                    .text();
    caller.send(
        text + raw_request { .id = "odd", .fields = "Transfer-Encoding: chunked\r\n" }.text() + "0\r\n" + field("long", 66'000) + "\r\n");
    auto answers = caller.read(count + 1);
    REQUIRE(answers.size() == count + 1);
    for (auto index = size_t { 0 }; index < count; ++index)
        CHECK(answers[index].status == 200);
    CHECK(answers.back().status >= 400);
}
