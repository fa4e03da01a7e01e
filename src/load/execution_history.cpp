#include "load/execution_history.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace tamarackridge::load {
namespace {

void recordStart(execution_history &history, std::int64_t at)
{
    history.firstStartNs = history.starts == 0 ? at : std::min(history.firstStartNs, at);
    ++history.starts;
}

} // namespace

std::size_t readJournal(std::istream &journal, history_index &index)
{
    std::size_t unreadable = 0;
    for (std::string line; std::getline(journal, line);) {
        const nlohmann::json entry = nlohmann::json::parse(line, nullptr, false);
        if (!entry.is_object() || !entry.contains("load_id") || !entry.contains("event")
            || !entry.contains("steady_ns")) {
            ++unreadable;
            continue;
        }
        const std::string event = entry["event"].get<std::string>();
        execution_history &history = index[entry["load_id"].get<std::string>()];
        if (event == "start")
            recordStart(history, entry["steady_ns"].get<std::int64_t>());
        else if (event == "shed")
            ++history.shed;
        else if (entry.value("outcome", "") == "done")
            ++history.completed;
    }
    return unreadable;
}

} // namespace tamarackridge::load
