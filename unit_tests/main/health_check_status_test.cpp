#include "fakes/fake_raw_server.h"
#include "gypsumhub/core/clock.h"
#include "gypsumhub/main/health_check_runner.h"

#include <doctest/doctest.h>
#include <string>

namespace gypsumhub {

namespace {

    auto checkTargetAnswering(const std::string& statusText) -> attempt_result
    {
        auto target = fake_raw_server("127.0.0.1", "HTTP/1.1 " + statusText + "\r\nContent-Length: 2\r\n\r\nok", {});
        auto context = boost::asio::io_context { 1 };
        auto result = attempt_result::Cancelled;
        auto runner = health_check_runner(context, [&](const attempt_report& report) { result = report.result; });
        auto command = start_health_check_command {};
        command.address = { "127.0.0.1", target.port() };
        command.deadline = wallClockNow() + seconds(5);
        runner.start(command);
        context.run();
        return result;
    }

} // namespace

// Guards against failing targets that stay in rotation since they answer health checks with status 000.
TEST_CASE("a health check whose answer has a status outside 200 to 599 has failed")
{
    for (auto& text : { std::string("000 X"), std::string("099 X"), std::string("100 X"), std::string("101 X"), std::string("600 X"), std::string("999 X") }) {
        CAPTURE(text);
        CHECK((checkTargetAnswering(text) == attempt_result::CutAnswer));
    }
    CHECK((checkTargetAnswering("200 X") == attempt_result::Success));
    CHECK((checkTargetAnswering("404 X") == attempt_result::Success));
    CHECK((checkTargetAnswering("599 X") == attempt_result::ErrorAnswer));
}

} // namespace gypsumhub
