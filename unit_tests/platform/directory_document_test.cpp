#include "gypsumhub/platform/directory_document.h"

#include <doctest/doctest.h>

using namespace gypsumhub;

TEST_CASE("a directory question names a host and the caller's data centre")
{
    auto question = readDirectoryQuery("/gypsumhub/resolve?name=h.example&region=a&data_centre=a1");
    REQUIRE(question);
    CHECK(question->host == "h.example");
    CHECK(question->dataCentre == "a1");
    CHECK_FALSE(readDirectoryQuery("/other?name=h"));
    CHECK(readDirectoryQuery("/gypsumhub/resolve?&&name")->host.empty());
}

TEST_CASE("a directory answer lists addresses and their lifetime")
{
    auto nodes = std::vector<endpoint> { { "10.0.0.1", 80 } };
    CHECK(formatDirectoryAnswer(nodes, seconds(2)) == R"({"addresses":["10.0.0.1:80"],"lifetime":"2000ms"})");
}
