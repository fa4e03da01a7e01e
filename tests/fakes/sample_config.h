#pragma once

#include "tamarackridge/config"

#include <string>

namespace tamarackridge::fakes {

/// \brief Creates a small valid set with two zones, three priorities, two customers and four
/// routes.
inline config_objects sampleObjects()
{
    using std::chrono::milliseconds;
    config_objects objects;
    objects.zones = {{"bilbao", 4}, {"oviedo", 4}};
    objects.priorities = {{"critical", 200}, {"lookup", 10}, {"write", 100}};
    objects.services = {{"invoicing"}, {"tariffs"}};
    objects.customers = {{"acme", 100, 200}, {"globex", 10, 20}};
    objects.routes = {{"invoices-post",
                       "/invoices",
                       {"POST"},
                       "invoicing",
                       "critical",
                       false,
                       false,
                       milliseconds(2000),
                       3},
                      {"invoices-drafts",
                       "/invoices/drafts",
                       {"GET"},
                       "invoicing",
                       "lookup",
                       false,
                       true,
                       milliseconds(800),
                       4},
                      {"status",
                       "/status",
                       {"GET", "HEAD"},
                       "tariffs",
                       "lookup",
                       true,
                       true,
                       milliseconds(300),
                       2},
                      {"tariffs-get",
                       "/tariffs",
                       {"GET"},
                       "tariffs",
                       "lookup",
                       false,
                       true,
                       milliseconds(500),
                       4}};
    return objects;
}

inline config_set sampleSet()
{
    return config_set::create(sampleObjects()).value();
}

} // namespace tamarackridge::fakes
