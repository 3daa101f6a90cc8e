#include "tamarackspan/logging/logger.h"

#include "absl/time/clock.h"
#include "absl/time/time.h"

#include <algorithm>
#include <atomic>
#include <easylogging++.h>
#include <fcntl.h>
#include <mutex>
#include <nlohmann/json.hpp>
#include <unistd.h>
#include <utility>

INITIALIZE_EASYLOGGINGPP

namespace tamarackspan::logging {

namespace {

/// Logging state shared by all loggers; set once by configureLogging.
struct Current
{
    std::atomic<Level> level{Level::Info};
    std::atomic<Format> format{Format::Text};
    std::mutex mutex;
    LogRateLimiter limit{0, 0};
    bool nonBlocking = false;
};

auto current() -> Current &
{
    static auto value = Current();
    return value;
}

auto nameOf(Level level) -> std::string_view
{
    switch (level) {
    case Level::Debug:
        return "debug";
    case Level::Info:
        return "info";
    case Level::Warning:
        return "warning";
    case Level::Error:
        return "error";
    }
    return "unknown";
}

auto needsQuotes(std::string_view value) -> bool
{
    return value.empty() || value.find_first_of(" \"\n\r\t=") != std::string_view::npos;
}

auto quotedText(std::string_view value) -> std::string
{
    return nlohmann::json(std::string(value)).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

auto textLine(std::string_view time, Level level, std::string_view part, std::string_view message, std::initializer_list<Field> fields) -> std::string
{
    auto line = std::string(time).append(" ").append(nameOf(level)).append(" ").append(part).append(": ").append(message);
    for (const auto &field : fields) {
        line.append(" ").append(field.name).append("=").append(needsQuotes(field.value) ? quotedText(field.value) : field.value);
    }
    return line;
}

auto jsonLine(std::string_view time, Level level, std::string_view part, std::string_view message, std::initializer_list<Field> fields) -> std::string
{
    auto line = nlohmann::ordered_json();
    line["time"] = std::string(time);
    line["level"] = std::string(nameOf(level));
    line["part"] = std::string(part);
    line["event"] = std::string(message);
    for (const auto &field : fields) {
        line[field.name] = field.value;
    }
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

auto configureLogging(const LogOptions &options) -> void
{
    current().level = options.level;
    current().format = options.format;
    current().limit = LogRateLimiter(options.linesPerSecond, options.burst);
    current().nonBlocking = options.nonBlocking && options.file.empty();
    if (current().nonBlocking) {
        fcntl(STDOUT_FILENO, F_SETFL, fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
    }
    el::Loggers::addFlag(el::LoggingFlag::DisableApplicationAbortOnFatalLog);
    auto configuration = el::Configurations();
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::Format, "%msg");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, options.file.empty() ? "true" : "false");
    configuration.setGlobally(el::ConfigurationType::ToFile, options.file.empty() ? "false" : "true");
    if (!options.file.empty()) {
        configuration.setGlobally(el::ConfigurationType::Filename, options.file);
    }
    el::Loggers::reconfigureLogger("default", configuration);
}

auto formatLine(Format format, std::string_view time, Level level, std::string_view part, std::string_view message, std::initializer_list<Field> fields)
    -> std::string
{
    return format == Format::Json ? jsonLine(time, level, part, message, fields) : textLine(time, level, part, message, fields);
}

Logger::Logger(std::string part)
    : part(std::move(part))
{
}

auto Logger::debug(std::string_view message, std::initializer_list<Field> fields) const -> void
{
    this->write(Level::Debug, message, fields);
}

auto Logger::info(std::string_view message, std::initializer_list<Field> fields) const -> void
{
    this->write(Level::Info, message, fields);
}

auto Logger::warning(std::string_view message, std::initializer_list<Field> fields) const -> void
{
    this->write(Level::Warning, message, fields);
}

auto Logger::error(std::string_view message, std::initializer_list<Field> fields) const -> void
{
    this->write(Level::Error, message, fields);
}

auto Logger::write(Level level, std::string_view message, std::initializer_list<Field> fields) const -> void
{
    if (level < current().level.load()) {
        return;
    }
    const auto now = absl::Now();
    const auto format = current().format.load();
    auto lines = std::string();
    {
        const auto lock = std::lock_guard(current().mutex);
        if (!current().limit.allow(now) && level != Level::Error) {
            return;
        }
        const auto time = absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ", now, absl::UTCTimeZone());
        if (const auto dropped = current().limit.takeDroppedCount(); dropped > 0) {
            lines = formatLine(format, time, Level::Warning, "logging", "lines were left out", {{"count", dropped}}).append("\n");
        }
        lines.append(formatLine(format, time, level, this->part, message, fields));
        if (current().nonBlocking) {
            // easylogging++ writes through a stream that fails permanently once a write would block, so this line bypasses it.
            lines.append("\n");
            if (::write(STDOUT_FILENO, lines.data(), lines.size()) < 0) {
                current().limit.countDropped();
            }
            return;
        }
    }
    LOG(INFO) << lines;
}

LogRateLimiter::LogRateLimiter(std::uint32_t perSecond, std::uint32_t burst) noexcept
    : perSecond(perSecond),
      burst(burst),
      tokens(burst)
{
}

auto LogRateLimiter::allow(absl::Time now) -> bool
{
    if (this->perSecond <= 0.0) {
        return true;
    }
    if (this->last != absl::InfinitePast() && now > this->last) {
        this->tokens = std::min(this->burst, this->tokens + absl::ToDoubleSeconds(now - this->last) * this->perSecond);
    }
    this->last = now;
    if (this->tokens < 1.0) {
        ++this->dropped;
        return false;
    }
    this->tokens -= 1.0;
    return true;
}

auto LogRateLimiter::countDropped() noexcept -> void
{
    ++this->dropped;
}

auto LogRateLimiter::takeDroppedCount() noexcept -> std::uint64_t
{
    return std::exchange(this->dropped, 0);
}

} // namespace tamarackspan::logging
