#include "tamarackspan/logging/logger.h"

#include "absl/time/clock.h"
#include "absl/time/time.h"

#include <atomic>
#include <easylogging++.h>
#include <nlohmann/json.hpp>
#include <utility>

INITIALIZE_EASYLOGGINGPP

namespace tamarackspan::logging {

namespace {

/// What the loggers need on each call; set once by configureLogging.
struct Current
{
    std::atomic<Level> level{Level::Info};
    std::atomic<Format> format{Format::Text};
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

auto textLine(std::string_view time, Level level, std::string_view part, std::string_view sentence, std::initializer_list<Field> fields) -> std::string
{
    auto line = std::string(time).append(" ").append(nameOf(level)).append(" ").append(part).append(": ").append(sentence);
    for (const auto &field : fields) {
        line.append(" ").append(field.name).append("=").append(needsQuotes(field.value) ? quotedText(field.value) : field.value);
    }
    return line;
}

auto jsonLine(std::string_view time, Level level, std::string_view part, std::string_view sentence, std::initializer_list<Field> fields) -> std::string
{
    auto line = nlohmann::ordered_json();
    line["time"] = std::string(time);
    line["level"] = std::string(nameOf(level));
    line["part"] = std::string(part);
    line["event"] = std::string(sentence);
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

auto formatLine(Format format, std::string_view time, Level level, std::string_view part, std::string_view sentence, std::initializer_list<Field> fields)
    -> std::string
{
    return format == Format::Json ? jsonLine(time, level, part, sentence, fields) : textLine(time, level, part, sentence, fields);
}

Logger::Logger(std::string part)
    : part(std::move(part))
{
}

auto Logger::debug(std::string_view sentence, std::initializer_list<Field> fields) const -> void
{
    this->write(Level::Debug, sentence, fields);
}

auto Logger::info(std::string_view sentence, std::initializer_list<Field> fields) const -> void
{
    this->write(Level::Info, sentence, fields);
}

auto Logger::warning(std::string_view sentence, std::initializer_list<Field> fields) const -> void
{
    this->write(Level::Warning, sentence, fields);
}

auto Logger::error(std::string_view sentence, std::initializer_list<Field> fields) const -> void
{
    this->write(Level::Error, sentence, fields);
}

auto Logger::write(Level level, std::string_view sentence, std::initializer_list<Field> fields) const -> void
{
    if (level < current().level.load()) {
        return;
    }
    const auto time = absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ", absl::Now(), absl::UTCTimeZone());
    const auto line = formatLine(current().format.load(), time, level, this->part, sentence, fields);
    LOG(INFO) << line;
}

} // namespace tamarackspan::logging
