#pragma once

#include "tamarackspan/daemon/accounting.h"
#include "tamarackspan/daemon/caller_query.h"
#include "tamarackspan/daemon/control_view.h"
#include "tamarackspan/daemon/host_identity.h"
#include "tamarackspan/daemon/leaf_dispatcher.h"
#include "tamarackspan/execution/ticket_book.h"
#include "tamarackspan/transport/event_loop.h"
#include "tamarackspan/transport/peer_links.h"

#include "absl/container/flat_hash_map.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace tamarackspan::daemon {

/// The result of a request that is not idempotent, for its submitter.
struct ExecuteResult
{
    RunState run = RunState::MayHaveRun;
    /// The leaf examined the request and declined it, changing nothing.
    bool rejected = false;
    /// Why there is no answer.
    RefusalKind kind = RefusalKind::OutcomeUnknown;
    std::string message;
    /// The leaf's answer, if the request ran or was rejected.
    std::string body;
};

/// Runs requests that are not idempotent, each at most once, on one traffic thread of the host.
class ExecuteRunner
{
public:
    /// Called once with the result of a request.
    using ResultHandler = std::function<void(const ExecuteResult &)>;

    ExecuteRunner(transport::EventLoop &loop, HostIdentity identity, transport::PeerLinks &links, LeafDispatcher leafs, Accounting &accounting,
                  execution::TicketBook book);
    ~ExecuteRunner();
    ExecuteRunner(const ExecuteRunner &) = delete;
    auto operator=(const ExecuteRunner &) -> ExecuteRunner & = delete;

    /// Uses a new view from now on.
    auto updateView(ControlViewPtr newView) -> void;

    /// Issues a ticket to the caller.
    auto issueTicket(const CallerQuery &caller) -> void;

    /// Runs a caller's request, forwards it to the host that issued its ticket, or answers with the outcome of an earlier submission.
    auto start(CallerQuery caller) -> void;

    /// Answers a request that wasn't admitted: with its outcome if an earlier submission of its ticket has finished here, otherwise with the refusal. The
    /// refusal says "not run" only if this host issued the ticket and knows that no submission of it was begun.
    auto refuse(const CallerQuery &caller, Refusal refusal) -> void;

    /// Handles a request that another entry host forwarded.
    auto onForward(const wire::ExecuteForwardT &forward, ResultHandler reply) -> void;

    /// Handles the reply to a request that was sent on a link.
    auto onReply(const wire::ExecuteReplyT &reply) -> void;

    /// Handles the loss of a link: the replies pending on it won't arrive.
    auto onLinkDown(const transport::LinkPtr &link) -> void;

    /// Stops issuing tickets.
    auto stopIssuing() -> void;

    /// Returns whether no ticket is left that could still be run, so that this process may end.
    [[nodiscard]] auto isDrained() -> bool;

private:
    struct Submission;
    struct Run;
    struct Sent;
    using SubmissionPtr = std::shared_ptr<Submission>;
    using RunPtr = std::shared_ptr<Run>;

    auto submit(const SubmissionPtr &submission) -> void;
    auto startRun(const SubmissionPtr &submission) -> void;
    auto join(const SubmissionPtr &submission) -> void;
    auto tryNextReplica(const RunPtr &run) -> void;
    auto sendToNextOwner(const RunPtr &run) -> bool;
    auto sendLocal(const RunPtr &run, const base::LeafId &leaf) -> void;
    auto onLeafResult(const RunPtr &run, LeafWorkReply reply) -> void;
    auto endRun(const RunPtr &run, const execution::Outcome &outcome, RefusalKind kind, const std::string &message) -> void;
    auto forward(const SubmissionPtr &submission) -> void;
    auto retryForwardLater(const SubmissionPtr &submission) -> void;
    auto settle(const SubmissionPtr &submission, const ExecuteResult &result) -> void;
    auto answerCaller(const CallerQuery &caller, const ExecuteResult &result) -> void;

    transport::EventLoop &loop;
    HostIdentity identity;
    transport::PeerLinks &links;
    LeafDispatcher leafs;
    Accounting &accounting;
    execution::TicketBook book;
    ControlViewPtr view;
    std::uint64_t lastRequest = 0;
    /// Runs in progress, by ticket number.
    absl::flat_hash_map<std::uint64_t, RunPtr> runs;
    /// Requests sent on links whose replies are pending.
    absl::flat_hash_map<std::uint64_t, Sent> sent;
};

} // namespace tamarackspan::daemon
