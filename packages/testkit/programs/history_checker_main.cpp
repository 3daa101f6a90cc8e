#include "tamarackspan/testkit/history.h"
#include "tamarackspan/testkit/history_checker.h"

#include "absl/strings/numbers.h"

#include <getopt.h>

#include <array>
#include <cstdlib>
#include <iostream>

namespace {

namespace testkit = tamarackspan::testkit;

constexpr auto usage = "usage: historychecker [--max-rows N] [--leaving-grace-ms N] FILE...\n"
                       "Checks histories of callers and leafs. Exit status 0: no violations, 1: violations found, 2: usage error.\n";

auto numberOf(const char *text) -> std::uint32_t
{
    auto number = std::uint32_t{0};
    if (!absl::SimpleAtoi(text, &number)) {
        std::cerr << "historychecker: expected a whole number, found " << text << "\n" << usage;
        std::exit(2);
    }
    return number;
}

auto parseOptions(int count, char **values) -> testkit::CheckerOptions
{
    const auto known = std::array<option, 4>{{{"max-rows", required_argument, nullptr, 'm'},
                                              {"leaving-grace-ms", required_argument, nullptr, 'g'},
                                              {"help", no_argument, nullptr, '?'},
                                              {nullptr, 0, nullptr, 0}}};
    auto options = testkit::CheckerOptions();
    for (auto found = 0; (found = getopt_long(count, values, "", known.data(), nullptr)) != -1;) {
        if (found == 'm') {
            options.maxRows = numberOf(optarg);
        } else if (found == 'g') {
            options.drainingGrace = absl::Milliseconds(numberOf(optarg));
        } else {
            std::cerr << usage;
            std::exit(2);
        }
    }
    return options;
}

} // namespace

auto main(int count, char **values) -> int
{
    const auto options = parseOptions(count, values);
    if (optind == count) {
        std::cerr << usage;
        return 2;
    }
    auto records = std::vector<nlohmann::json>();
    for (auto i = optind; i < count; ++i) {
        for (auto &record : testkit::readHistory(values[i])) {
            records.push_back(std::move(record));
        }
    }
    const auto report = testkit::checkHistory(records, options);
    std::cout << testkit::toString(report);
    return report.violations.empty() ? 0 : 1;
}
