#include "unit_tests/gateway/first_answer_targets.h"
#include "unit_tests/gateway/raw_caller.h"

using namespace gypsumhub;

namespace {

using namespace std::string_literals;

/// A line of a head whose field name is not a token, and what the answer says of the length of its body "ok".
struct invalid_line {
    std::string line;
    std::string length { "Content-Length: 2\r\n" };
};

/// Names with a blank or a control byte at the start, in the middle and at the end: of a field that the node does not know, and of the two
/// that frame the body.
auto invalidLines() -> std::vector<invalid_line>
{
    auto lines = std::vector<invalid_line> {};
    for (auto byte : " \t\0\x01\x08\x0b\x0c\x1b\x1f\x7f"s) {
        auto bytes = std::string(1, byte);
        for (auto& name : { bytes + "Field", "Fi" + bytes + "eld", "Field" + bytes })
            lines.push_back({ name + ": x\r\n" });
        for (auto& name : { bytes + "Content-Length", "Content" + bytes + "-Length", "Content-Length" + bytes })
            lines.push_back({ name + ": 2\r\n", {} });
        for (auto& name : { bytes + "Transfer-Encoding", "Transfer-" + bytes + "Encoding", "Transfer-Encoding" + bytes })
            lines.push_back({ name + ": chunked\r\n" });
    }
    return lines;
}

/// A head with the invalid line in front of the field with the index `place`, or last.
auto headWith(const invalid_line& invalid, size_t place, const std::string& id) -> std::string
{
    auto fields = std::vector<std::string> { "Request-Id: " + id + "\r\n", "Upstream-Signature: s\r\n", invalid.length };
    fields.insert(fields.begin() + static_cast<std::ptrdiff_t>(place), invalid.line);
    auto head = std::string("HTTP/1.1 200 X\r\n");
    for (auto& field : fields)
        head += field;
    return head + "\r\n";
}

/// Two targets whose first answer to a request has an invalid line, and ends with its connection.
class invalid_targets {
public:
    explicit invalid_targets(gateway_fixture& fleet)
        : m_targets(fleet, 65'536, [this](tcp::socket& socket, const std::string& head, const std::string& id) { return answer(socket, head, id); })
    {
    }

    auto use(const invalid_line& invalid, size_t place) -> void
    {
        auto lock = std::lock_guard(m_mutex);
        m_invalid = invalid;
        m_place = place;
    }

    auto arrivals(const std::string& id) -> int { return m_targets.arrivals(id); }

private:
    auto answer(tcp::socket& socket, const std::string& head, const std::string& id) -> bool
    {
        auto isInvalid = head.find("/invalid") != std::string::npos;
        auto lock = std::lock_guard(m_mutex);
        scripted_target::send(socket, isInvalid ? headWith(m_invalid, m_place, id) + "ok" : scripted_target::answer("200 X", id));
        return !isInvalid;
    }

    std::mutex m_mutex;
    invalid_line m_invalid;
    size_t m_place { 0 };
    first_answer_targets m_targets;
};

} // namespace

// Guards against invalid lines that reach callers, and against bodies that such a line frames in another way.
TEST_CASE("MIXED: an answer whose head has a field name with a blank or a control byte is no answer: 502, and the request is not run again")
{
    auto fleet = gateway_fixture {};
    auto targets = invalid_targets(fleet);
    auto node = gateway_fixture::callerAddress(0);
    auto count = 0;
    for (auto& invalid : invalidLines()) {
        for (auto place : { size_t { 0 }, size_t { 2 }, size_t { 3 } }) {
            targets.use(invalid, place);
            auto id = "name-" + std::to_string(++count);
            CAPTURE(invalid.line);
            CAPTURE(place);
            CHECK(sendRequest(node, http::verb::post, "/unsafe/invalid/" + id, id).status == 502);
            CHECK(targets.arrivals(id) == 1);
            // Successes keep the targets in use.
            for (auto sound = 0; sound < 4; ++sound)
                sendRequest(node, http::verb::get, "/safe/", id + "-sound-" + std::to_string(sound));
        }
    }
}

TEST_CASE("MIXED: a retryable request whose answer has an invalid field name gets the answer of another attempt, or none")
{
    auto fleet = gateway_fixture {};
    auto targets = invalid_targets(fleet);
    auto count = 0;
    for (auto& line : { " Field: x\r\n"s, "Fi eld: x\r\n"s, "Field\x01: x\r\n"s }) {
        targets.use({ line }, 2);
        // The retry budget of a node grows during its first seconds.
        auto isRetried = [&] {
            auto id = "again-" + std::to_string(++count);
            auto answer = sendRequest(gateway_fixture::callerAddress(0), http::verb::get, "/safe/invalid/" + id, id);
            REQUIRE((answer.status != 200 || targets.arrivals(id) == 2));
            return answer.status == 200 && answer.body == "ok" && targets.arrivals(id) == 2;
        };
        CAPTURE(line);
        CHECK(eventually(isRetried));
    }
}
