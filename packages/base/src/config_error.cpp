#include "tamarackspan/base/config_error.h"

#include "absl/strings/str_cat.h"

namespace tamarackspan::base {

auto toString(const ConfigError &error) -> std::string
{
    auto text = error.position.path;
    if (error.position.line > 0) {
        absl::StrAppend(&text, ":", error.position.line, ":", error.position.column);
    }
    if (!text.empty()) {
        text += ": ";
    }
    if (!error.key.empty()) {
        absl::StrAppend(&text, error.key, ": ");
    }
    return text + error.message;
}

} // namespace tamarackspan::base
