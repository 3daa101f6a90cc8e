#pragma once

#include "tamarackspan/contracts/contract.h"
#include "tamarackspan/http/responder.h"

#include "absl/time/time.h"

#include <functional>
#include <memory>
#include <string>

namespace tamarackspan::daemon {

/// One admitted request of a caller on its way through a traffic thread.
struct CallerQuery
{
    base::CustomerName customer;
    contracts::Operation operation;
    absl::Time arrivedAt;
    absl::Time deadline;
    std::shared_ptr<const std::string> body;
    /// Determines the shard of a request that is not idempotent.
    std::string routingKey;
    std::string ticket;
    std::shared_ptr<http::Responder> responder;
    /// Called once when the request has ended, whatever its outcome.
    std::function<void()> finished;
};

} // namespace tamarackspan::daemon
