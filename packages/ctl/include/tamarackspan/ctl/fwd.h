#pragma once

namespace tamarackspan::ctl {

struct AdminAnswer;
struct CommandLine;
struct NamedText;
struct ValidationReport;

} // namespace tamarackspan::ctl
