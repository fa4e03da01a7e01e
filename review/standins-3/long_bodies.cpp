// Callers upload bodies that the configuration allows. A process that holds them must not run out
// of memory: the requests of all other callers of its machine would end without an answer.
#include "case_main.h"

namespace {

using namespace review;

constexpr std::size_t machinesWithUploads = 2;
constexpr int rounds = 3;
constexpr std::size_t callersPerMachine = 8;
constexpr std::size_t uploadsAtOnce = 2;
constexpr std::size_t longBody = std::size_t{48} * 1024 * 1024; // The limit is 64 MiB.
constexpr std::size_t usualBody = 1200;
// At any time, at most so many requests of kept connections may end without an answer.
constexpr std::size_t allowedLosses = 3;

void upload(const machine &place, const std::string &id, std::size_t size, event_record &record)
{
    constexpr milliseconds timeBudget(6000);
    const steady::time_point deadline = steady::now() + timeBudget;
    const socket_handle connection = connectTo(place.outbound);
    const std::string text =
            format(requestOf("POST", "/bookings/" + id, id, timeBudget, std::string(size, 'x')));
    record.write("caller " + id + " sends a body of " + std::to_string(size) + " bytes");
    if (!connection.valid() || !sendAll(connection.get(), text, deadline)) {
        record.write("caller " + id + " could not send all");
        return;
    }
    http_message response;
    const read_end end = message_reader(connection.get()).read(response, deadline);
    record.write("caller " + id
                 + (end == read_end::complete ? " got " + response.firstLine : " got no answer"));
}

int play(const deployment_options &given, event_record &record, bool isTroubled)
{
    deployment_options options = given;
    options.work = milliseconds(300);
    deployment system(options, record, [](const http_message &) { return std::string("done"); });
    if (!system.waitUntilServing())
        return couldNotRun;
    std::vector<std::unique_ptr<kept_callers>> callers;
    for (std::size_t index = 0; index < machinesWithUploads; ++index)
        callers.push_back(
                std::make_unique<kept_callers>(system.place(index), callersPerMachine, record));
    std::this_thread::sleep_for(std::chrono::seconds(2));
    for (int round = 0; round < rounds; ++round) {
        std::vector<std::thread> uploads;
        for (std::size_t number = 0; number < machinesWithUploads * uploadsAtOnce; ++number)
            uploads.emplace_back([&, number] {
                upload(system.place(number % machinesWithUploads),
                       "upload-" + std::to_string(round) + '-' + std::to_string(number),
                       isTroubled ? longBody : usualBody, record);
            });
        for (std::thread &thread : uploads)
            thread.join();
        std::this_thread::sleep_for(std::chrono::seconds(5));
    }
    std::size_t lost = 0;
    std::size_t machinesEnded = 0;
    for (std::size_t index = 0; index < machinesWithUploads; ++index) {
        const caller_counts counts = callers[index]->finish();
        std::size_t passedOn = 0;
        for (const std::string &id : counts.closedOnKept)
            passedOn += system.runs(id) > 0 ? 1 : 0;
        lost += passedOn;
        machinesEnded += system.ownEnds(index) >= rounds ? 1 : 0;
        record.write(system.place(index).name + ": sent " + std::to_string(counts.sent)
                     + ", served " + std::to_string(counts.served) + ", refused "
                     + std::to_string(counts.refused) + ", unanswered "
                     + std::to_string(counts.unanswered) + ", closed "
                     + std::to_string(counts.closed) + ", of these kept and passed on "
                     + std::to_string(passedOn) + "; ends of the process "
                     + std::to_string(system.ownEnds(index)) + ", peak memory "
                     + std::to_string(system.peakMemory(index) >> 20U) + " MiB");
    }
    for (std::size_t index = machinesWithUploads; index < system.size(); ++index)
        record.write(system.place(index).name + ": ends of the process "
                     + std::to_string(system.ownEnds(index)) + ", peak memory "
                     + std::to_string(system.peakMemory(index) >> 20U) + " MiB");
    record.write("requests of kept connections that were passed on and not answered: "
                 + std::to_string(lost));
    record.write("machines whose process ended three times: " + std::to_string(machinesEnded));
    return lost > allowedLosses || machinesEnded >= 2 ? ruleBroken : ruleHeld;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, play);
}
