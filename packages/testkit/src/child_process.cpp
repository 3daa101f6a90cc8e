#include "tamarackspan/testkit/child_process.h"

#include "tamarackspan/base/clock.h"
#include "tamarackspan/base/require.h"

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace tamarackspan::testkit {

namespace {

constexpr auto pollInterval = absl::Milliseconds(2);
constexpr auto cannotStart = 127;

/// Runs in the child process after fork(), where only async-signal-safe calls are allowed.
[[noreturn]] auto execute(const std::vector<char *> &arguments, int output, pid_t parent) -> void
{
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
        _exit(cannotStart);
    }
    auto none = sigset_t{};
    sigemptyset(&none);
    sigprocmask(SIG_SETMASK, &none, nullptr);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    execv(arguments[0], arguments.data());
    _exit(cannotStart);
}

auto outcomeOf(int status) -> ExitOutcome
{
    if (WIFSIGNALED(status)) {
        return {.status = std::nullopt, .signal = WTERMSIG(status)};
    }
    return {.status = WEXITSTATUS(status), .signal = std::nullopt};
}

} // namespace

ChildProcess::ChildProcess(const std::string &program, const std::vector<std::string> &arguments, std::string outputPath)
    : outputPath(std::move(outputPath))
{
    auto values = std::vector<char *>{const_cast<char *>(program.c_str())};
    for (const auto &argument : arguments) {
        values.push_back(const_cast<char *>(argument.c_str()));
    }
    values.push_back(nullptr);
    const auto output = open(this->outputPath.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    base::require(output >= 0, "can't open the output file of a child process");
    const auto parent = getpid();
    this->childPid = fork();
    if (this->childPid == 0) {
        execute(values, output, parent);
    }
    close(output);
    base::require(this->childPid > 0, "can't fork a child process");
}

ChildProcess::~ChildProcess()
{
    this->kill();
}

auto ChildProcess::pid() const noexcept -> pid_t
{
    return this->childPid;
}

auto ChildProcess::signal(int number) -> void
{
    if (!this->exitOutcome.has_value()) {
        ::kill(this->childPid, number);
    }
}

auto ChildProcess::kill() -> void
{
    if (!this->exitOutcome.has_value()) {
        ::kill(this->childPid, SIGKILL);
        auto status = 0;
        while (waitpid(this->childPid, &status, 0) < 0 && errno == EINTR) {
        }
        this->exitOutcome = outcomeOf(status);
    }
}

auto ChildProcess::wait(absl::Duration timeout) -> std::optional<ExitOutcome>
{
    const auto deadline = base::monotonicNow() + timeout;
    while (!this->exitOutcome.has_value()) {
        auto status = 0;
        if (waitpid(this->childPid, &status, WNOHANG) == this->childPid) {
            this->exitOutcome = outcomeOf(status);
        } else if (base::monotonicNow() >= deadline) {
            break;
        } else {
            absl::SleepFor(pollInterval);
        }
    }
    return this->exitOutcome;
}

auto ChildProcess::output() const -> std::string
{
    auto text = std::ostringstream();
    text << std::ifstream(this->outputPath).rdbuf();
    return text.str();
}

auto ChildProcess::waitForLines(const std::string &prefix, std::size_t count, absl::Duration timeout) -> absl::StatusOr<std::vector<std::string>>
{
    const auto deadline = base::monotonicNow() + timeout;
    for (;;) {
        const auto over = this->wait(absl::ZeroDuration()).has_value() || base::monotonicNow() >= deadline;
        auto found = std::vector<std::string>();
        auto lines = std::vector<std::string>(absl::StrSplit(this->output(), '\n'));
        lines.pop_back();
        for (const auto &line : lines) {
            if (absl::StartsWith(line, prefix)) {
                found.push_back(line.substr(prefix.size()));
            }
        }
        if (found.size() >= count) {
            return found;
        }
        if (over) {
            return absl::DeadlineExceededError(absl::StrCat("fewer than ", count, " lines that start with \"", prefix, "\" in: ", this->output()));
        }
        absl::SleepFor(pollInterval);
    }
}

} // namespace tamarackspan::testkit
