#pragma once

#include "fakes/loop_runner.h"
#include "sidecar/sidecar_app.h"

#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

namespace tamarackridge::fakes {

/// Platform whose store holds one configuration and a fixed list of nodes. Each notice is a report
/// of the server that is set as \a report.
class fixed_platform final : public platform_gateway
{
public:
    header_names headers() const override
    {
        return {"Id", "Time-Left", "Key", "Customer", "Caller", "Instance", "Leaving"};
    }
    response_header_names responseHeaderNames() const override
    {
        return {"Id", "Not-Run", "Seal", "Rate", "Leaving", "Instance"};
    }
    tl::expected<published_set, std::string> decodeSet(std::string_view) const override
    {
        return set;
    }
    server_notice decodeNotice(const http_request &) const override { return report; }
    void readSet(handler<stored_set> done) override { done(stored_set{"set", 1}); }
    void readNextSet(std::int64_t, duration, handler<stored_set>) override { }
    void onStoreRestored(std::function<void()>) override { }
    void onRecordRefused(std::function<void(std::string_view)>) override { }
    store_era era() const override { return unknownEra; }
    void registerNode(const registered_node &, handler<std::monostate> done) override
    {
        done(std::monostate());
    }
    void unregisterNode(const std::string &, handler<std::monostate>) override { }
    void listNodes(handler<std::vector<registered_node>> done) override { done(nodes); }
    void putDeparture(const stored_departure &, handler<std::monostate> done) override
    {
        done(std::monostate());
    }
    void eraseDeparture(const std::string &, handler<std::monostate>) override { }
    void listDepartures(handler<std::vector<stored_departure>> done) override { done({}); }
    void putCrashes(std::span<const stored_crash>, handler<std::monostate>) override { }
    void listCrashes(handler<std::vector<stored_crash>> done) override { done({}); }
    void sweep(time_point) override { }

    published_set set;
    std::vector<registered_node> nodes;
    server_report report;
};

/// Two nodes: callers use `front`, whose requests run beside `orders`.
struct sidecar_pair : testing::Test
{
    boost::asio::io_context loop;
    /// Loop of `front` and the callers in tests in which `front` is not run for some time, as if
    /// its VM were cut off from the network.
    boost::asio::io_context separateLoop;
    boost::asio::io_context *frontLoop = &loop;
    duration routeTimeout = std::chrono::seconds(6);
    fixed_platform platform;
    sidecar_settings frontSettings = settingsOf("front");
    sidecar_settings ordersSettings = settingsOf("orders");
    std::unique_ptr<sidecar_app> front;
    std::unique_ptr<sidecar_app> orders;

    static sidecar_settings settingsOf(const std::string &service)
    {
        constexpr std::int64_t maxStopSeconds = 3;
        sidecar_settings settings;
        settings.zone = "a";
        settings.zones = {"a"};
        settings.name = "node-" + service;
        settings.service = service;
        for (socket_address sidecar_settings::*address :
             {&sidecar_settings::callers, &sidecar_settings::health, &sidecar_settings::control,
              &sidecar_settings::backend, &sidecar_settings::peers, &sidecar_settings::metrics,
              &sidecar_settings::store})
            settings.*address = freeAddress();
        settings.maxStopSeconds = maxStopSeconds;
        return settings;
    }

    published_route readRoute() const
    {
        published_route route;
        route.name = "read";
        route.host = "shop.example";
        route.pathPrefix = "/read/";
        route.targets = {{"orders", 1}};
        route.timeout = routeTimeout;
        return route;
    }

    void startNodes()
    {
        platform.set.version = 1;
        platform.set.routes = {readRoute()};
        platform.set.customers = {{"andina", {"key-1"}, 0, 0, 0}};
        platform.set.text = std::make_shared<const std::string>("set");
        constexpr std::uint32_t slots = 100;
        platform.report = {"i-1", "orders", ordersSettings.backend.text(), 1, 1, slots, false};
        for (const sidecar_settings &settings : {frontSettings, ordersSettings})
            platform.nodes.push_back({{settings.name, settings.peers.text()}, unknownEra});
        front = std::make_unique<sidecar_app>(*frontLoop, frontSettings, platform);
        orders = std::make_unique<sidecar_app>(loop, ordersSettings, platform);
        front->start();
        orders->start();
        m_reporter.connect(ordersSettings.control.endpoint());
        boost::asio::write(m_reporter,
                           boost::asio::buffer(std::string("PUT / HTTP/1.1\r\nHost: h\r\n\r\n")));
    }

private:
    tcp::socket m_reporter{loop};
};

} // namespace tamarackridge::fakes
