#include "fakes/raw_server.h"
#include "node/fleet_key.h"
#include "node/node_app.h"

#include <gtest/gtest.h>

#include <fstream>

namespace tamarackridge {
namespace {

using fakes::raw_connection;

constexpr std::string_view headEnd = "\r\n\r\n";

std::string text(std::string_view path)
{
    return "GET " + std::string(path) + " HTTP/1.1\r\nHost: h\r\n\r\n";
}

node_settings minimalSettings()
{
    node_settings settings;
    settings.zone = "z";
    settings.name = "n";
    settings.callers.address = "127.0.0.1";
    settings.peerBind = "ipc://@tamarackridge-app-" + std::to_string(getpid());
    settings.peerEndpoint = settings.peerBind;
    const key_pair keys = newKeyPair();
    settings.fleetPublicKey = keys.publicKey;
    settings.fleetSecretKey = keys.secretKey;
    return settings;
}

// Guards against threads that do not start, requests without a response, and a shutdown that does
// not complete. Also guards against request records that contain the query, which may hold secrets.
TEST(node_app, responds_to_requests_and_drains)
{
    const std::string recordName = testing::TempDir() + "requests-" + std::to_string(getpid());
    node_settings settings = minimalSettings();
    settings.requestFile = recordName;
    {
        node_app node(settings);
        EXPECT_FALSE(node.supervise().has_value());
        raw_connection caller(raw_connection::connectTo(node.callerPort()));
        caller.write(text("/.tamarackridge/status"));
        EXPECT_TRUE(caller.readUntil(headEnd).starts_with("HTTP/1.1 200 "));
        caller.readUntil("]}");
        caller.write(text("/no/such/route?key=secret"));
        EXPECT_TRUE(caller.readUntil(headEnd).starts_with("HTTP/1.1 "));
        node.drain();
        while (!node.drained())
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    std::ifstream file(recordName);
    std::string record;
    std::getline(file, record);
    EXPECT_NE(record.find(R"("path":"/no/such/route")"), std::string::npos) << record;
    EXPECT_EQ(record.find("secret"), std::string::npos) << record;
    std::remove(recordName.c_str());
}

// Guards against two nodes on the same port: one of them would look healthy but serve no requests.
TEST(node_app, occupied_port_is_an_error)
{
    node_settings settings = minimalSettings();
    const node_app first(settings);
    settings.callers.port = first.callerPort();
    settings.peerBind += "-second";
    EXPECT_THROW(const node_app second(settings), std::runtime_error);
}

// Guards against a node that starts with a key pair that no peer accepts.
TEST(node_settings, fleet_key_pair_is_checked)
{
    const node_settings settings = minimalSettings();
    EXPECT_TRUE(isKeyPair(settings.fleetPublicKey, settings.fleetSecretKey));
    EXPECT_FALSE(isKeyPair(settings.fleetSecretKey, settings.fleetPublicKey));
    EXPECT_FALSE(isKeyPair(settings.fleetPublicKey, settings.fleetPublicKey));
    EXPECT_FALSE(isKeyPair("", ""));
}

// Guards against errors in a settings file that are not reported: a missing required field, and
// keys that are not a pair.
TEST(node_settings, all_errors_are_reported)
{
    const std::string name = testing::TempDir() + "settings-" + std::to_string(getpid());
    std::ofstream(name) << R"({"node": {"zone": "z"}, "callers": {"port": 80},
        "peers": {"bind": "b", "endpoint": "e", "public_key": "p", "secret_key": "s"}})";
    node_settings settings;
    std::vector<std::string> paths;
    for (const settings_error &error : readNodeSettings(name, settings))
        paths.push_back(error.path);
    EXPECT_EQ(paths, (std::vector<std::string>{"node.name", "peers.secret_key"}));
    std::remove(name.c_str());
}

} // namespace
} // namespace tamarackridge
