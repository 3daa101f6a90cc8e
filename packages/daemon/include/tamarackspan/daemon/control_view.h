#pragma once

#include "tamarackspan/base/ids.h"
#include "tamarackspan/contracts/contract.h"
#include "tamarackspan/query/snapshot.h"
#include "tamarackspan/routing/ownership.h"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <cstdint>
#include <memory>
#include <mutex>
#include <vector>

namespace tamarackspan::daemon {

/// One service as the traffic threads need it.
struct ServiceEntry
{
    std::shared_ptr<const query::ServiceView> view;
    std::shared_ptr<const routing::OwnershipMap> owners;
};

/// The control thread's state as the traffic threads need it. Immutable once published; a new view replaces it.
struct ControlView
{
    std::uint64_t serial = 0;
    absl::flat_hash_map<base::CustomerName, std::shared_ptr<const contracts::Contract>> contracts;
    absl::flat_hash_map<base::ServiceName, ServiceEntry> services;
    /// The host lists that this host has used, oldest first, as far back as leaf shares need them.
    std::vector<routing::HostView> hostViews;
    /// How long a list must have been in force before a share may grow.
    absl::Duration shareWindow;
};

using ControlViewPtr = std::shared_ptr<const ControlView>;

/// Holds the newest view for threads without an event loop that could receive it.
class ControlViewHolder
{
public:
    /// Replaces the view.
    auto set(ControlViewPtr newView) -> void
    {
        const auto lock = std::lock_guard(this->mutex);
        this->view = std::move(newView);
    }

    /// Returns the newest view; never null.
    [[nodiscard]] auto get() const -> ControlViewPtr
    {
        const auto lock = std::lock_guard(this->mutex);
        return this->view;
    }

private:
    mutable std::mutex mutex;
    ControlViewPtr view = std::make_shared<const ControlView>();
};

} // namespace tamarackspan::daemon
