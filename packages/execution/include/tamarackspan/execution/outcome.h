#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace tamarackspan::execution {

/// Whether a request was run, as far as is known. For a ticket, NotRun and Ran are final: they hold for all later times.
enum class RunState {
    NotRun,
    Ran,
    MayHaveRun,
};

/// Returns "not-run", "ran" or "may-have-run".
[[nodiscard]] auto toString(RunState state) noexcept -> std::string_view;

/// The result of running a request, returned to every later submission of its ticket.
struct Outcome
{
    RunState runState = RunState::MayHaveRun;
    /// The HTTP status for the caller.
    std::uint32_t status = 0;
    std::string body{};
    /// False if the body was longer than the book keeps; the body is then empty.
    bool bodyKept = true;

    friend auto operator==(const Outcome &, const Outcome &) -> bool = default;
};

} // namespace tamarackspan::execution
