#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace tamarackspan::execution {

/// What is known of whether a request was run. Said of a ticket, NotRun and Ran are final: they hold for every later time.
enum class RunState {
    NotRun,
    Ran,
    MayHaveRun,
};

/// Returns "not-run", "ran" or "may-have-run".
[[nodiscard]] auto toString(RunState state) noexcept -> std::string_view;

/// What came of running a request, as every later submission of its ticket gets it.
struct Outcome
{
    RunState runState = RunState::MayHaveRun;
    /// The HTTP status for the caller.
    std::uint32_t status = 0;
    std::string body{};
    /// False if the body was longer than the book keeps; it is empty then.
    bool bodyKept = true;

    friend auto operator==(const Outcome &, const Outcome &) -> bool = default;
};

} // namespace tamarackspan::execution
