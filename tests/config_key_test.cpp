#include "fakes/sample_config.h"
#include "tamarackridge/src/base/seeded_random.h"

#include <gtest/gtest.h>

using namespace tamarackridge;

namespace {

class config_key : public ::testing::Test
{
protected:
    config_key()
    {
        m_objects.keys = {m_acme.entry, m_globex.entry};
        install(1);
    }
    void install(std::int64_t version)
    {
        m_store.install(std::make_shared<const config_set>(config_set::create(m_objects).value()),
                        version);
    }
    std::string ownerOf(std::string_view presented)
    {
        const tl::expected<const customer *, error_kind> owner = m_store.verify(presented);
        return owner ? (*owner)->name : std::string(responseFor(owner.error()).name);
    }

    seeded_random m_random{7};
    issued_key m_acme = issueKey("acme", m_random);
    issued_key m_globex = issueKey("globex", m_random);
    config_objects m_objects = fakes::sampleObjects();
    key_store m_store{42, 2};
};

} // namespace

// Guards against a key that is accepted for another customer.
TEST_F(config_key, KeyIsAcceptedForItsCustomerOnly)
{
    for (int round = 0; round < 2; ++round) { // The second round is served from the cache.
        EXPECT_EQ(ownerOf(m_acme.presented), "acme");
        EXPECT_EQ(ownerOf(m_globex.presented), "globex");
    }
    EXPECT_EQ(m_store.cacheHits(), 2U);
    const std::string crossed =
            m_acme.entry.name + m_globex.presented.substr(m_globex.presented.find('.'));
    EXPECT_EQ(ownerOf(crossed), "key_unknown");
}

// Guards against accepting a prefix of a key, a longer text, or a key with one changed character.
TEST_F(config_key, OnlyTheCompleteKeyIsAccepted)
{
    const std::string key = m_acme.presented;
    EXPECT_EQ(ownerOf(key), "acme");
    for (std::size_t index = 0; index < key.size(); ++index) {
        std::string changed = key;
        changed[index] = changed[index] == '0' ? '1' : '0';
        EXPECT_EQ(ownerOf(changed), "key_unknown") << index;
        EXPECT_NE(ownerOf(key.substr(0, index)), "acme") << index;
    }
    EXPECT_EQ(ownerOf(key + "0"), "key_unknown");
    EXPECT_EQ(ownerOf(std::string(5000, 'x')), "key_unknown");
    EXPECT_EQ(ownerOf(""), "key_missing");
    EXPECT_EQ(ownerOf("."), "key_unknown");
}

// Guards against accepting a withdrawn key because of a cached verification.
TEST_F(config_key, WithdrawnKeyIsRefusedWithItsVersion)
{
    EXPECT_EQ(ownerOf(m_acme.presented), "acme");
    m_objects.keys.erase(m_objects.keys.begin());
    install(2);
    EXPECT_EQ(ownerOf(m_acme.presented), "key_unknown");
    EXPECT_EQ(ownerOf(m_globex.presented), "globex");
}

// Guards against a cached pointer to a customer of an earlier set.
TEST_F(config_key, KeyMovesToAnotherCustomerWithItsVersion)
{
    EXPECT_EQ(ownerOf(m_acme.presented), "acme");
    m_objects.keys.front().customer = "globex";
    install(2);
    EXPECT_EQ(ownerOf(m_acme.presented), "globex");
}

// Guards against wrong results when the cache evicts entries.
TEST_F(config_key, SmallCacheStaysCorrect)
{
    std::vector<issued_key> keys;
    for (int count = 0; count < 100; ++count) {
        keys.push_back(issueKey(count % 2 == 0 ? "acme" : "globex", m_random));
        m_objects.keys.push_back(keys.back().entry);
    }
    install(2);
    for (int round = 0; round < 3; ++round) {
        for (const issued_key &key : keys)
            EXPECT_EQ(ownerOf(key.presented), key.entry.customer);
    }
}

// Guards against a comparison that accepts texts of different length or content.
TEST(ConfigKeyMaterial, ComparesAllBytes)
{
    EXPECT_TRUE(equalInConstantTime("abc", "abc"));
    EXPECT_FALSE(equalInConstantTime("abc", "abd"));
    EXPECT_FALSE(equalInConstantTime("abc", "abcd"));
    EXPECT_FALSE(equalInConstantTime("", "a"));
}

// Guards against an HMAC other than HMAC-SHA-256. The expected value comes from Python's hmac
// module, since test case 1 of RFC 4231 needs a 20-byte key and the salt has 16 bytes.
TEST(ConfigKeyMaterial, MatchesHmacSha256)
{
    key_salt salt{};
    salt.fill(0x0b);
    const key_hmac hmac = hmacOf(salt, "Hi There");
    const key_hmac expected{0x49, 0x2c, 0xe0, 0x20, 0xfe, 0x25, 0x34, 0xa5, 0x78, 0x9d, 0xc3,
                            0x84, 0x88, 0x06, 0xc7, 0x8f, 0x4f, 0x67, 0x11, 0x39, 0x7f, 0x08,
                            0xe7, 0xe7, 0xa1, 0x2c, 0xa5, 0xa4, 0x48, 0x3c, 0x8a, 0xa6};
    EXPECT_EQ(hmac, expected);
}

// Guards against storing the secret of a key in the set.
TEST_F(config_key, SecretIsNotPartOfTheSet)
{
    const config_set set = config_set::create(m_objects).value();
    const std::string secret = m_acme.presented.substr(m_acme.presented.find('.') + 1);
    EXPECT_EQ(toJson(set).find(secret), std::string::npos);
}
