#include "gypsumhub/core/result_code.h"

#include <doctest/doctest.h>
#include <fstream>
#include <set>
#include <sstream>
#include <string>

namespace gypsumhub {

TEST_CASE("docs/RESULT_CODES.md lists exactly the rows of the result code table")
{
    auto file = std::ifstream("docs/RESULT_CODES.md");
    REQUIRE(file.is_open());
    auto listed = std::set<std::string> {};
    for (auto line = std::string {}; std::getline(file, line);)
        if (line.starts_with("| ") && line.size() > 2 && line[2] >= '0' && line[2] <= '9')
            listed.insert(line);
    auto expected = std::set<std::string> {};
    for (auto& row : resultCodeTable()) {
        auto line = std::ostringstream {};
        line << "| " << static_cast<int>(row.code) << " | `" << row.name << "` | " << toString(row.outcome) << " | " << row.httpStatus << " | "
             << row.text << " |";
        CHECK_MESSAGE(listed.contains(line.str()), line.str());
        expected.insert(line.str());
    }
    CHECK(listed.size() == expected.size());
}

} // namespace gypsumhub
