#include "ctl/commands.h"

#include "fakes/sample_config.h"
#include "fakes/service_transport.h"
#include "tamarackridge/src/base/seeded_random.h"

#include <gtest/gtest.h>

#include <fstream>
#include <sstream>

using namespace tamarackridge;

namespace {

class ctl_commands : public ::testing::Test
{
protected:
    ~ctl_commands() override { std::remove(m_file.c_str()); }

    exit_code run(const std::vector<std::string> &arguments)
    {
        m_out.str("");
        m_errors.str("");
        config_client client(m_log, m_random, [](duration) {});
        commands session(client, m_transport, m_random, m_options, m_out, m_errors);
        return session.run(arguments);
    }
    exit_code publish(const config_objects &objects, std::optional<std::int64_t> base)
    {
        write(toJson(config_set::create(objects).value()));
        m_options.base = base;
        const exit_code code = run({"publish", m_file});
        m_options.base.reset();
        return code;
    }
    void write(const std::string &text) { std::ofstream(m_file) << text; }
    std::shared_ptr<const config_set> inForce()
    {
        config_client client(m_log, m_random, [](duration) {});
        client.catchUp();
        return std::make_shared<const config_set>(
                config_set::create(client.current().objects()).value());
    }

    std::string m_file = ::testing::TempDir() + "ctl_commands_"
                         + ::testing::UnitTest::GetInstance()->current_test_info()->name()
                         + ".json";
    fakes::service_transport m_transport;
    platform_log m_log{m_transport, "http://log"};
    seeded_random m_random{5};
    command_options m_options;
    std::ostringstream m_out;
    std::ostringstream m_errors;
};

} // namespace

// Guards against a check that accepts an invalid file or reports only some of its errors.
TEST_F(ctl_commands, CheckListsAllErrors)
{
    write(R"({"customers": {"a": {"rate": 0, "burst": 0}}, "zones": {"z": {"x": 1}}})");
    EXPECT_EQ(run({"check", m_file}), exit_code::invalid);
    EXPECT_EQ(m_errors.str(), "customers/a.burst: expected a whole number from 1 to 100000000\n"
                              "customers/a.rate: expected a whole number from 1 to 10000000\n"
                              "zones/z.x: unknown field\n");
    m_options.json = true;
    EXPECT_EQ(run({"check", m_file}), exit_code::invalid);
    EXPECT_NE(m_out.str().find(R"({"field":"x","message":"unknown field","object":"zones/z"})"),
              std::string::npos);
    EXPECT_EQ(run({"check", m_file + ".none"}), exit_code::usage);
}

// Guards against invalid commands that are executed or exit with success.
TEST_F(ctl_commands, InvalidUsageHasItsOwnExitCode)
{
    for (const std::vector<std::string> &arguments : std::vector<std::vector<std::string>>{
                 {}, {"publish"}, {"keys"}, {"keys", "issue"}, {"check", "a", "b"}, {"status"}})
        EXPECT_EQ(run(arguments), exit_code::usage);
}

// Guards against a conflict that a script cannot distinguish from other failures.
TEST_F(ctl_commands, ConflictHasItsOwnExitCode)
{
    EXPECT_EQ(publish(fakes::sampleObjects(), -1), exit_code::success);
    config_objects changed = fakes::sampleObjects();
    changed.customers.front().rate = 9;
    EXPECT_EQ(publish(changed, -1), exit_code::conflict);
    EXPECT_NE(m_errors.str().find("version in force: 0"), std::string::npos);
    m_transport.setFaults(R"({"unavailable_ms": 60000})");
    EXPECT_EQ(publish(changed, 0), exit_code::log_unavailable);
}

// Guards against a secret that is written to the log, an issued key that is not accepted and a
// withdrawn key that is still accepted.
TEST_F(ctl_commands, KeysAreIssuedAndWithdrawn)
{
    ASSERT_EQ(publish(fakes::sampleObjects(), -1), exit_code::success);
    EXPECT_EQ(run({"keys", "issue", "nobody"}), exit_code::not_found);
    ASSERT_EQ(run({"keys", "issue", "acme"}), exit_code::success);
    const std::string text = m_out.str();
    const std::string key =
            text.substr(text.find('\n') + 1, text.rfind('\n') - text.find('\n') - 1);
    const std::string id = key.substr(0, key.find('.'));
    key_store store(1);
    store.install(inForce(), 1);
    EXPECT_EQ(store.verify(key).value()->name, "acme");
    EXPECT_EQ(toJson(*inForce()).find(key.substr(key.find('.') + 1)), std::string::npos);

    EXPECT_EQ(run({"keys", "withdraw", "none"}), exit_code::not_found);
    ASSERT_EQ(run({"keys", "withdraw", id}), exit_code::success);
    store.install(inForce(), 2);
    EXPECT_EQ(store.verify(key).error(), error_kind::key_unknown);
}

// Guards against a publication that drops issued keys or restores withdrawn ones.
TEST_F(ctl_commands, FilesWithoutKeysKeepTheKeysAndFilesWithKeysRequireABase)
{
    ASSERT_EQ(publish(fakes::sampleObjects(), -1), exit_code::success);
    ASSERT_EQ(run({"keys", "issue", "acme"}), exit_code::success);
    config_objects changed = fakes::sampleObjects();
    changed.customers.front().rate = 9;
    ASSERT_EQ(publish(changed, std::nullopt), exit_code::success);
    EXPECT_EQ(inForce()->objects().keys.size(), 1U);
    changed.keys = {issueKey("acme", m_random).entry};
    EXPECT_EQ(publish(changed, std::nullopt), exit_code::usage);
    EXPECT_EQ(publish(changed, 2), exit_code::success);
}

// Guards against a diff that omits a change or publishes it.
TEST_F(ctl_commands, DiffShowsChangesOnly)
{
    ASSERT_EQ(publish(fakes::sampleObjects(), -1), exit_code::success);
    config_objects changed = fakes::sampleObjects();
    changed.customers.front().rate = 9;
    changed.routes.pop_back();
    changed.services.push_back({"booking"});
    write(toJson(config_set::create(changed).value()));
    EXPECT_EQ(run({"diff", m_file}), exit_code::success);
    EXPECT_EQ(m_out.str(), "~ customers/acme\n+ services/booking\n- routes/tariffs-get\n");
    EXPECT_EQ(run({"version"}), exit_code::success);
    EXPECT_EQ(m_out.str(), "0\n");
    EXPECT_EQ(run({"history"}), exit_code::success);
    EXPECT_NE(m_out.str().find("outcome=applied"), std::string::npos);
}

// Guards against reporting a zone as current although none of its nodes responded or they lag
// behind.
TEST_F(ctl_commands, StatusListsZonesThatAreNotCurrent)
{
    ASSERT_EQ(publish(fakes::sampleObjects(), -1), exit_code::success);
    const auto page = [](const std::string &zone, int version, const std::string &age) {
        return R"({"node": "n1", "zone": ")" + zone + R"(", "config_version": )"
               + std::to_string(version) + R"(, "confirmation_age_ms": )" + age + "}";
    };
    const std::string first = "GET http://a/.tamarackridge/status";
    const std::string second = "GET http://b/.tamarackridge/status";
    m_options.nodes = {"http://a", "http://b"};
    m_transport.pages = {{first, page("oviedo", 0, "40")}};
    EXPECT_EQ(run({"status"}), exit_code::fleet_behind);
    EXPECT_NE(m_out.str().find("state=not-heard  zone=bilbao"), std::string::npos);
    for (const auto &[version, age, state] : std::vector<std::tuple<int, std::string, std::string>>{
                 {-1, "40", "behind"}, {0, "null", "unconfirmed"}, {0, "3600001", "unconfirmed"}}) {
        m_transport.pages[second] = page("bilbao", version, age);
        EXPECT_EQ(run({"status"}), exit_code::fleet_behind);
        EXPECT_NE(m_out.str().find("state=" + state + "  zone=bilbao"), std::string::npos) << state;
    }
    m_transport.pages[second] = page("bilbao", 0, "3600000");
    EXPECT_EQ(run({"status"}), exit_code::success);
}

// Guards against a change that is reported as done before every zone has applied it.
TEST_F(ctl_commands, ChangesWaitForAllZonesWhenNodesAreGiven)
{
    ASSERT_EQ(publish(fakes::sampleObjects(), -1), exit_code::success);
    m_options.nodes = {"http://a"};
    EXPECT_EQ(run({"keys", "issue", "acme"}), exit_code::fleet_behind);
    EXPECT_NE(m_out.str().find("shown only once"), std::string::npos);
    EXPECT_NE(m_errors.str().find("state=not-heard  zone=bilbao"), std::string::npos);
}

// Guards against a change that is reported as done although the log has lost records and the nodes
// therefore keep a higher version than the published one.
TEST_F(ctl_commands, ChangeBelowTheVersionOfTheNodesFails)
{
    ASSERT_EQ(publish(fakes::sampleObjects(), -1), exit_code::success);
    m_options.nodes = {"http://a", "http://b"};
    for (const char *const zone : {"oviedo", "bilbao"}) {
        const std::string url = zone == std::string("oviedo") ? "http://a" : "http://b";
        m_transport.pages["GET " + url + "/.tamarackridge/status"] =
                R"({"node": "n1", "zone": ")" + std::string(zone)
                + R"(", "config_version": 700, "confirmation_age_ms": 40})";
    }
    EXPECT_EQ(run({"keys", "issue", "acme"}), exit_code::fleet_behind);
    EXPECT_NE(m_errors.str().find("newer version than the log"), std::string::npos);
}

// Guards against a drain that is reported as done although the node did not receive it.
TEST_F(ctl_commands, DrainReachesTheNode)
{
    EXPECT_EQ(run({"drain", "http://a"}), exit_code::fleet_behind);
    m_transport.pages = {{"POST http://a/.tamarackridge/drain", "{}"}};
    EXPECT_EQ(run({"drain", "http://a"}), exit_code::success);
}
