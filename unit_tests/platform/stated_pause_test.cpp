#include "gypsumhub/platform/stated_pause.h"

#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace gypsumhub;

TEST_CASE("Retry-After of a target: each form has a defined meaning")
{
    struct row {
        std::vector<std::string> fields;
        int64_t milliseconds;
        bool isMalformed;
    };
    auto rows = std::vector<row> {
        { {}, 0, false },
        { { "3" }, 3'000, false },
        { { "0.25" }, 250, false },
        { { "0" }, 0, false },
        { { "-1" }, 0, true },
        { { "" }, 0, true },
        { { "nan" }, 0, true },
        { { "1e3" }, 0, true },
        { { "2 s" }, 0, true },
        { { "Wed, 21 Oct 2026 07:28:00 GMT" }, 0, true },
        { { "2", "5" }, 5'000, false },
        { { "2", "x" }, 2'000, false },
        { { "99999999999999999999" }, 86'400'000, false },
        { { std::string(400, '9') }, 86'400'000, false },
    };
    for (auto& [fields, expected, isMalformed] : rows) {
        auto head = http::fields {};
        for (auto& value : fields)
            head.insert(http::field::retry_after, value);
        auto text = fields.empty() ? std::string("none") : fields.back();
        CAPTURE(text);
        auto read = readStatedPause(head);
        CHECK(read.length.value_or(duration {}).milliseconds() == expected);
        CHECK(read.isMalformed == isMalformed);
    }
}
