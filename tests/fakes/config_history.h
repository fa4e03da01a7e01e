#pragma once

#include "fakes/sample_config.h"
#include "tamarackridge/src/base/seeded_random.h"

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace tamarackridge::fakes {

/// \brief A log stream `config`, with the state of a reader of all records after each offset.
class config_history
{
public:
    struct reader_state
    {
        std::int64_t version;
        std::shared_ptr<const config_set> set;
    };

    void append(std::string data)
    {
        m_records.push_back({end(), duration{}, std::move(data)});
        m_reader.onLogRecords({&m_records.back(), 1}, 0, end(), time_point{});
        m_states.push_back({m_reader.version(), m_reader.current()});
    }
    void publish(std::int64_t base, const config_delta &delta)
    {
        append(encodePublication({"p" + std::to_string(end()), base, delta}));
    }
    void appendSnapshotOf(std::int64_t offset)
    {
        append(encodeSnapshot(at(offset).version, offset, *at(offset).set));
    }

    std::int64_t end() const { return static_cast<std::int64_t>(m_records.size()); }
    const reader_state &at(std::int64_t offset) const { return m_states[offset]; }
    std::int64_t version() const { return m_reader.version(); }
    const config_log &reader() const { return m_reader; }
    std::span<const log_record> read(std::int64_t from, std::int64_t max) const
    {
        const std::int64_t count = std::clamp(end() - from, std::int64_t{0}, max);
        return {m_records.data() + (count > 0 ? from : 0), static_cast<std::size_t>(count)};
    }

private:
    std::vector<log_record> m_records;
    std::vector<reader_state> m_states;
    config_log m_reader{snapshot_options{}};
};

/// \returns a delta that sets the rate of a customer and creates the customer if needed.
inline config_delta rateDelta(const std::string &name, std::uint32_t rate)
{
    config_delta delta;
    delta.upserts.zones = {{"oviedo", 4}};
    delta.upserts.customers = {{name, rate, 10}};
    return delta;
}

} // namespace tamarackridge::fakes
