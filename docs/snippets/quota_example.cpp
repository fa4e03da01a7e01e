// Shows how a node combines slot tenure, minting and spending of tokens, with a log in memory and
// one node.
#include "tamarackridge/core"
#include "tamarackridge/quota"

#include <cstdio>

using namespace tamarackridge;

int main()
{
    seeded_random random(1);
    const node_ref self{"oviedo", "node-1", random.next()};
    time_point now(std::chrono::hours(1));

    slot_tenure tenure(self, tenure_options::forFleet(1, 4), random);
    slot_holder holder(random);
    token_pool pool(self, pool_options::forFleet(1, 4), &holder, random);

    // Must be repeated for each new configuration.
    const std::vector<quota_zone> zones{{"oviedo", 4}};
    const std::vector<customer_rate> customers{
            {"cordillera", 100 * microTokensPerRequest, 200 * microTokensPerRequest}};
    tenure.setZones(zones, now);
    holder.setCustomers(customers, now);
    pool.setCustomers(customers);

    // Reads the stream `quota` and ticks every 100 ms.
    std::vector<std::string> log;
    std::size_t nextOffset = 0;
    tenure.onReadStarted(0);
    for (int tick = 0; tick < 300; ++tick, now += std::chrono::milliseconds(100)) {
        for (; nextOffset < log.size(); ++nextOffset)
            tenure.onRecord(static_cast<std::int64_t>(nextOffset), {}, log[nextOffset], now);
        tenure.onCaughtUp(now);
        for (const tenure_append &append : tenure.tick(now)) {
            log.push_back(append.text);
            tenure.onAppendDone(true);
        }
        holder.setSlots(tenure.held(now), now);
    }

    // For each request: without a token it may wait if a grant is expected.
    const bool admitted = pool.trySpend("cordillera", now);
    const bool mayWait = !admitted && pool.expectsGrant("cordillera", now);
    std::printf("slots held: %zu, admitted: %d, may wait: %d\n", tenure.held(now).size(), admitted,
                mayWait);
    return admitted && tenure.held(now).size() == 4 ? 0 : 1;
}
