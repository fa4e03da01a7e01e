#pragma once

#include "callers.h"

#include <cstdio>
#include <cstdlib>
#include <exception>

namespace review {

constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;

/// \brief Runs a case with the arguments REPOSITORY FOLDER RECORD.
/// \param play returns one of the three codes above.
template <typename Play>
int runCase(int count, char **arguments, Play play)
{
    if (count != 4) {
        std::fprintf(stderr, "usage: %s REPOSITORY FOLDER RECORD\n", arguments[0]);
        return couldNotRun;
    }
    const char *trouble = std::getenv("TROUBLE");
    const bool isTroubled = trouble == nullptr || std::string(trouble) != "0";
    try {
        deployment_options options;
        options.repository = arguments[1];
        options.folder = arguments[2];
        event_record record(arguments[3]);
        const int result = play(options, record, isTroubled);
        const char *texts[] = {"the rule held", "the rule was broken", "the case could not run"};
        record.write(texts[result]);
        std::printf("%s\n", texts[result]);
        return result;
    } catch (const std::exception &error) {
        std::fprintf(stderr, "%s\n", error.what());
        return couldNotRun;
    }
}

} // namespace review
