#include "tamarackspan/contracts/document_limits.h"
#include "tamarackspan/contracts/parse.h"
#include "tamarackspan/contracts/table_reader.h"

#include "absl/strings/str_cat.h"

namespace tamarackspan::contracts {

namespace {

auto readNumber(TableReader &reader, std::string_view key, NumberRange range, std::optional<std::int64_t> fallback = std::nullopt) -> std::uint32_t
{
    return static_cast<std::uint32_t>(reader.number(key, range, fallback));
}

auto readLimits(TableReader &reader) -> Limits
{
    auto limits = Limits{};
    limits.requestsPerSecond = readNumber(reader, "requests_per_second", {1, maxRequestsPerSecond});
    limits.burst = readNumber(reader, "burst", {0, maxRequestsPerSecond});
    limits.concurrency = readNumber(reader, "concurrency", {1, maxConcurrency});
    reader.rejectUnknownKeys();
    return limits;
}

auto readDataCentres(TableReader &reader) -> std::map<base::DataCentre, std::uint32_t>
{
    auto parts = std::map<base::DataCentre, std::uint32_t>{};
    auto sum = std::uint64_t{0};
    for (const auto &entry : reader.entries()) {
        if (!isName(entry.key)) {
            reader.fail(entry.value, entry.key, "expected the name of a data centre");
            continue;
        }
        const auto part = readNumber(reader, entry.key, {0, fullPermille});
        sum += part;
        parts.emplace(base::DataCentre(entry.key), part);
    }
    if (sum > fullPermille) {
        reader.failKey("", absl::StrCat("expected parts with a sum of at most ", fullPermille, ", found ", sum));
    }
    if (reader.entries().empty()) {
        reader.failKey("", "expected at least one data centre, found none");
    }
    return parts;
}

auto rejectQueryKeys(TableReader &reader) -> void
{
    for (const auto *key : {"coverage_floor_permille", "below_floor", "extra_load_permille", "max_rows"}) {
        if (reader.has(key)) {
            reader.failKey(key, "expected only in an operation of kind \"query\"; one of kind \"execute\" runs on one shard and is sent once");
        }
    }
}

auto readOperation(TableReader &reader, const std::string &name) -> Operation
{
    auto operation = Operation{};
    operation.name = base::OperationName(name);
    operation.service = base::ServiceName(reader.name("service"));
    operation.kind = reader.choice("kind", {"query", "execute"}) == 0 ? OperationKind::Query : OperationKind::Execute;
    operation.priority = reader.choice("priority", {"urgent", "routine"}, 1) == 0 ? Priority::Urgent : Priority::Routine;
    operation.deadline = absl::Milliseconds(reader.number("deadline_ms", {1, maxDeadlineMs}));
    operation.coverageFloorPermille = readNumber(reader, "coverage_floor_permille", {0, fullPermille}, fullPermille);
    operation.belowFloor = reader.choice("below_floor", {"refuse", "label"}, 1) == 0 ? BelowFloor::Refuse : BelowFloor::Label;
    operation.extraLoadPermille = readNumber(reader, "extra_load_permille", {0, fullPermille}, defaultExtraLoadPermille);
    operation.maxRows = readNumber(reader, "max_rows", {1, maxRowsPerAnswer}, defaultMaxRows);
    if (operation.kind == OperationKind::Execute) {
        rejectQueryKeys(reader);
    }
    reader.rejectUnknownKeys();
    return operation;
}

auto readOperations(TableReader &reader) -> std::map<base::OperationName, Operation>
{
    auto operations = std::map<base::OperationName, Operation>{};
    for (const auto &entry : reader.entries()) {
        if (!isName(entry.key)) {
            reader.fail(entry.value, entry.key, "expected the name of an operation");
        }
        if (auto table = reader.nested(entry.value, entry.key)) {
            operations.emplace(base::OperationName(entry.key), readOperation(*table, entry.key));
        }
    }
    if (reader.entries().empty()) {
        reader.failKey("", "expected at least one operation, found none");
    }
    return operations;
}

auto readTerms(TableReader &reader, Contract &contract) -> void
{
    if (auto table = reader.table("limits", true)) {
        contract.limits = readLimits(*table);
    }
    if (auto table = reader.table("data_centres", true)) {
        contract.dataCentrePermille = readDataCentres(*table);
    }
    if (auto table = reader.table("operations", true)) {
        contract.operations = readOperations(*table);
    }
}

} // namespace

auto parseContract(std::string_view text, std::string path) -> base::Result<Contract, ConfigErrors>
{
    const auto root = parseToml(text, path);
    if (!root.ok()) {
        return root.error();
    }
    auto errors = ConfigErrors{};
    auto reader = TableReader(root.value(), std::move(path), "", errors);
    auto contract = Contract{};
    contract.customer = base::CustomerName(reader.name("customer"));
    contract.publishedBy = reader.text("published_by", maxPublishedByBytes);
    contract.removed = reader.flag("removed", false);
    if (!contract.removed) {
        readTerms(reader, contract);
    }
    reader.rejectUnknownKeys();
    if (!errors.empty()) {
        sortByPosition(errors);
        return errors;
    }
    return contract;
}

} // namespace tamarackspan::contracts
