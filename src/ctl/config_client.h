#pragma once

#include "ctl/platform_log.h"
#include "tamarackridge/config"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace tamarackridge {

/// \brief How a change of the configuration ended.
enum class change_outcome : std::uint8_t {
    published,
    unchanged, ///< The version in force already has this content.
    invalid, ///< The resulting set has faults.
    conflict, ///< Another publication came first.
    unavailable, ///< The log cannot be read; nothing was appended.
    undecided, ///< The record was sent, but whether it took effect was not seen.
    rejected, ///< The log refuses the record, for example because of its size.
    trimmed, ///< The log no longer tells the version in force.
};

struct change_report
{
    change_outcome outcome = change_outcome::unavailable;
    std::int64_t version = -1; ///< In force after the change, as far as it is known.
    std::string publicationId;
    config_errors errors;
    config_delta delta;
    std::string detail;
};

/// \brief One record of the stream `config` and what became of it.
struct history_entry
{
    log_record record;
    std::optional<publication_result> result; ///< Of a publication whose base is known.
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
    /// \brief Waits between two attempts.
    using pause_function = std::function<void(duration)>;
    /// \returns the delta to publish for the set in force, or std::nullopt to give up.
    using edit_function = std::function<std::optional<config_delta>(const config_set &)>;

    config_client(platform_log &log, random_source &random, pause_function pause);

    /// \brief Reads to the log's end. \returns nothing, or why the version in force is not known.
    std::optional<change_report> catchUp();
    /// \returns the set in force; the empty one before the first publication.
    const config_set &current() const;
    std::int64_t version() const { return m_state.version(); }
    void pause(duration time) const { m_pause(time); }

    /// \returns \a set with the keys in force if it lists none.
    ///
    /// Files without keys are the usual case, as keys are issued and withdrawn by commands.
    tl::expected<config_set, config_errors> withKeysInForce(const config_set &set) const;

    /// \brief Makes withKeysInForce(\a set) the configuration in force.
    /// \param base the version that the operator started from; a conflict if another is in force.
    change_report publish(const config_set &set, std::optional<std::int64_t> base);
    /// \brief Applies an edit that does not depend on other objects; starts again after conflicts.
    change_report edit(const edit_function &makeDelta);
    /// \brief Appends \a set as a snapshot when the log no longer tells the version in force.
    ///
    /// Readers that know the version in force ignore it; readers without a configuration start from
    /// it.
    change_report bootstrap(const config_set &set);
    /// \returns all retained records, or why they cannot be read.
    tl::expected<std::vector<history_entry>, std::string> history();

private:
    change_report publishDelta(const config_delta &delta);
    change_report appendUntilDecided(const publication &record);
    change_report invalid(config_errors errors) const;
    std::optional<change_report> decided(const std::string &id) const;
    change_report report(change_outcome outcome, std::string detail = {}) const;

    platform_log &m_log;
    random_source &m_random;
    pause_function m_pause;
    config_log m_state{snapshot_options{}};
};

} // namespace tamarackridge
