#pragma once

#include "absl/strings/str_cat.h"
#include "absl/time/time.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>

namespace tamarackspan::logging {

/// The severity of an event.
enum class Level {
    Debug,
    Info,
    Warning,
    Error,
};

/// The format of log lines.
enum class Format {
    /// One line of text per event: time, level, part, message, fields.
    Text,
    /// One JSON object per event.
    Json,
};

/// Where log lines go, and which of them are written.
struct LogOptions
{
    Level level = Level::Info;
    Format format = Format::Text;
    /// The file that lines are appended to; standard output if empty.
    std::string file;
    /// The rate limit for lines below the level Error, in lines per second, and its burst; 0 sets no limit. Dropped lines are counted, and the count is written
    /// with the next line.
    std::uint32_t linesPerSecond = 0;
    std::uint32_t burst = 0;
    /// Never blocks on standard output: lines that can't be written at once are dropped. Has no effect with a file.
    bool nonBlocking = false;

    friend auto operator==(const LogOptions &, const LogOptions &) -> bool = default;
};

/// Limits the rate of log lines of the process with a token bucket, which is full at the start.
class LogRateLimiter
{
public:
    /// No limit if `perSecond` is 0.
    LogRateLimiter(std::uint32_t perSecond, std::uint32_t burst) noexcept;

    /// Takes a token and returns true if a line may be written at this time; otherwise counts the line as dropped.
    [[nodiscard]] auto allow(absl::Time now) -> bool;

    /// Counts a line as dropped that was allowed but couldn't be written.
    auto countDropped() noexcept -> void;

    /// Returns the number of lines dropped since the last call.
    [[nodiscard]] auto takeDroppedCount() noexcept -> std::uint64_t;

private:
    double perSecond;
    double burst;
    double tokens;
    absl::Time last = absl::InfinitePast();
    std::uint64_t dropped = 0;
};

/// One named value of an event.
struct Field
{
    std::string name;
    std::string value;

    /// Takes a string, or any number that absl::StrCat accepts.
    template<typename T>
    Field(std::string_view name, const T &value)
        : name(name),
          value(toText(value))
    {
    }

private:
    template<typename T>
    static auto toText(const T &value) -> std::string
    {
        if constexpr (std::is_convertible_v<T, std::string_view>) {
            return std::string(std::string_view(value));
        } else {
            return absl::StrCat(value);
        }
    }
};

/// Configures the log output of this process. Call it once, before other threads start.
auto configureLogging(const LogOptions &options) -> void;

/// Returns the log line of an event, without a line end. `time` is in ISO 8601.
[[nodiscard]] auto formatLine(Format format, std::string_view time, Level level, std::string_view part, std::string_view message,
                              std::initializer_list<Field> fields) -> std::string;

/// Writes the log lines of one part of the program, from any thread.
class Logger
{
public:
    /// `part` is the fixed prefix of each line.
    explicit Logger(std::string part);

    /// Write an event of that level; `message` is a short plain sentence without a full stop.
    auto debug(std::string_view message, std::initializer_list<Field> fields = {}) const -> void;
    auto info(std::string_view message, std::initializer_list<Field> fields = {}) const -> void;
    auto warning(std::string_view message, std::initializer_list<Field> fields = {}) const -> void;
    auto error(std::string_view message, std::initializer_list<Field> fields = {}) const -> void;

private:
    auto write(Level level, std::string_view message, std::initializer_list<Field> fields) const -> void;

    std::string part;
};

} // namespace tamarackspan::logging
