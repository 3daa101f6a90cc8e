#pragma once

#include "absl/status/statusor.h"
#include "absl/time/time.h"

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace tamarackspan::testkit {

/// How a process ended.
struct ExitOutcome
{
    /// The exit status, if it ended by itself.
    std::optional<int> status;
    /// The signal that ended it, if one did.
    std::optional<int> signal;

    friend auto operator==(const ExitOutcome &, const ExitOutcome &) -> bool = default;
};

/// A process started by a test. It is killed and reaped when the object goes away, and killed when the thread that started it ends.
class ChildProcess
{
public:
    /// Starts the program with these arguments; standard output and standard error are appended to the file at `outputPath`. A program that can't be started
    /// ends with exit status 127.
    ChildProcess(const std::string &program, const std::vector<std::string> &arguments, std::string outputPath);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    auto operator=(const ChildProcess &) -> ChildProcess & = delete;

    [[nodiscard]] auto pid() const noexcept -> pid_t;

    /// Sends a signal, such as SIGTERM, SIGSTOP or SIGCONT; does nothing if the process has been reaped.
    auto signal(int number) -> void;

    /// Ends the process with SIGKILL and reaps it; does nothing if it has been reaped.
    auto kill() -> void;

    /// Waits for the end of the process and reaps it. Returns nothing if it still runs after the timeout.
    [[nodiscard]] auto wait(absl::Duration timeout) -> std::optional<ExitOutcome>;

    /// Returns what the process has written so far.
    [[nodiscard]] auto output() const -> std::string;

    /// Waits until the process has written `count` whole lines that start with the prefix, and returns the rest of each. An error if it ends or the time is up.
    [[nodiscard]] auto waitForLines(const std::string &prefix, std::size_t count, absl::Duration timeout) -> absl::StatusOr<std::vector<std::string>>;

private:
    pid_t child = -1;
    std::string outputPath;
    std::optional<ExitOutcome> ended;
};

} // namespace tamarackspan::testkit
