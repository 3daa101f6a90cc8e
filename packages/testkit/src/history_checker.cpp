#include "tamarackspan/testkit/history_checker.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <utility>

namespace tamarackspan::testkit {

namespace {

using Json = nlohmann::json;
using Records = std::vector<Json>;

constexpr auto wellFormed = "well-formed";
constexpr auto oneSnapshot = "one-snapshot";
constexpr auto trueCoverage = "true-coverage";
constexpr auto wholeAnswer = "whole-answer";
constexpr auto ownAnswer = "own-answer";
constexpr auto noDuplicates = "no-duplicates";
constexpr auto notRun = "not-run";
constexpr auto atMostOnce = "at-most-once";
constexpr auto leavingLeaf = "leaving-leaf";
constexpr auto slotCap = "slot-cap";
constexpr auto connectionCap = "connection-cap";
constexpr auto costConservation = "cost-conservation";

/// Holds the records grouped by type, and the report so far.
class Checker
{
public:
    explicit Checker(const CheckerOptions &options)
        : options(options)
    {
        for (const auto *rule : {wellFormed, oneSnapshot, trueCoverage, wholeAnswer, ownAnswer, noDuplicates, notRun, atMostOnce, leavingLeaf, slotCap,
                                 connectionCap, costConservation}) {
            this->report.rules.push_back({.rule = rule, .checkCount = 0, .violations = 0});
        }
    }

    /// Adds the record to its group; a record of unknown type violates "well-formed".
    auto add(const Json &record) -> void
    {
        const auto type = record.value("type", "");
        if (type == "call") {
            this->calls.push_back(record);
        } else if (type == "leaf") {
            this->runsByMarker[record.at("marker").get<std::string>()].push_back(record);
            this->requests.push_back(record);
        } else if (type == "leaving" || type == "returning") {
            this->drainChanges[record.at("leaf").get<std::string>()][record.at("at").get<std::int64_t>()] = type == "leaving";
        } else if (type == "charge") {
            this->charged[record.at("customer").get<std::string>()] += record.at("micros").get<double>();
        } else {
            this->addViolation(wellFormed, absl::StrCat("unknown record type in ", record.dump()));
        }
    }

    /// Runs the check on one record; a missing member or one of the wrong type violates "well-formed".
    template<typename Check>
    auto checkRecord(const Json &record, Check checkFields) -> void
    {
        this->countCheck(wellFormed);
        try {
            checkFields(record);
        } catch (const Json::exception &error) {
            this->addViolation(wellFormed, absl::StrCat(error.what(), " in ", record.dump()));
        }
    }

    auto checkAll() -> void
    {
        for (const auto &call : this->calls) {
            this->checkRecord(call, [this](const Json &record) {
                this->checkCall(record);
            });
        }
        for (const auto &request : this->requests) {
            this->checkRecord(request, [this](const Json &record) {
                this->checkLeafRequest(record);
            });
        }
        this->checkTickets();
        this->checkCosts();
    }

    CheckerReport report;

private:
    auto count(const char *rule) -> RuleCount &
    {
        return *std::find_if(this->report.rules.begin(), this->report.rules.end(), [rule](const RuleCount &entry) {
            return entry.rule == rule;
        });
    }

    auto countCheck(const char *rule) -> void
    {
        ++this->count(rule).checkCount;
    }

    auto addViolation(const char *rule, std::string evidence) -> void
    {
        ++this->count(rule).violations;
        this->report.violations.push_back({.rule = rule, .evidence = std::move(evidence)});
    }

    auto expect(const char *rule, bool holds, const std::string &evidence) -> void
    {
        this->countCheck(rule);
        if (!holds) {
            this->addViolation(rule, evidence);
        }
    }

    auto checkCall(const Json &call) -> void
    {
        const auto isQuery = call.at("kind") == "query";
        const auto &run = call.at("run");
        this->expect(wellFormed, run == "run" || run == "not-run" || run == "may-have-run", absl::StrCat("unknown run state in ", call.dump()));
        if (run == "not-run") {
            this->checkNotRun(call);
        }
        if (call.at("status") == 200 && isQuery) {
            this->checkRows(call);
            this->checkCoverage(call);
        } else if (call.at("status") == 200) {
            const auto &answer = call.at("answer");
            this->expect(ownAnswer, hasOnlyMarker(answer, call.at("marker").get<std::string>()), absl::StrCat("answer to another request: ", call.dump()));
        }
    }

    /// True if at least one object in the answer has this marker and none has a different one.
    static auto hasOnlyMarker(const Json &answer, const std::string &marker) -> bool
    {
        auto own = false;
        const auto flat = answer.flatten();
        for (const auto &[path, value] : flat.items()) {
            if (path.size() >= 7 && path.substr(path.size() - 7) == "/marker") {
                if (value != marker) {
                    return false;
                }
                own = true;
            }
        }
        return own;
    }

    auto checkRows(const Json &call) -> void
    {
        const auto &answer = call.at("answer");
        const auto &snapshot = answer.at("snapshot");
        auto keys = std::set<std::string>();
        for (const auto &row : answer.at("rows")) {
            const auto evidence = absl::StrCat("row ", row.dump(), " in the answer to ", call.at("marker").dump(), " labelled ", snapshot.dump());
            this->expect(oneSnapshot, row.at("version") == snapshot.at("index_version") && row.at("map") == snapshot.at("map_generation"), evidence);
            this->expect(ownAnswer, row.at("marker") == call.at("marker"), evidence);
            this->expect(noDuplicates, keys.insert(row.at("key").get<std::string>()).second, evidence);
        }
    }

    auto checkCoverage(const Json &call) -> void
    {
        const auto &answer = call.at("answer");
        const auto &coverage = answer.at("coverage");
        const auto shards = coverage.at("shards").get<std::uint64_t>();
        const auto missing = coverage.at("missing").get<std::set<std::uint64_t>>();
        const auto marker = call.at("marker").get<std::string>();
        const auto label = absl::StrCat(" in the answer to ", marker, " labelled ", coverage.dump());
        this->expect(trueCoverage, coverage.at("covered").get<std::uint64_t>() + missing.size() == shards,
                     absl::StrCat("covered and missing shards do not add up to the total", label));
        const auto completeShards = this->rowsOfCompleteShards(marker, answer.at("snapshot"));
        auto rowsByShard = std::map<std::uint64_t, std::uint64_t>();
        for (const auto &row : answer.at("rows")) {
            const auto shard = row.at("shard").get<std::uint64_t>();
            ++rowsByShard[shard];
            this->expect(trueCoverage, !missing.contains(shard) && !row.value("partial", false), absl::StrCat("row ", row.dump(), label));
        }
        // Each shard that isn't listed as missing must have a complete answer from the labelled snapshot, by a leaf that ran this request.
        auto covered = std::uint64_t{0};
        for (const auto &[shard, rows] : completeShards) {
            if (missing.contains(shard)) {
                continue;
            }
            ++covered;
            const auto cut = this->options.maxRows != 0 && answer.at("rows").size() >= this->options.maxRows;
            this->expect(wholeAnswer, cut || rowsByShard[shard] == rows,
                         absl::StrCat("shard ", shard, " has ", rowsByShard[shard], " of ", rows, " rows", label));
        }
        this->expect(trueCoverage, covered == coverage.at("covered").get<std::uint64_t>(),
                     absl::StrCat("leafs gave complete answers for ", covered, " shards", label));
    }

    /// Returns, for each shard for which a leaf gave a complete answer to this request from this snapshot, the number of rows.
    auto rowsOfCompleteShards(const std::string &marker, const Json &snapshot) -> std::map<std::uint64_t, std::uint64_t>
    {
        auto shards = std::map<std::uint64_t, std::uint64_t>();
        for (const auto &run : this->runsByMarker[marker]) {
            if (run.at("outcome") == "complete" && run.at("version") == snapshot.at("index_version") && run.at("map") == snapshot.at("map_generation")) {
                shards[run.at("shard").get<std::uint64_t>()] = run.at("rows").get<std::uint64_t>();
            }
        }
        return shards;
    }

    /// A run contradicts the call's "not-run" unless another call with the same marker started no later than the run and reports another state.
    auto checkNotRun(const Json &call) -> void
    {
        const auto marker = call.at("marker").get<std::string>();
        auto evidence = std::string();
        for (const auto &run : this->runsByMarker[marker]) {
            if (run.at("ran") == true && !this->explainedByOtherCall(marker, run.at("started").get<std::int64_t>())) {
                evidence = absl::StrCat("refused as not run: ", call.dump(), " but ran: ", run.dump());
            }
        }
        this->expect(notRun, evidence.empty(), evidence);
    }

    [[nodiscard]] auto explainedByOtherCall(const std::string &marker, std::int64_t runStarted) const -> bool
    {
        return std::any_of(this->calls.begin(), this->calls.end(), [&](const Json &call) {
            return call.at("marker") == marker && call.at("run") != "not-run" && call.at("started").get<std::int64_t>() <= runStarted;
        });
    }

    auto checkLeafRequest(const Json &request) -> void
    {
        const auto leaf = request.at("leaf").get<std::string>();
        const auto overSlots = request.at("slots") > request.at("slots_cap") || request.at("violation") == "slots";
        this->expect(slotCap, !overSlots, request.dump());
        const auto cap = request.at("connections_cap").get<std::uint64_t>();
        const auto peak = request.at("connections_peak").get<std::uint64_t>();
        if (cap != 0 && !this->connectionPeaks.contains({leaf, peak})) {
            this->connectionPeaks.insert({leaf, peak});
            this->expect(connectionCap, peak <= cap, absl::StrCat("leaf ", leaf, " had ", peak, " connections, cap ", cap));
        }
        this->checkDraining(request, leaf);
        const auto customer = request.at("customer").get<std::string>();
        this->measured[customer] += request.at("cost").get<double>();
        if (const auto ticket = request.at("ticket").get<std::string>(); request.at("ran") == true && !ticket.empty()) {
            this->runsByTicket[ticket].push_back(request);
        }
    }

    auto checkDraining(const Json &request, const std::string &leaf) -> void
    {
        const auto arrived = request.at("arrived").get<std::int64_t>();
        const auto &changes = this->drainChanges[leaf];
        auto last = changes.upper_bound(arrived);
        if (last == changes.begin()) {
            return;
        }
        --last;
        if (last->second) {
            const auto late = absl::Microseconds(arrived - last->first);
            this->expect(leavingLeaf, late <= this->options.drainingGrace,
                         absl::StrCat("new request ", absl::FormatDuration(late), " after draining began: ", request.dump()));
        }
    }

    auto checkTickets() -> void
    {
        for (const auto &[ticket, runs] : this->runsByTicket) {
            auto evidence = absl::StrCat("ticket ", ticket, " ran ", runs.size(), " times:");
            for (const auto &run : runs) {
                absl::StrAppend(&evidence, " ", run.dump());
            }
            this->expect(atMostOnce, runs.size() == 1, evidence);
        }
    }

    auto checkCosts() -> void
    {
        if (this->charged.empty()) {
            return;
        }
        for (const auto &[customer, micros] : this->measured) {
            this->charged.try_emplace(customer, 0);
        }
        for (const auto &[customer, micros] : this->charged) {
            const auto leafMicros = this->measured[customer];
            this->expect(costConservation, std::abs(micros - leafMicros) <= this->options.costTolerance * leafMicros,
                         absl::StrCat("customer ", customer, " was charged ", micros, " us, the leafs measured ", leafMicros, " us"));
        }
    }

    const CheckerOptions &options;
    Records calls;
    Records requests;
    std::map<std::string, Records> runsByMarker;
    std::map<std::string, Records> runsByTicket;
    /// For each leaf, the times at which it began (true) or ceased (false) to drain.
    std::map<std::string, std::map<std::int64_t, bool>> drainChanges;
    std::map<std::string, double> charged;
    std::map<std::string, double> measured;
    std::set<std::pair<std::string, std::uint64_t>> connectionPeaks;
};

} // namespace

auto checkHistory(const std::vector<Json> &records, const CheckerOptions &options) -> CheckerReport
{
    auto checker = Checker(options);
    for (const auto &record : records) {
        checker.checkRecord(record, [&checker](const Json &added) {
            checker.add(added);
        });
    }
    checker.checkAll();
    return std::move(checker.report);
}

auto toString(const CheckerReport &report) -> std::string
{
    auto text = std::string();
    for (const auto &rule : report.rules) {
        absl::StrAppend(&text, rule.rule, ": ",
                        rule.checkCount == 0 ? "nothing to judge" : absl::StrCat(rule.checkCount, " judged, ", rule.violations, " violations"), "\n");
    }
    for (const auto &violation : report.violations) {
        absl::StrAppend(&text, "VIOLATION ", violation.rule, ": ", violation.evidence, "\n");
    }
    return text;
}

} // namespace tamarackspan::testkit
