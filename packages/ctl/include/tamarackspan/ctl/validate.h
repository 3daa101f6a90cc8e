#pragma once

#include "tamarackspan/base/config_error.h"

#include <cstddef>
#include <string>
#include <vector>

namespace tamarackspan::ctl {

/// The path and the content of a file.
struct NamedText
{
    std::string path;
    std::string text;

    friend auto operator==(const NamedText &, const NamedText &) -> bool = default;
};

/// The number of texts validated, by kind, and all errors found.
struct ValidationReport
{
    std::size_t settings = 0;
    std::size_t contracts = 0;
    std::size_t services = 0;
    std::size_t hostLists = 0;
    std::vector<base::ConfigError> errors;

    friend auto operator==(const ValidationReport &, const ValidationReport &) -> bool = default;
};

/// Whether the services that the contracts' operations name must be among the texts.
enum class CrossCheck {
    Off,
    On,
};

/// Validates each text with the functions that the daemon uses. The kind of a text follows from its keys: "host" or "platform" for settings, "customer" for a
/// contract, "service" for a service, "hosts" or "data_centre" for a host list. If the path of a document ends with a platform key ("contracts/NAME.toml"), the
/// names in the document are also compared with that key. With the cross-check, documents that have the same folder before their key form one deployment.
/// Errors are in the order of the texts; those of the cross-check come last.
[[nodiscard]] auto validate(const std::vector<NamedText> &texts, CrossCheck crossCheck) -> ValidationReport;

} // namespace tamarackspan::ctl
