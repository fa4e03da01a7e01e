#include "ctl/config_client.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace tamarackridge {
namespace {

constexpr const char *stream = "config";
constexpr int maxAppendAttempts = 8;
constexpr int maxEditAttempts = 5;
constexpr duration initialRetryDelay = std::chrono::milliseconds(100);
constexpr duration maxRetryDelay = std::chrono::seconds(5);
/// Bounds catchUp() if the log grows faster than it is read.
constexpr int maxPages = 100'000;

duration retryDelay(int attempt)
{
    return std::min(initialRetryDelay * (1 << attempt), maxRetryDelay);
}

std::string randomId(random_source &random)
{
    std::array<char, 40> text{};
    std::snprintf(text.data(), text.size(), "p%016llx%016llx",
                  static_cast<unsigned long long>(random.next()),
                  static_cast<unsigned long long>(random.next()));
    return text.data();
}

change_outcome outcomeOf(publication_outcome outcome)
{
    switch (outcome) {
    case publication_outcome::applied:
        return change_outcome::published;
    case publication_outcome::conflict:
        return change_outcome::conflict;
    case publication_outcome::invalid:
        break;
    }
    return change_outcome::invalid;
}

} // namespace

config_client::config_client(platform_log &log, random_source &random, pause_function pause)
    : m_log(log)
    , m_random(random)
    , m_pause(std::move(pause))
{ }

change_report config_client::report(change_outcome outcome, std::string detail) const
{
    change_report result;
    result.outcome = outcome;
    result.version = version();
    result.detail = std::move(detail);
    return result;
}

const config_set &config_client::current() const
{
    static const config_set emptySet;
    const std::shared_ptr<const config_set> set = m_state.current();
    return set == nullptr ? emptySet : *set;
}

std::optional<change_report> config_client::catchUp()
{
    for (int pages = 0; pages < maxPages; ++pages) {
        const tl::expected<stream_page, std::string> page =
                m_log.read(stream, m_state.nextReadOffset());
        if (!page)
            return report(change_outcome::unavailable, page.error());
        m_state.onLogRecords(page->records, page->first, page->next, time_point{});
        if (m_state.upToDate())
            return std::nullopt;
        if (m_state.nextReadOffset() > page->next)
            return report(change_outcome::unavailable,
                          "the log has lost records that were read before");
        if (m_state.nextReadOffset() == page->next)
            return report(change_outcome::trimmed,
                          "older records were trimmed and the log holds no usable snapshot");
    }
    return report(change_outcome::unavailable, "the end of the log was not reached");
}

change_report config_client::publish(const config_set &set, std::optional<std::int64_t> base)
{
    if (std::optional<change_report> failure = catchUp())
        return *failure;
    if (base && *base != version())
        return report(change_outcome::conflict);
    const tl::expected<config_set, config_errors> wanted = withKeysInForce(set);
    return wanted ? publishDelta(difference(current(), *wanted)) : invalid(wanted.error());
}

tl::expected<config_set, config_errors> config_client::withKeysInForce(const config_set &set) const
{
    config_objects objects = set.objects();
    if (objects.keys.empty())
        objects.keys = current().objects().keys;
    return config_set::create(std::move(objects));
}

change_report config_client::invalid(config_errors errors) const
{
    change_report result = report(change_outcome::invalid);
    result.errors = std::move(errors);
    return result;
}

change_report config_client::edit(const edit_function &makeDelta)
{
    change_report result;
    for (int attempt = 0; attempt < maxEditAttempts; ++attempt) {
        if (std::optional<change_report> failure = catchUp())
            return *failure;
        const std::optional<config_delta> delta = makeDelta(current());
        if (!delta)
            return report(change_outcome::unchanged);
        result = publishDelta(*delta);
        if (result.outcome != change_outcome::conflict)
            return result;
    }
    return result;
}

change_report config_client::publishDelta(const config_delta &delta)
{
    if (delta.empty())
        return report(change_outcome::unchanged);
    const tl::expected<config_set, config_errors> checked = apply(current(), delta);
    if (!checked)
        return invalid(checked.error());
    const publication record{randomId(m_random), version(), delta};
    change_report result = appendUntilDecided(record);
    result.publicationId = record.id;
    result.delta = delta;
    return result;
}

change_report config_client::appendUntilDecided(const publication &record)
{
    const std::string data = encodePublication(record);
    bool appended = false;
    bool mayBeAppended = false;
    for (int attempt = 0; attempt < maxAppendAttempts; ++attempt) {
        // Appending the record again is safe: readers apply the first copy, after which the base
        // version of any later copy is no longer in force.
        if (!appended) {
            const tl::expected<std::int64_t, append_failure> offset = m_log.append(stream, data);
            if (!offset && offset.error() == append_failure::rejected && !mayBeAppended)
                return report(change_outcome::rejected);
            appended = offset.has_value();
            mayBeAppended = mayBeAppended || appended || offset.error() == append_failure::unknown;
        }
        const std::optional<change_report> failure = catchUp();
        if (std::optional<change_report> result = decidedReport(record.id))
            return *result;
        if (failure && failure->outcome == change_outcome::trimmed)
            return report(change_outcome::undecided, failure->detail);
        m_pause(retryDelay(attempt));
    }
    return report(mayBeAppended ? change_outcome::undecided : change_outcome::unavailable);
}

std::optional<change_report> config_client::decidedReport(const std::string &id) const
{
    const std::optional<publication_result> result = m_state.publicationOutcome(id);
    if (!result)
        return std::nullopt;
    return report(outcomeOf(result->outcome));
}

change_report config_client::bootstrap(const config_set &set)
{
    const std::optional<change_report> failure = catchUp();
    if (!failure)
        return report(change_outcome::conflict, "the version in force can be read from the log");
    if (failure->outcome != change_outcome::trimmed)
        return *failure;
    const std::int64_t covered = m_state.nextReadOffset() - 1;
    const tl::expected<std::int64_t, append_failure> offset =
            m_log.append(stream, encodeSnapshot(covered, covered, set));
    if (!offset && offset.error() != append_failure::unknown)
        return report(change_outcome::rejected);
    if (catchUp())
        return report(change_outcome::undecided);
    return report(difference(current(), set).empty() ? change_outcome::published
                                                     : change_outcome::conflict);
}

tl::expected<std::vector<history_entry>, std::string> config_client::history()
{
    std::vector<history_entry> entries;
    std::int64_t from = 0;
    stream_page page;
    do {
        tl::expected<stream_page, std::string> next = m_log.read(stream, from);
        if (!next)
            return tl::unexpected(next.error());
        page = std::move(*next);
        from = page.records.empty() ? page.next : page.records.back().offset + 1;
        // Trimming between two page reads leaves a gap; only the records after it are returned.
        if (!entries.empty() && !page.records.empty()
            && page.records.front().offset != entries.back().record.offset + 1)
            entries.clear();
        for (log_record &record : page.records)
            entries.push_back({std::move(record), std::nullopt});
    } while (from < page.next);
    if (entries.empty())
        return entries;
    const std::int64_t first = entries.front().record.offset;
    config_log reader{snapshot_options{}};
    reader.onLogRecords({}, first, page.next, time_point{});
    // Records are read one at a time because the reader retains a limited number of outcomes.
    while (reader.nextReadOffset() < page.next) {
        history_entry &entry = entries[reader.nextReadOffset() - first];
        reader.onLogRecords({&entry.record, 1}, first, page.next, time_point{});
        entry.result = reader.publicationOutcomeAt(entry.record.offset);
    }
    return entries;
}

} // namespace tamarackridge
