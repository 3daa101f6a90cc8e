#pragma once

#include "tamarackspan/gateway/catalogue.h"
#include "tamarackspan/gateway/leaf_entry.h"
#include "tamarackspan/http/message_reader.h"
#include "tamarackspan/http/stream_server.h"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace tamarackspan::gateway {

/// A caller's request, independent of its protocol.
struct CallerRequest
{
    /// Identifies one attempt of the caller; empty if it gave none.
    std::string id{};
    /// In lower case, without a port.
    std::string hostName{};
    /// Without the query part.
    std::string path{};
    /// How long the caller waits from now on; nothing if not stated.
    std::optional<absl::Duration> timeout{};

    friend auto operator==(const CallerRequest &, const CallerRequest &) -> bool = default;
};

/// Why a caller doesn't get a leaf's answer.
enum class RefusalKind {
    /// The message can't be parsed.
    Malformed,
    /// No operation has that host name and path.
    UnknownOperation,
    /// No leaf has run it, and none will.
    NotRun,
    /// A leaf may have run it, but no answer arrived.
    Failed,
    /// The deadline has passed, and a leaf may have run it.
    TimedOut,
};

/// An answer that the host gives in place of a leaf.
struct Refusal
{
    RefusalKind kind = RefusalKind::Failed;
    /// After which time a retry is likely to be served.
    std::optional<absl::Duration> retryAfter{};

    friend auto operator==(const Refusal &, const Refusal &) -> bool = default;
};

/// An answer that is merged from shards.
struct GatheredAnswer
{
    std::string records{};
    /// The signatures of the shards' answers that it contains.
    std::vector<std::string> signatures{};
    std::size_t missing = 0;

    friend auto operator==(const GatheredAnswer &, const GatheredAnswer &) -> bool = default;
};

/// The callers' protocol.
struct CallerProtocol
{
    /// Parses a caller's message; returns nothing if it is malformed.
    std::function<std::optional<CallerRequest>(const http::StreamMessage &)> read;
    std::function<http::StreamAnswer(const GatheredAnswer &)> gathered;
    std::function<http::StreamAnswer(const Refusal &)> refusal;
};

/// The meaning of a leaf's response.
enum class LeafVerdict {
    Success,
    /// The leaf ran the request and failed.
    Failure,
    /// The leaf states that it has not run the request and won't.
    NotRun,
    /// Another leaf answers at that address.
    WrongLeaf,
    /// A status that would imply "not run", without an explicit statement by the leaf.
    Unclear,
};

/// A parsed response of a leaf.
struct LeafReply
{
    LeafVerdict verdict = LeafVerdict::Failure;
    /// Proves which leaf answered which request; empty if it gave none.
    std::string signature{};

    friend auto operator==(const LeafReply &, const LeafReply &) -> bool = default;
};

/// What a leaf's response states about the leaf itself, independent of the request.
struct LeafNotice
{
    /// The leaf is about to stop: it is sent nothing more until it has started again.
    bool leaving = false;
    /// For how long the leaf wants no requests from this host; zero if it doesn't say so. At most maxBackoff.
    absl::Duration backoff = absl::ZeroDuration();
    /// The value of a backoff field that isn't usable, or that was limited; empty otherwise.
    std::string invalidBackoff{};

    friend auto operator==(const LeafNotice &, const LeafNotice &) -> bool = default;
};

/// The maximum time for which a leaf is left alone at its own request. A leaf that still wants it then says so again.
inline constexpr auto maxBackoff = absl::Seconds(60);

/// The leafs' protocol.
struct LeafProtocol
{
    /// Returns the part that the requests to all leafs have in common, built once for each caller's request.
    std::function<std::string(const CallerRequest &, const http::StreamMessage &)> commonPart;
    /// Returns the complete request to one leaf, which may work on it for `timeLeft`.
    std::function<std::string(std::string_view commonPart, const http::StreamMessage &, const LeafEntry &, absl::Duration timeLeft)> request;
    /// Returns whether a response belongs to the request of that id. One that doesn't is neither an answer nor the leaf's word that it hasn't run the request.
    std::function<bool(std::string_view requestId, const http::StreamMessage &)> belongs;
    std::function<LeafReply(const http::StreamMessage &)> parseReply;
    /// Returns what a response states about its leaf. The response may be one that came late and belongs to an earlier request, but not one that belongs to
    /// none.
    std::function<LeafNotice(const http::StreamMessage &)> parseNotice;
    /// Converts a leaf's response to the answer for the caller.
    std::function<http::StreamAnswer(http::StreamMessage)> relay;
};

/// A leaf's entry was removed.
struct LeafRemoved
{
    std::string id{};

    friend auto operator==(const LeafRemoved &, const LeafRemoved &) -> bool = default;
};

/// The operator's item that evacuates a data centre was written or removed.
struct EvacuationItem
{
    std::string dataCentre{};
    bool evacuated = false;
    /// The store's revision at which that happened.
    std::uint64_t revision = 0;

    friend auto operator==(const EvacuationItem &, const EvacuationItem &) -> bool = default;
};

/// An entry that can't be used, and why.
struct UnreadableEntry
{
    std::string key{};
    std::string reason{};

    friend auto operator==(const UnreadableEntry &, const UnreadableEntry &) -> bool = default;
};

/// One change in the document store.
using DocumentChange = std::variant<Catalogue, LeafEntry, LeafRemoved, EvacuationItem, UnreadableEntry>;

/// Result of a call to the document store.
struct DocumentReply
{
    enum class Outcome {
        Ok,
        /// The changes since the requested revision are no longer kept.
        HistoryLost,
        /// The store refused the call or can't be reached.
        Unavailable,
    };
    Outcome outcome = Outcome::Unavailable;
    std::vector<DocumentChange> changes{};
    /// The store's revision as of this reply; the next call for changes starts from it.
    std::uint64_t revision = 0;
    /// The store's era; nothing if the reply states none or one that isn't a number.
    std::optional<std::uint64_t> era{};
    /// Whether the reply states an era that isn't a number.
    bool hasUnreadableEra = false;
    /// The key after which the next page of a listing begins; empty on the last page.
    std::string nextPage{};
    /// Reason of a failure, for logs.
    std::string error{};
};

/// Calls of a read-only document store. Each calls back once, from the event loop.
struct DocumentCalls
{
    using Callback = std::function<void(DocumentReply)>;

    /// Reads the newest catalogue and all evacuations; the reply states the earliest revision that any part of it shows.
    std::function<void(absl::Duration timeout, Callback)> catalogue;
    /// Returns the catalogues and the changes of evacuations after a revision; waits up to `wait` for the first.
    std::function<void(std::uint64_t afterRevision, absl::Duration wait, absl::Duration timeout, Callback)> catalogueChanges;
    /// Lists leafs' entries after a key. May be slightly stale unless `fresh`, which costs more.
    std::function<void(const std::string &afterKey, bool fresh, absl::Duration timeout, Callback)> leafs;
    /// Returns all changes after a revision, of catalogue and leafs, without waiting. May be stale by seconds unless `fresh`, which costs more.
    std::function<void(std::uint64_t afterRevision, bool fresh, absl::Duration timeout, Callback)> changes;
    /// Sets whether replies to `changes` contain each report of a leaf, also one that repeats the report read before it. May be empty.
    std::function<void(bool)> setEveryReport{};
    /// Makes the replies contain the next entry of a leaf also if it differs from the last only in its sequence; may be empty.
    std::function<void(const std::string &leafId)> forgetLeaf{};
};

} // namespace tamarackspan::gateway
