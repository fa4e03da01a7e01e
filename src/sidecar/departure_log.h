#pragma once

#include "sidecar/platform_gateway.h"
#include "sidecar/retry_delay.h"
#include "tamarackridge/src/base/random_source.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace tamarackridge {

/// \brief Callbacks of a departure_log.
struct departure_callbacks
{
    /// The departures of this node's servers were read, and have not expired. Called once.
    std::function<void(const recorded_departures &records)> read;
    /// The store has confirmed a departure.
    std::function<void(const server_departure &departure, duration took)> recorded;
};

/// \brief Records in the platform's store which backend servers of this VM leave, and reads it when
/// the process starts.
///
/// Records expire, and are then erased. Failed calls are repeated by sweep().
class departure_log
{
public:
    departure_log(platform_gateway &platform, std::string node, random_source &random,
                  departure_callbacks callbacks);

    /// \brief Reads the departures until that succeeds.
    void start();
    /// \brief Takes the era of the store when this node was first registered. If the store has been
    /// restored since, it may lack departures that it had confirmed.
    void setFirstEra(store_era era);
    void record(const server_departure &departure);
    /// \brief Calls \a done when the departure of \a instance is in the store, or with false after
    /// confirmationTimeout.
    void whenRecorded(const std::string &instance, std::function<void(bool recorded)> done);
    /// \brief Must be called when the store may have lost what it had confirmed.
    void storeRestored();
    /// \brief Must be called a few times a second.
    void sweep(time_point now);
    /// \returns the number of departures that the store has not confirmed.
    std::size_t unrecorded() const;
    /// \returns the number of failed calls to the store.
    std::uint64_t errors() const { return m_errors; }

private:
    struct entry
    {
        server_departure departure;
        time_point beganAt;
        time_point expiresAt;
        std::uint32_t revision = 0; ///< Of the content; a write confirms the revision it contains.
        bool writing = false;
        bool recorded = false;
    };
    struct waiter
    {
        std::string instance;
        time_point until;
        std::function<void(bool recorded)> done;
    };

    void read();
    void takeList(const std::vector<stored_departure> &list);
    /// \brief Reports the departures once it is known whether some may be missing.
    void reportIfRead();
    /// \brief Erases one of the expired records, drawn at random: nodes that start together, and
    /// read the same records of nodes that are gone, erase different ones.
    void eraseOneOf(const std::vector<std::string> &expired);
    void write(entry &item);
    void written(const std::string &instance, std::uint32_t revision, bool succeeded);
    void recordFailure();

    platform_gateway &m_platform;
    std::string m_node;
    random_source &m_random;
    departure_callbacks m_callbacks;
    std::map<std::string, entry> m_entries; ///< By instance.
    std::vector<waiter> m_waiters;
    retry_delay m_retryDelay;
    time_point m_retryAt; ///< No call is made before.
    std::uint64_t m_errors = 0;
    bool m_reading = false;
    std::vector<server_departure> m_found; ///< By the first read, until they are reported.
    std::optional<store_era> m_readEra; ///< Of the store when the departures were read.
    std::optional<store_era> m_firstEra; ///< Of the store when this node was first registered.
};

} // namespace tamarackridge
