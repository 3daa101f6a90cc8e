#pragma once

namespace tamarackspan::census {

struct HostRecord;
struct KnownHost;
struct CensusOptions;
struct CensusSettings;
class HostCensus;
class CensusLink;

} // namespace tamarackspan::census
