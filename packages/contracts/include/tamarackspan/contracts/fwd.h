#pragma once

namespace tamarackspan::contracts {

struct Change;
struct Contract;
struct DataCentreLimits;
struct HostList;
struct Limits;
struct Operation;
struct Leaf;
struct ListedHost;
struct Service;
struct Shard;
struct TomlEntry;
struct TomlValue;
class TableReader;

} // namespace tamarackspan::contracts
