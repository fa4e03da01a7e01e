// Prints the sections `sizes` and `memory` of capacity_slopes: encoded bytes and heap bytes.
#include "allocation_counter.h"
#include "capacity_slopes.h"
#include "scenario/sample_fleet.h"
#include "tamarackridge/config"
#include "tamarackridge/ledger"
#include "tamarackridge/quota"

using namespace std::chrono_literals;

namespace tamarackridge::bench {
namespace {

std::int64_t liveBytes()
{
    return static_cast<std::int64_t>(allocatedBytes - freedBytes);
}

double perItem(std::int64_t before, std::size_t items)
{
    return static_cast<double>(liveBytes() - before) / static_cast<double>(items);
}

std::vector<token_amount> sampleAmounts(std::size_t customers)
{
    std::vector<token_amount> amounts;
    for (std::size_t index = 0; index < customers; ++index)
        amounts.push_back({"customer-" + std::to_string(index), 12 * microTokensPerRequest});
    return amounts;
}

void printSize(const char *what, const peer_message &message)
{
    const frame_header header{sampleMember(0, 0).node, 0x9000000000000001U, 1'000'000};
    print(what, static_cast<double>(encodePeerMessage(header, message).size()), "bytes");
}

entry_summary sampleSummary(std::size_t members)
{
    entry_summary result;
    for (std::size_t index = 0; index < members; ++index) {
        const member item = sampleMember(index % zonesOfFleet, index / zonesOfFleet);
        result.stamps.push_back({entry_kind::member, item.node.name, item.version()});
    }
    return result;
}

http_request sampleRequest()
{
    return {"GET", "/api/service-17/items/7", {{"accept", "application/json"}}, nullptr};
}

void printCallSizes()
{
    dispatch call;
    call.context.route = "service-17";
    call.context.service = "service-17";
    call.context.customer = "customer-17";
    call.context.deadlineLeft = 800ms;
    call.request = sampleRequest();
    printSize("dispatch without body", call);
    dispatch_response response;
    response.response = {200, {{"content-type", "application/json"}}, nullptr};
    response.load = {10, 120, 60, 3};
    printSize("dispatch_answer without body", response);
    printSize("dispatch_cancel", dispatch_cancel{});
}

void printMemberMemory()
{
    constexpr std::size_t members = 5800;
    std::int64_t before = liveBytes();
    directory known;
    for (std::size_t index = 0; index < members; ++index)
        known.merge(sampleMember(index % zonesOfFleet, index / zonesOfFleet), {});
    print("directory, per member", perItem(before, members), "bytes");
    seeded_random random(1);
    before = liveBytes();
    const std::unique_ptr<node_core> core = coreWith(members, random, time_point(1h));
    print("node_core, per member (directory, router, owners)", perItem(before, members), "bytes");
}

void printQuotaMemory()
{
    constexpr std::size_t count = 10'000;
    std::vector<customer_rate> customers;
    for (std::size_t index = 0; index < count; ++index)
        customers.push_back({"customer-" + std::to_string(index), 100, 200});
    seeded_random random(1);
    std::int64_t before = liveBytes();
    slot_holder holder(random);
    holder.setCustomers(customers, time_point(1h));
    print("slot_holder, per customer", perItem(before, count), "bytes");
    std::vector<node_ref> holders;
    for (std::size_t index = 0; index < 36; ++index)
        holders.push_back(sampleMember(index % zonesOfFleet, index).node);
    before = liveBytes();
    token_pool pool(coreOptions().self, {}, &holder, random);
    pool.setCustomers(customers);
    pool.setHolders(holders);
    print("token_pool, per idle customer, 36 holders", perItem(before, count), "bytes");
    for (const customer_rate &customer : customers)
        pool.trySpend(customer.name, time_point(1h));
    std::vector<send_peer> out;
    pool.tick(time_point(1h), out);
    out.clear();
    print("token_pool, per customer that has asked, 36 holders", perItem(before, count), "bytes");
}

config_objects sampleObjects(std::size_t keys, std::size_t routes, random_source &random)
{
    config_objects objects;
    objects.zones = {{"a", 4}};
    objects.priorities = {{"lookup", 10}};
    for (std::size_t index = 0; index < 500; ++index)
        objects.customers.push_back({"customer-" + std::to_string(index), 100, 200});
    for (std::size_t index = 0; index < 600; ++index)
        objects.services.push_back({"service-" + std::to_string(index)});
    for (std::size_t index = 0; index < routes; ++index) {
        const std::string name = "route-" + std::to_string(index);
        objects.routes.push_back(
                {name, "/api/" + name, {"GET"}, "service-1", "lookup", false, true, 800ms, 4});
    }
    for (std::size_t index = 0; index < keys; ++index)
        objects.keys.push_back(issueKey("customer-" + std::to_string(index % 500), random).entry);
    return objects;
}

void printConfigMemory()
{
    seeded_random random(1);
    const auto heap = [&random](std::size_t keys, std::size_t routes) {
        config_objects objects = sampleObjects(keys, routes, random);
        const std::int64_t before = liveBytes();
        const config_set set = config_set::create(config_objects(objects)).value();
        return std::pair(static_cast<double>(liveBytes() - before),
                         static_cast<double>(toJson(set).size()));
    };
    const auto [base, baseText] = heap(0, 600);
    const auto [withKeys, textWithKeys] = heap(5000, 600);
    const auto [withRoutes, textWithRoutes] = heap(0, 1200);
    print("config_set, 600 services and routes, 500 customers", base, "bytes");
    print("config_set, per key", (withKeys - base) / 5000, "bytes");
    print("config_set, per route", (withRoutes - base) / 600, "bytes");
    print("config_state JSON, 600 routes, 500 customers, 0 keys", baseText, "bytes");
    print("config_state JSON, per key", (textWithKeys - baseText) / 5000, "bytes");
    print("config_state JSON, per route", (textWithRoutes - baseText) / 600, "bytes");
    config_delta delta;
    delta.upserts.customers = {{"customer-7", 5, 5}};
    print("config_delta of one customer, JSON", static_cast<double>(toJson(delta).size()), "bytes");
}

void printLedgerMemory()
{
    constexpr std::size_t count = 10'000;
    seeded_random random(1);
    ledger ids(coreOptions().self, {}, random, time_point(1h));
    std::vector<ledger_key> keys;
    keys.reserve(count);
    const std::int64_t before = liveBytes();
    for (std::size_t index = 0; index < count; ++index) {
        keys.push_back(ids.reserve());
        ids.begin(keys.back(), "customer-17", 1, time_point(1h));
    }
    print("ledger, per running record", perItem(before, count), "bytes");
    const http_response response{200, {{"content-type", "application/json"}}, nullptr};
    for (const ledger_key &key : keys) {
        http_response stored = response;
        stored.body = std::make_shared<const std::string>(std::string(256, 'x'));
        ids.answered(key, stored);
    }
    print("ledger, per answered record with 256 bytes of body", perItem(before, count), "bytes");
}

void printRequestMemory()
{
    constexpr std::size_t count = 50;
    scenario::sample_fleet sample({.seed = 1}, {{"andes", 4'000'000, 4'000'000}});
    sample.fleet.run(20s);
    const time_point now = sample.fleet.events().now();
    node_core &core = sample.fleet.core("a-movements");
    const http_request request = sample.request("GET", "/movements", "andes", "bench");
    action_list out;
    out.reserve(1000);
    const std::int64_t before = liveBytes();
    for (std::size_t call = 0; call < count; ++call)
        core.callerRequest(1'000'000 + call, request, now, out);
    print("in-flight request, with its outgoing actions", perItem(before, count), "bytes");
    const std::size_t actions = out.size();
    out.clear();
    print("in-flight request, kept by the node core", perItem(before, count), "bytes");
    print("actions of one request", static_cast<double>(actions) / count, "");
}

} // namespace

void printSizes()
{
    printSize("heartbeat, 1 zone", sampleHeartbeat(1));
    printSize("heartbeat, 4 zones", sampleHeartbeat(4));
    printSize("heartbeat, 9 zones", sampleHeartbeat(9));
    printSize("entries, 1 member", sampleEntries(1));
    printSize("entries, 640 members", sampleEntries(640));
    printSize("entries, 5800 members", sampleEntries(5800));
    printSize("entry_summary, 640 members", sampleSummary(640));
    printSize("entry_summary, 5800 members", sampleSummary(5800));
    printSize("token_request, 1 customer", token_request{1'000'000, sampleAmounts(1)});
    printSize("token_request, 8 customers", token_request{1'000'000, sampleAmounts(8)});
    printSize("token_grant, 1 customer",
              token_grant{1'000'000, 0x7000000000000000U, 2s, sampleAmounts(1)});
    printSize("token_grant, 8 customers",
              token_grant{1'000'000, 0x7000000000000000U, 2s, sampleAmounts(8)});
    printSize("token_report, 1 customer", token_report{0x7000000000000000U, sampleAmounts(1), {}});
    printSize("token_report, 8 customers", token_report{0x7000000000000000U, sampleAmounts(8), {}});
    printSize("config_fetch", config_fetch{9'000});
    printSize("config_records, 1 record of 300 bytes",
              config_records{{{9'000, 5ms, std::string(300, 'x')}}});
    printCallSizes();
}

void printMemory()
{
    printMemberMemory();
    printQuotaMemory();
    printConfigMemory();
    printLedgerMemory();
    printRequestMemory();
}

} // namespace tamarackridge::bench
