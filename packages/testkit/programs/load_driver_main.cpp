#include "tamarackspan/testkit/history.h"
#include "tamarackspan/testkit/leaf_behaviour.h"
#include "tamarackspan/testkit/load_driver.h"

#include "absl/strings/str_format.h"
#include "absl/strings/str_split.h"

#include <getopt.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <optional>
#include <utility>

namespace {

namespace testkit = tamarackspan::testkit;
using Json = nlohmann::json;

constexpr auto usage = "usage: loaddriver --to ADDRESS[,ADDRESS]... --mix CUSTOMER/OPERATION[:WEIGHT[:execute]] [--mix ...] [--set KEY=VALUE]...\n"
                       "                  [--settings FILE] [--history FILE] [--csv FILE] [--json FILE] [--quiet]\n"
                       "Keys: rate, in_flight, duration_ms, count, seed, deadline_ms, timeout_ms, execute_attempts, routing_keys, caller.\n"
                       "With rate 0, the load is a closed loop that always has in_flight requests in flight. Exit status 0: done, 2: usage error.\n";

struct Arguments
{
    Json settings = Json::object();
    std::string history;
    std::string csv;
    std::string json;
    bool quiet = false;
};

[[noreturn]] auto stopWith(const std::string &message) -> void
{
    std::cerr << "loaddriver: " << message << "\n" << usage;
    std::exit(2);
}

auto readSettings(Json &settings, const std::string &path) -> void
{
    auto file = Json();
    const auto status = testkit::readToml(path, file);
    if (!status.ok()) {
        stopWith(std::string(status.message()));
    }
    settings.update(file);
}

auto parse(int count, char **values) -> Arguments
{
    const auto known = std::vector<option>{{"to", required_argument, nullptr, 't'},      {"mix", required_argument, nullptr, 'm'},
                                           {"set", required_argument, nullptr, 's'},     {"settings", required_argument, nullptr, 'f'},
                                           {"history", required_argument, nullptr, 'h'}, {"csv", required_argument, nullptr, 'c'},
                                           {"json", required_argument, nullptr, 'j'},    {"quiet", no_argument, nullptr, 'q'},
                                           {"help", no_argument, nullptr, '?'},          {nullptr, 0, nullptr, 0}};
    auto arguments = Arguments();
    auto files = std::map<int, std::string *>{{'h', &arguments.history}, {'c', &arguments.csv}, {'j', &arguments.json}};
    for (auto found = 0; (found = getopt_long(count, values, "", known.data(), nullptr)) != -1;) {
        if (found == 't') {
            arguments.settings["addresses"] = std::vector<std::string>(absl::StrSplit(optarg, ','));
        } else if (found == 'm') {
            arguments.settings["mix"].push_back(testkit::parseMix(optarg));
        } else if (found == 's') {
            arguments.settings.update(testkit::parseKeyValues(optarg));
        } else if (found == 'f') {
            readSettings(arguments.settings, optarg);
        } else if (found == 'q') {
            arguments.quiet = true;
        } else if (files.contains(found)) {
            *files[found] = optarg;
        } else {
            stopWith("see the usage");
        }
    }
    return arguments;
}

/// Writes each call to the summaries, the history and the CSV file.
class Results
{
public:
    Results(const Arguments &arguments, std::string caller)
        : caller(std::move(caller))
    {
        if (!arguments.history.empty()) {
            this->history.open(arguments.history, std::ios::app);
        }
        if (!arguments.csv.empty()) {
            this->csv.open(arguments.csv);
            this->csv << testkit::csvHeader();
        }
    }

    auto add(const testkit::CallRecord &call) -> void
    {
        if (this->history.is_open()) {
            this->history << testkit::historyRecord(call, this->caller).dump() << "\n";
        }
        if (this->csv.is_open()) {
            this->csv << testkit::csvLine(call);
        }
        auto &summary = this->summaries[{call.customer, call.operation}];
        summary.customer = call.customer;
        summary.operation = call.operation;
        testkit::addCall(summary, call);
    }

    [[nodiscard]] auto all() const -> std::vector<testkit::LoadSummary>
    {
        auto list = std::vector<testkit::LoadSummary>();
        for (const auto &[name, summary] : this->summaries) {
            list.push_back(summary);
        }
        return list;
    }

private:
    std::string caller;
    std::ofstream history;
    std::ofstream csv;
    std::map<std::pair<std::string, std::string>, testkit::LoadSummary> summaries;
};

auto showProgress(const testkit::LoadProgress &progress) -> void
{
    std::cerr << absl::StrFormat("%5.1f s: %d ended, %d answered, %d in flight, %d not sent\n", absl::ToDoubleSeconds(progress.elapsed), progress.finished,
                                 progress.answers, progress.inFlight, progress.notSent);
}

} // namespace

auto main(int count, char **values) -> int
{
    std::signal(SIGPIPE, SIG_IGN);
    const auto arguments = parse(count, values);
    auto options = testkit::LoadOptions();
    const auto status = testkit::applyLoadOptions(options, arguments.settings);
    if (!status.ok()) {
        stopWith(std::string(status.message()));
    }
    if (options.addresses.empty() || options.mix.empty()) {
        stopWith("expected --to and --mix, or addresses and a mix in the settings file");
    }
    auto results = Results(arguments, options.caller);
    const auto observer = testkit::LoadObserver{.onCall =
                                                    [&results](const testkit::CallRecord &call) {
                                                        results.add(call);
                                                    },
                                                .onProgress =
                                                    [&arguments](const testkit::LoadProgress &progress) {
                                                        if (!arguments.quiet) {
                                                            showProgress(progress);
                                                        }
                                                    }};
    const auto end = testkit::driveLoad(options, observer);
    std::cout << testkit::summaryTable(results.all())
              << absl::StrFormat("seed %d, %.1f s, %d not sent\n", options.seed, absl::ToDoubleSeconds(end.elapsed), end.notSent);
    if (!arguments.json.empty()) {
        const auto summary = Json{{"seed", options.seed},
                                  {"seconds", absl::ToDoubleSeconds(end.elapsed)},
                                  {"not_sent", end.notSent},
                                  {"operations", testkit::summaryJson(results.all())}};
        std::ofstream(arguments.json) << summary.dump(2) << "\n";
    }
    return 0;
}
