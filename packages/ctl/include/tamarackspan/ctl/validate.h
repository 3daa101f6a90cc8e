#pragma once

#include "tamarackspan/base/config_error.h"

#include <cstddef>
#include <string>
#include <vector>

namespace tamarackspan::ctl {

/// One file as it was read.
struct NamedText
{
    std::string path;
    std::string text;

    friend auto operator==(const NamedText &, const NamedText &) -> bool = default;
};

/// What was looked at, and every fault found.
struct ValidationReport
{
    std::size_t settings = 0;
    std::size_t contracts = 0;
    std::size_t services = 0;
    std::size_t hostLists = 0;
    std::vector<base::ConfigError> errors;

    friend auto operator==(const ValidationReport &, const ValidationReport &) -> bool = default;
};

/// Whether contracts must find the services that their operations name among the texts.
enum class CrossCheck {
    Off,
    On,
};

/// Judges each text by the functions that the daemon uses. The kind of a text follows from its keys: "host" or "platform" for settings, "customer" for a
/// contract, "service" for a service, "hosts" or "data_centre" for a host list. A document whose path ends as a key of the platform ("contracts/NAME.toml") has
/// its names compared with that key too. With the cross-check, the documents with the same folder before their key are taken as one deployment. Faults are in
/// the order of the texts; those of the cross-check come last.
[[nodiscard]] auto validate(const std::vector<NamedText> &texts, CrossCheck crossCheck) -> ValidationReport;

} // namespace tamarackspan::ctl
