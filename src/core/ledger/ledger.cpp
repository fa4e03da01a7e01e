#include "tamarackridge/src/ledger/ledger.h"

namespace tamarackridge {
namespace {

using verdict = ledger_decision::verdict;

ledger_decision refusal(const ledger_key &key, error_kind error)
{
    return {verdict::refuse, key, {}, error, responseFor(error).state};
}

ledger_secret generateSecret(random_source &random)
{
    ledger_secret secret{};
    for (std::size_t index = 0; index < secret.size(); ++index)
        secret[index] = static_cast<std::uint8_t>(random.next() & 0xffU);
    return secret;
}

std::size_t storedBytes(const http_response &response)
{
    std::size_t bytes = bodyView(response.body).size();
    for (const http_header &header : response.headers)
        bytes += header.name.size() + header.value.size();
    return bytes;
}

} // namespace

ledger::ledger(node_ref self, ledger_options options, random_source &random, time_point now)
    : m_self(std::move(self))
    , m_options(options)
{
    m_incarnations[m_self.incarnation] = {generateSecret(random), now, std::nullopt};
}

std::string ledger::issue(time_point now)
{
    const incarnation_state &base = m_incarnations.at(m_self.incarnation);
    const auto issued = std::chrono::duration_cast<std::chrono::milliseconds>(now - base.begin);
    request_id id{m_self, m_nextSequence++, static_cast<std::uint64_t>(issued.count()), 0};
    id.mac = requestIdMac(id, base.secret);
    return id.toString();
}

bool ledger::owns(incarnation_id incarnation) const
{
    return m_incarnations.contains(incarnation);
}

bool ledger::expired(time_point issued, time_point now) const
{
    return now - issued >= m_options.idLifetime;
}

ledger_decision ledger::begin(const request_id &id, std::string_view customer,
                              std::uint64_t requestDigest, time_point now)
{
    const ledger_key key{id.owner.incarnation, id.sequence};
    const auto base = m_incarnations.find(id.owner.incarnation);
    if (base == m_incarnations.end())
        return refusal(key, error_kind::outcome_unknown);
    if (requestIdMac(id, base->second.secret) != id.mac)
        return refusal(key, error_kind::request_id_invalid);
    const time_point issued = base->second.begin + std::chrono::milliseconds(id.issuedMs);
    if (expired(issued, now))
        return refusal(key, error_kind::request_id_expired);
    return beginIssuedAt(key, issued, customer, requestDigest);
}

ledger_decision ledger::begin(const ledger_key &key, std::string_view customer,
                              std::uint64_t requestDigest, time_point now)
{
    return beginIssuedAt(key, now, customer, requestDigest);
}

ledger_key ledger::reserve()
{
    return {m_self.incarnation, m_nextSequence++};
}

ledger_decision ledger::beginIssuedAt(const ledger_key &key, time_point issued,
                                      std::string_view customer, std::uint64_t requestDigest)
{
    // After the handover another node decides, so the run state is not known here.
    if (m_stopped)
        return refusal(key, error_kind::owner_unreachable);
    const auto found = m_records.find(key);
    if (found != m_records.end())
        return decide(found->second, key, customer, requestDigest);
    if (m_records.size() >= m_options.maxRecords) {
        // The id gets no record, so another send of it could still run: the state is not `not-run`.
        ledger_decision full = refusal(key, error_kind::overloaded);
        full.state = run_state::unknown;
        return full;
    }
    record newRecord;
    newRecord.digest = requestDigest;
    newRecord.customer = std::string(customer);
    newRecord.issued = issued;
    m_records.emplace(key, std::move(newRecord));
    return {verdict::run, key, {}, error_kind::internal_error, run_state::unknown};
}

ledger_decision ledger::decide(const record &found, const ledger_key &key,
                               std::string_view customer, std::uint64_t requestDigest)
{
    if (found.customer != customer || found.digest != requestDigest)
        return refusal(key, error_kind::request_id_reused);
    switch (found.state) {
    case ledger_state::running:
        return {verdict::wait, key, {}, error_kind::internal_error, run_state::unknown};
    case ledger_state::answered:
        return {verdict::replay, key, found.response, error_kind::internal_error,
                run_state::unknown};
    case ledger_state::refused:
        return refusal(key, error_kind::request_id_refused);
    case ledger_state::unknown:
        break;
    }
    return refusal(key, error_kind::outcome_unknown);
}

void ledger::answered(const ledger_key &key, const http_response &response)
{
    const auto found = m_records.find(key);
    if (found == m_records.end())
        return;
    const ledger_state state = found->second.state;
    if (state != ledger_state::running && state != ledger_state::unknown)
        return;
    storeResponse(key, found->second, response);
}

void ledger::storeResponse(const ledger_key &key, record &target, const http_response &response)
{
    target.state = ledger_state::answered;
    target.response = response;
    m_responseBytes += storedBytes(response);
    target.responsePosition = m_responseOrder.insert(m_responseOrder.end(), key);
    while (m_responseBytes > m_options.maxResponseBytes && !m_responseOrder.empty())
        dropResponse(m_records.at(m_responseOrder.front()));
}

void ledger::dropResponse(record &target)
{
    m_responseBytes -= storedBytes(target.response);
    m_responseOrder.erase(target.responsePosition);
    target.response = {};
    target.state = ledger_state::unknown;
}

void ledger::refused(const ledger_key &key)
{
    const auto found = m_records.find(key);
    if (found != m_records.end() && found->second.state == ledger_state::running)
        found->second.state = ledger_state::refused;
}

void ledger::outcomeUnknown(const ledger_key &key)
{
    const auto found = m_records.find(key);
    if (found != m_records.end() && found->second.state == ledger_state::running)
        found->second.state = ledger_state::unknown;
}

void ledger::expire(time_point now)
{
    for (auto entry = m_records.begin(); entry != m_records.end();) {
        record &candidate = entry->second;
        if (candidate.state == ledger_state::running || !expired(candidate.issued, now)) {
            ++entry;
            continue;
        }
        if (candidate.state == ledger_state::answered)
            dropResponse(candidate);
        entry = m_records.erase(entry);
    }
    std::erase_if(m_incarnations, [this, now](const auto &incarnation) {
        return incarnation.second.ended && expired(*incarnation.second.ended, now);
    });
}

std::vector<ledger_handover> ledger::handOver(time_point now)
{
    m_stopped = true;
    std::map<incarnation_id, ledger_handover> handovers;
    for (const auto &[incarnation, base] : m_incarnations) {
        // All ids of an incarnation that ended more than one id lifetime ago have expired.
        if (base.ended && expired(*base.ended, now))
            continue;
        ledger_handover &handover = handovers[incarnation];
        handover.incarnation = incarnation;
        handover.secret = base.secret;
        handover.clockAge = now - base.begin;
    }
    for (const auto &[key, found] : m_records) {
        const auto handover = handovers.find(key.incarnation);
        if (handover == handovers.end())
            continue;
        const ledger_state state =
                found.state == ledger_state::running ? ledger_state::unknown : found.state;
        handover->second.entries.push_back({key.sequence, state, found.digest, found.customer,
                                            now - found.issued, found.response});
    }
    std::vector<ledger_handover> result;
    result.reserve(handovers.size());
    for (auto &[incarnation, handover] : handovers)
        result.push_back(std::move(handover));
    return result;
}

void ledger::takeOver(const ledger_handover &handover, time_point now)
{
    if (m_incarnations.contains(handover.incarnation))
        return;
    m_incarnations[handover.incarnation] = {handover.secret, now - handover.clockAge, now};
    for (const ledger_entry &entry : handover.entries) {
        record taken;
        taken.state = entry.state;
        taken.digest = entry.requestDigest;
        taken.customer = entry.customer;
        taken.issued = now - entry.age;
        const ledger_key key{handover.incarnation, entry.sequence};
        record &stored = m_records.emplace(key, std::move(taken)).first->second;
        if (entry.state == ledger_state::answered)
            storeResponse(key, stored, entry.response);
    }
}

} // namespace tamarackridge
