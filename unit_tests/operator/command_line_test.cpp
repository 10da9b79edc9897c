#include "gypsumhub/operator/command_line.h"

#include <doctest/doctest.h>
#include <gflags/gflags.h>

DEFINE_string(test_node, "", "a flag of the tests");

namespace gypsumhub {

namespace {

    auto seenArguments = command_arguments {};

    auto remember(const command_arguments& arguments) -> leaf::result<void>
    {
        seenArguments = arguments;
        return {};
    }

    auto failStore(const command_arguments&) -> leaf::result<void>
    {
        return failWith({ result_code::StoreUnavailable, "store is away" });
    }

    const command_row table[] = {
        { "remember", "keeps its words", "WORD", 1, 1, { "test_node" }, remember },
        { "fail", "fails", "", 0, 0, {}, failStore },
    };

    auto runWords(std::vector<std::string> words) -> int
    {
        return runCommandLine(words, table);
    }

} // namespace

TEST_CASE("flags may stand anywhere, with dashes or underscores, with = or a space")
{
    CHECK(runWords({ "remember", "--test-node=a", "word" }) == 0);
    CHECK(FLAGS_test_node == "a");
    CHECK(runWords({ "remember", "other", "--test_node", "b" }) == 0);
    CHECK(FLAGS_test_node == "b");
    CHECK(seenArguments == command_arguments { "other" });
}

TEST_CASE("usage faults end with status 2 and run nothing")
{
    seenArguments.clear();
    CHECK(runWords({}) == 2);
    CHECK(runWords({ "nonsense" }) == 2);
    CHECK(runWords({ "remember" }) == 2);
    CHECK(runWords({ "remember", "a", "b" }) == 2);
    CHECK(runWords({ "remember", "a", "--nonsense=1" }) == 2);
    CHECK(runWords({ "remember", "a", "--test_node" }) == 2);
    CHECK(seenArguments.empty());
}

TEST_CASE("a command's fault decides the exit status")
{
    CHECK(runWords({ "fail" }) == 4);
}

TEST_CASE("help runs nothing and ends with status 0")
{
    seenArguments.clear();
    CHECK(runWords({ "--help" }) == 0);
    CHECK(runWords({ "remember", "--help" }) == 0);
    CHECK(seenArguments.empty());
}

} // namespace gypsumhub
