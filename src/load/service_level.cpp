#include "load/service_level.h"

#include "load/ideal_bucket.h"

#include <algorithm>

namespace tamarackridge::load {
namespace {

std::vector<ideal_bucket> makeBuckets(const load_plan &plan)
{
    std::vector<ideal_bucket> buckets;
    for (const load_customer &customer : plan.customers)
        buckets.emplace_back(customer.limit);
    return buckets;
}

/// \returns pointers to \a elements in order of \a time.
template <typename Element>
std::vector<const Element *> sortedBy(const std::vector<Element> &elements, duration Element::*time)
{
    std::vector<const Element *> sorted;
    sorted.reserve(elements.size());
    for (const Element &element : elements)
        sorted.push_back(&element);
    std::sort(sorted.begin(), sorted.end(), [time](const Element *left, const Element *right) {
        return left->*time < right->*time;
    });
    return sorted;
}

} // namespace

double service_level::servedRatio() const
{
    if (withinRate == 0)
        return 1.0;
    return std::min(1.0, static_cast<double>(complete) / static_cast<double>(withinRate));
}

std::vector<service_level> measureServiceLevels(const load_plan &plan, const run_records &records)
{
    std::vector<service_level> received(plan.customers.size());
    std::vector<ideal_bucket> requestBuckets = makeBuckets(plan);
    for (const request_record *request :
         sortedBy(records.requests, &request_record::intendedStart)) {
        service_level &customer = received[request->customer];
        if (requestBuckets[request->customer].take(request->intendedStart))
            ++customer.withinRate;
        if (request->outcome == request_outcome::complete)
            ++customer.complete;
    }
    // Every send counts against the rate here, so resends use up the rate of their customer.
    std::vector<ideal_bucket> sendBuckets = makeBuckets(plan);
    std::vector<std::size_t> idealTaken(plan.customers.size());
    std::vector<std::size_t> admitted(plan.customers.size());
    for (const send_record *send : sortedBy(records.sends, &send_record::at)) {
        const std::size_t customer = send->customer;
        idealTaken[customer] += sendBuckets[customer].take(send->at) ? 1 : 0;
        admitted[customer] += send->refusedByRateLimit ? 0 : 1;
        // If a customer exceeds its rate, the fleet may admit other sends than the ideal bucket, so
        // totals are compared.
        if (idealTaken[customer] > admitted[customer]) {
            std::size_t &wrongful = received[customer].wrongfulRefusals;
            wrongful = std::max(wrongful, idealTaken[customer] - admitted[customer]);
        }
    }
    return received;
}

} // namespace tamarackridge::load
