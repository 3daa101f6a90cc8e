#pragma once

namespace tamarackspan::logging {

class Logger;
struct Field;
struct LogOptions;

} // namespace tamarackspan::logging
