#include "fakes/sample_config.h"

#include <gtest/gtest.h>

using namespace tamarackridge;

namespace {

std::string routeOf(std::string_view method, std::string_view target)
{
    static const config_set set = fakes::sampleSet();
    const tl::expected<const bound_route *, error_kind> match = set.findRoute(method, target);
    return match ? (*match)->definition->name : std::string(responseFor(match.error()).name);
}

} // namespace

// Guards against a prefix that matches part of a segment, and against preferring a shorter prefix.
TEST(ConfigPath, LongestPrefixAtSegmentBorders)
{
    EXPECT_EQ(routeOf("POST", "/invoices"), "invoices-post");
    EXPECT_EQ(routeOf("POST", "/invoices/"), "invoices-post");
    EXPECT_EQ(routeOf("POST", "/invoices/2026/7"), "invoices-post");
    EXPECT_EQ(routeOf("POST", "/invoices2"), "unknown_route");
    EXPECT_EQ(routeOf("POST", "/invoice"), "unknown_route");
    EXPECT_EQ(routeOf("GET", "/invoices/drafts/1"), "invoices-drafts");
    EXPECT_EQ(routeOf("POST", "/invoices/draftsx"), "invoices-post");
    EXPECT_EQ(routeOf("GET", "/"), "unknown_route");
}

// Guards against a request whose method matches only a less specific, possibly open, route.
TEST(ConfigPath, LongestPrefixDecidesBeforeTheMethod)
{
    EXPECT_EQ(routeOf("POST", "/invoices/drafts"), "method_not_allowed");
    EXPECT_EQ(routeOf("GET", "/invoices/7"), "method_not_allowed");
    EXPECT_EQ(routeOf("get", "/tariffs"), "method_not_allowed");
}

// Guards against matching the query as part of the path.
TEST(ConfigPath, QueryIsIgnored)
{
    EXPECT_EQ(routeOf("GET", "/tariffs?from=/status/../x;y"), "tariffs-get");
    EXPECT_EQ(routeOf("GET", "/tar?iffs"), "unknown_route");
}

// Guards against spellings that match an open route but reach a keyed path of the backend server.
TEST(ConfigPath, AmbiguousSpellingsAreRefused)
{
    for (const char *target : {"/status/../invoices",
                               "/status/./x",
                               "//status",
                               "/status//x",
                               "/status/..",
                               "/.",
                               "/status/%2e%2e/invoices",
                               "/status/%2E./invoices",
                               "/status%2f..%2finvoices",
                               "/status/%5c..",
                               "/status/..;/invoices",
                               "/status/..%3b/invoices",
                               "/status;a=b",
                               "/st%61tus",
                               "/status/%252e%252e",
                               "/status\\x",
                               "/status/%00",
                               "/status/%7f",
                               "/status/%4",
                               "/status/%zz",
                               "/status/%",
                               "/status#x",
                               "/status/\x01",
                               "/status/\xc3\xb1",
                               "/status /x",
                               "status",
                               "",
                               "*",
                               "http://host/status",
                               "?x"})
        EXPECT_EQ(routeOf("GET", target), "bad_request") << target;
}

// Guards against rejecting ordinary percent-encoded text.
TEST(ConfigPath, EncodedTextIsAccepted)
{
    EXPECT_EQ(routeOf("GET", "/tariffs/gij%C3%B3n/a%20b"), "tariffs-get");
    EXPECT_EQ(routeOf("GET", "/tariffs/...?x"), "tariffs-get");
    EXPECT_EQ(routeOf("GET", "/tariffs/a:b@c,d=e"), "tariffs-get");
}

// Guards against configured prefixes that no request path can match, or that are reserved for the
// nodes.
TEST(ConfigPath, PrefixesAreValidated)
{
    for (const char *prefix : {"", "tariffs", "/a/", "/a//b", "/a/../b", "/a b", "/a%20b", "/a?b",
                               "/.tamarackridge", "/.tamarackridge/x"}) {
        config_objects objects = fakes::sampleObjects();
        objects.routes.front().pathPrefix = prefix;
        EXPECT_FALSE(config_set::create(std::move(objects)).has_value()) << prefix;
    }
}
