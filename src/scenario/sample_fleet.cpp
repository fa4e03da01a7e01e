#include "scenario/sample_fleet.h"

#include "tamarackridge/config"

#include <algorithm>

namespace tamarackridge::scenario {
namespace {

route makeRoute(std::string name, std::string prefix, std::string method, std::string service,
                std::string priority)
{
    route result;
    result.name = std::move(name);
    result.pathPrefix = std::move(prefix);
    result.methods = {std::move(method)};
    result.service = std::move(service);
    result.priority = std::move(priority);
    result.idempotent = true;
    result.deadline = std::chrono::milliseconds(1000);
    result.attempts = 3;
    return result;
}

} // namespace

sample_configuration sampleConfiguration(const std::vector<std::string> &zones,
                                         const std::vector<sample_customer> &customers,
                                         random_source &random)
{
    sample_configuration result;
    config_objects objects;
    for (const std::string &name : zones)
        objects.zones.push_back({name, 4});
    objects.priorities = {{"lookup", 50}, {"critical", 200}};
    objects.services = {{"invoicing"}, {"movements"}, {"tariffs"}};
    for (const sample_customer &entry : customers) {
        objects.customers.push_back({entry.name, entry.rate, entry.burst});
        const issued_key key = issueKey(entry.name, random);
        objects.keys.push_back(key.entry);
        result.keys[entry.name] = key.presented;
    }
    route status = makeRoute("status", "/status", "GET", "movements", "lookup");
    status.open = true;
    route post = makeRoute("post-invoice", "/invoices", "POST", "invoicing", "critical");
    post.idempotent = false;
    objects.routes = {status, makeRoute("movements", "/movements", "GET", "movements", "lookup"),
                      makeRoute("invoices", "/invoices", "GET", "invoicing", "lookup"), post,
                      makeRoute("tariffs", "/tariffs", "GET", "tariffs", "lookup")};
    result.text = toJson(config_set::create(std::move(objects)).value());
    return result;
}

sample_fleet::sample_fleet(fleet_options options, const std::vector<sample_customer> &customers,
                           std::vector<std::string> zoneNames)
    : random(options.seed + 1)
    , zones(std::move(zoneNames))
    , configuration(sampleConfiguration(zones, customers, random))
    , fleet(options)
{
    fleet.publish(configuration.text);
    for (const std::string &zone : zones) {
        fleet.start(
                {zone, zone + "-movements", {"movements", 50, std::chrono::milliseconds(5), {}}});
        fleet.start({zone,
                     zone + "-invoicing",
                     {"invoicing", 25, std::chrono::milliseconds(10), {"/tariffs"}}});
        fleet.start({zone, zone + "-tariffs", {"tariffs", 50, std::chrono::milliseconds(5), {}}});
    }
}

http_request sample_fleet::request(std::string_view method, std::string_view target,
                                   std::string_view customer, std::string_view marker) const
{
    http_request result;
    result.method = std::string(method);
    result.target = std::string(target);
    result.headers.push_back({"X-Request-Marker", std::string(marker)});
    const auto key = configuration.keys.find(std::string(customer));
    if (key != configuration.keys.end())
        result.headers.push_back({"Authorization", "Bearer " + key->second});
    return result;
}

http_request sample_fleet::write(std::string_view customer, std::string_view marker,
                                 std::string_view id) const
{
    http_request result = request("POST", "/invoices", customer, marker);
    result.headers.push_back({"Tamarackridge-Request-Id", std::string(id)});
    result.body = std::make_shared<const std::string>("invoice " + std::string(marker));
    return result;
}

std::string sample_fleet::newRequestId(const std::string &node, std::string_view customer)
{
    std::string id;
    http_request idRequest = request("POST", "/invoices", customer, "id");
    fleet.call(node, std::move(idRequest), [&id](const http_response &response) {
        id = std::string(headerValue(response.headers, "Tamarackridge-Request-Id"));
    });
    fleet.run(std::chrono::milliseconds(5));
    return id;
}

std::size_t sample_fleet::executionsOf(std::string_view marker) const
{
    const std::vector<execution_record> &all = fleet.executions();
    return static_cast<std::size_t>(
            std::count_if(all.begin(), all.end(), [marker](const execution_record &record) {
                return record.marker == marker;
            }));
}

} // namespace tamarackridge::scenario
