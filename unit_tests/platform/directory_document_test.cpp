#include "gypsumhub/platform/directory_document.h"

#include <doctest/doctest.h>

using namespace gypsumhub;

TEST_CASE("a directory query contains a host and the caller's data centre")
{
    auto query = readDirectoryQuery("/gypsumhub/resolve?name=h.example&region=a&data_centre=a1");
    REQUIRE(query);
    CHECK(query->host == "h.example");
    CHECK(query->dataCentre == "a1");
    CHECK_FALSE(readDirectoryQuery("/other?name=h"));
    CHECK(readDirectoryQuery("/gypsumhub/resolve?&&name")->host.empty());
}

TEST_CASE("a directory answer contains the addresses and their lifetime")
{
    auto nodes = std::vector<endpoint> { { "10.0.0.1", 80 } };
    CHECK(formatDirectoryAnswer(nodes, seconds(2)) == R"({"addresses":["10.0.0.1:80"],"lifetime":"2000ms"})");
}
