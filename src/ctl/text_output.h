#pragma once

#include "ctl/config_client.h"
#include "ctl/fleet_status.h"

#include <string>

namespace tamarackridge {

/// \returns one line per new, changed or deleted object, for example `+ routes/x`,
/// `~ customers/acme`, `- keys/k1`.
std::string deltaLines(const config_delta &delta, const config_set &before);

/// \returns the errors as JSON: `{"faults": [{"object": …, "field": …, "message": …}]}`.
std::string errorsJson(const config_errors &errors);

/// \returns a record of the history as one line of text or as a JSON object.
std::string historyText(const history_entry &entry, bool asJson);

/// \returns the state of the fleet as lines of text or as a JSON object.
std::string statusText(const fleet_report &report, duration maxUnconfirmed, bool asJson);

} // namespace tamarackridge
