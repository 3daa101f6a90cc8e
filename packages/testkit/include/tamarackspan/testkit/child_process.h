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
    /// The exit status, if the process exited.
    std::optional<int> status;
    /// The signal that killed the process, if one did.
    std::optional<int> signal;

    friend auto operator==(const ExitOutcome &, const ExitOutcome &) -> bool = default;
};

/// A process started by a test. The destructor kills and reaps it; it is also killed when the thread that started it ends.
class ChildProcess
{
public:
    /// Starts the program with these arguments; standard output and standard error are appended to the file at `outputPath`. If the program can't be started,
    /// the child exits with status 127.
    ChildProcess(const std::string &program, const std::vector<std::string> &arguments, std::string outputPath);
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    auto operator=(const ChildProcess &) -> ChildProcess & = delete;

    [[nodiscard]] auto pid() const noexcept -> pid_t;

    /// Sends a signal, such as SIGTERM, SIGSTOP or SIGCONT; does nothing if the process has been reaped.
    auto signal(int number) -> void;

    /// Kills the process with SIGKILL and reaps it; does nothing if it has been reaped.
    auto kill() -> void;

    /// Waits until the process ends and reaps it. Returns nullopt if it still runs after the timeout.
    [[nodiscard]] auto wait(absl::Duration timeout) -> std::optional<ExitOutcome>;

    /// Returns what the process has written so far.
    [[nodiscard]] auto output() const -> std::string;

    /// Waits until the process has written `count` complete lines that start with the prefix, and returns the rest of each. Returns an error if the process
    /// ends or the timeout passes first.
    [[nodiscard]] auto waitForLines(const std::string &prefix, std::size_t count, absl::Duration timeout) -> absl::StatusOr<std::vector<std::string>>;

private:
    pid_t childPid = -1;
    std::string outputPath;
    std::optional<ExitOutcome> exitOutcome;
};

} // namespace tamarackspan::testkit
