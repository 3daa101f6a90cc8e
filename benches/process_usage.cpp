#include "process_usage.h"

#include <fstream>
#include <sstream>
#include <string>
#include <unistd.h>

namespace tamarackspan::benches {

namespace {

/// Fields of /proc/PID/stat after the program's name, counted from 0.
constexpr auto userTicksField = 11;
constexpr auto residentPagesField = 21;

} // namespace

auto usageOf(pid_t pid) -> ProcessUsage
{
    auto file = std::ifstream("/proc/" + std::to_string(pid) + "/stat");
    auto text = std::string();
    std::getline(file, text);
    const auto nameEnd = text.rfind(')');
    if (nameEnd == std::string::npos) {
        return {};
    }
    auto fields = std::istringstream(text.substr(nameEnd + 2));
    auto field = std::string();
    auto ticks = std::uint64_t{0};
    auto pages = std::uint64_t{0};
    for (auto i = 0; fields >> field; ++i) {
        if (i == userTicksField || i == userTicksField + 1) {
            ticks += std::stoull(field);
        } else if (i == residentPagesField) {
            pages = std::stoull(field);
        }
    }
    const auto ticksPerSecond = static_cast<double>(sysconf(_SC_CLK_TCK));
    return {absl::Seconds(static_cast<double>(ticks) / ticksPerSecond), pages * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE))};
}

} // namespace tamarackspan::benches
