#pragma once

namespace tamarackspan::contracts {

struct Contract;
struct Limits;
struct Operation;
struct Leaf;
struct Service;
struct Shard;

} // namespace tamarackspan::contracts
