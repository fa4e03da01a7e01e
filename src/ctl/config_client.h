#pragma once

#include "ctl/platform_log.h"
#include "tamarackridge/config"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace tamarackridge {

/// \brief Outcome of a configuration change.
enum class change_outcome : std::uint8_t {
    published,
    unchanged, ///< The version in force already has this content.
    invalid, ///< The resulting configuration has errors.
    conflict, ///< Another publication was applied first.
    unavailable, ///< The log cannot be read; nothing was appended.
    undecided, ///< The record was sent, but it is unknown whether it took effect.
    rejected, ///< The log rejected the record, for example because of its size.
    trimmed, ///< The log no longer holds the records from which the version in force is derived.
};

/// \brief Result of a configuration change.
struct change_report
{
    change_outcome outcome = change_outcome::unavailable;
    std::int64_t version = -1; ///< Last known version in force after the change.
    std::string publicationId;
    config_errors errors;
    config_delta delta;
    std::string detail;
};

/// \brief A record of the stream `config` and its outcome.
struct history_entry
{
    log_record record;
    std::optional<publication_result> result; ///< Set for publications whose base is known.
};

/// \brief Reads the configuration in force from the platform log and publishes changes.
///
/// \code
/// config_client client(log, random, pause);
/// change_report report = client.publish(set, std::nullopt);
/// \endcode
class config_client
{
public:
    /// \brief Sleeps between two attempts.
    using pause_function = std::function<void(duration)>;
    /// \returns the delta to publish for the set in force, or std::nullopt to give up.
    using edit_function = std::function<std::optional<config_delta>(const config_set &)>;

    config_client(platform_log &log, random_source &random, pause_function pause);

    /// \brief Reads the log up to its end.
    /// \returns std::nullopt on success, otherwise why the version in force is unknown.
    std::optional<change_report> catchUp();
    /// \returns the configuration in force; an empty one before the first publication.
    const config_set &current() const;
    std::int64_t version() const { return m_state.version(); }
    void pause(duration delay) const { m_pause(delay); }

    /// \returns \a set, completed by the keys in force if it lists no keys.
    ///
    /// Configuration files usually list no keys, because keys are issued and withdrawn by commands.
    tl::expected<config_set, config_errors> withKeysInForce(const config_set &set) const;

    /// \brief Makes withKeysInForce(\a set) the configuration in force.
    /// \param base the version on which \a set is based; the outcome is a conflict if another
    /// version is in force.
    change_report publish(const config_set &set, std::optional<std::int64_t> base);
    /// \brief Applies an edit that does not depend on other objects; retries it after conflicts.
    change_report edit(const edit_function &makeDelta);
    /// \brief Appends \a set as a snapshot when the version in force can no longer be read from the
    /// log.
    ///
    /// Readers that know the version in force ignore the snapshot; readers without a configuration
    /// start from it.
    change_report bootstrap(const config_set &set);
    /// \returns all retained records, or the reason why they cannot be read.
    tl::expected<std::vector<history_entry>, std::string> history();

private:
    change_report publishDelta(const config_delta &delta);
    /// \brief Appends \a record, again if needed, and reads the log until it decides the record.
    change_report appendUntilDecided(const publication &record);
    change_report invalid(config_errors errors) const;
    /// \returns a report if the log has decided the publication \a id, std::nullopt otherwise.
    std::optional<change_report> decidedReport(const std::string &id) const;
    change_report report(change_outcome outcome, std::string detail = {}) const;

    platform_log &m_log;
    random_source &m_random;
    pause_function m_pause;
    config_log m_state{snapshot_options{}};
};

} // namespace tamarackridge
