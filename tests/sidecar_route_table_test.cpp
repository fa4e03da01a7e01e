#include "fakes/sidecar_fleet.h"

#include <gtest/gtest.h>

#include <map>
#include <string>

namespace tamarackridge {
namespace {

published_set setWith(std::vector<published_route> routes)
{
    published_set set = fakes::fakeSet(1);
    set.routes = std::move(routes);
    return set;
}

published_route routeFor(const std::string &host, const std::string &prefix)
{
    published_route route = fakes::fakeRoute(host + prefix, "orders");
    route.host = host;
    route.pathPrefix = prefix;
    return route;
}

// Guards against matching a request to a route with a shorter prefix than the most specific one.
TEST(sidecar_route_table, longest_prefix_of_the_host_wins)
{
    const route_table table(
            setWith({routeFor("a.example", "/"), routeFor("a.example", "/x/"),
                     routeFor("a.example", "/x/y/"), routeFor("b.example", "/x/")}));
    EXPECT_EQ(table.route("a.example", "/x/y/z")->name, "a.example/x/y/");
    EXPECT_EQ(table.route("a.example", "/x/y")->name, "a.example/x/");
    EXPECT_EQ(table.route("a.example", "/xy/")->name, "a.example/");
    EXPECT_EQ(table.route("b.example", "/x/?q=/y/")->name, "b.example/x/");
    EXPECT_EQ(table.route("b.example", "/"), nullptr);
    EXPECT_EQ(table.route("c.example", "/x/"), nullptr);
}

// Guards against refusing requests whose host is in another case or includes a port.
TEST(sidecar_route_table, host_is_compared_without_case_and_port)
{
    const route_table table(setWith({routeFor("Shop.Example", "/")}));
    EXPECT_NE(table.route("shop.example:8080", "/1"), nullptr);
    EXPECT_NE(table.route("SHOP.EXAMPLE", "/1"), nullptr);
}

// Guards against shares that are right only on average: the weights hold for each 100 requests.
TEST(sidecar_route_table, services_get_their_weights)
{
    published_route split = routeFor("a.example", "/");
    split.targets = {{"large", 90}, {"small", 10}};
    route_table table(setWith({split}));
    const published_route *route = table.route("a.example", "/");
    for (int hundred = 0; hundred < 3; ++hundred) {
        std::map<std::string, int> counts;
        for (int request = 0; request < 100; ++request)
            ++counts[table.nextService(*route)];
        EXPECT_EQ(counts["large"], 90);
        EXPECT_EQ(counts["small"], 10);
    }
}

} // namespace
} // namespace tamarackridge
