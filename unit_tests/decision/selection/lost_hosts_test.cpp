#include "unit_tests/decision/selection/member_nodes.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace gypsumhub;

namespace {

// The view of n1 in a data centre of three nodes.
auto makeView() -> membership_view
{
    auto memberView = membership_view(makeNode("n1"));
    memberView.setOwnState(true, false);
    for (auto name : { "n2", "n3" }) {
        memberView.recordRegistration(makeNode(name));
        memberView.recordHello(makeHello(name), at(0));
    }
    return memberView;
}

} // namespace

TEST_CASE("a node that has lost its paths for a host is neither in the group of the host nor helps, while others are left")
{
    auto view = makeView();
    auto losesPaths = [&](const std::string& name, std::vector<std::string> hosts) {
        auto hello = makeHello(name);
        hello.lostHosts = std::move(hosts);
        view.recordHello(hello, at(100));
    };
    auto isInGroup = [&](std::string_view name, std::string_view host) {
        auto group = view.group(host, "a1", { 3, {} }, at(200));
        return std::ranges::find(group, name, &endpoint::address) != group.end();
    };
    auto helpers = [&](std::string_view host) {
        auto names = std::vector<std::string> {};
        for (auto& node : view.helpers(host, at(200)))
            names.push_back(node.name);
        return names;
    };
    CHECK(helpers("host") == std::vector<std::string> { "n2", "n3" });
    losesPaths("n2", { "host" });
    CHECK_FALSE(isInGroup("n2", "host"));
    CHECK(isInGroup("n2", "another"));
    CHECK(helpers("host") == std::vector<std::string> { "n3" });
    CHECK(helpers("another") == std::vector<std::string> { "n2", "n3" });
    view.setOwnLostHosts({ "host" });
    CHECK_FALSE(isInGroup("n1", "host"));
    CHECK(view.group("host", "a1", { 3, {} }, at(200)).size() == 1);

    // When all have lost them, callers stay in their data centre, and requests are relayed to others.
    losesPaths("n3", { "host" });
    CHECK(view.group("host", "a1", { 3, {} }, at(200)).size() == 3);
    CHECK(helpers("host").empty());
    view.recordRegistration(makeNode("m1", "a2"));
    CHECK(helpers("host") == std::vector<std::string> { "m1" });

    losesPaths("n2", {});
    CHECK(isInGroup("n2", "host"));
    CHECK(helpers("host") == std::vector<std::string> { "n2" });
}

TEST_CASE("the address of a caller shows whether it is a registered node")
{
    auto view = makeView();
    CHECK(view.isNodeAddress("n2"));
    CHECK_FALSE(view.isNodeAddress("n9"));
    view.recordUnregistration("n2", at(5'000));
    CHECK_FALSE(view.isNodeAddress("n2"));
}
