#include "golden_file.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>
#include <vector>

namespace tamarackspan::golden {

auto firstDifference(const std::string &expected, const std::string &found) -> std::string
{
    if (expected == found) {
        return {};
    }
    const auto expectedLines = std::vector<std::string>(absl::StrSplit(expected, '\n'));
    const auto foundLines = std::vector<std::string>(absl::StrSplit(found, '\n'));
    auto line = std::size_t{0};
    while (line < std::min(expectedLines.size(), foundLines.size()) && expectedLines[line] == foundLines[line]) {
        ++line;
    }
    const auto lineOf = [line](const std::vector<std::string> &lines) {
        return line < lines.size() ? lines[line] : std::string("<end>");
    };
    return absl::StrCat("line ", line + 1, "\nexpected: ", lineOf(expectedLines), "\nfound:    ", lineOf(foundLines));
}

auto expectGolden(const std::string &name, const std::string &transcript) -> void
{
    const auto path = absl::StrCat(GOLDEN_FOLDER, "/", name, ".txt");
    const auto *update = std::getenv("UPDATE_GOLDEN");
    if (update != nullptr && std::string(update) == "1") {
        std::ofstream(path, std::ios::binary) << transcript;
        return;
    }
    auto file = std::ifstream(path, std::ios::binary);
    ASSERT_TRUE(file) << path << " can't be read; UPDATE_GOLDEN=1 writes it";
    auto expected = std::ostringstream();
    expected << file.rdbuf();
    EXPECT_EQ(firstDifference(expected.str(), transcript), "") << path << "\nthe whole transcript:\n" << transcript;
}

} // namespace tamarackspan::golden
