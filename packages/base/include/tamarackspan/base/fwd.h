#pragma once

namespace tamarackspan::base {

template<typename Tag, typename T>
class StrongValue;
template<typename T, typename E>
class Result;
struct ConfigError;
struct SourcePosition;
class Random;

} // namespace tamarackspan::base
