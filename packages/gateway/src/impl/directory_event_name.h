#pragma once

#include "tamarackspan/gateway/leaf_directory.h"

#include <string_view>

namespace tamarackspan::gateway::impl {

/// Returns the log message for a kind of change among the leafs.
[[nodiscard]] inline auto kindName(DirectoryEvent::Kind kind) -> std::string_view
{
    switch (kind) {
    case DirectoryEvent::Kind::LeafAdded:
        return "a leaf was added";
    case DirectoryEvent::Kind::LeafChanged:
        return "a leaf's entry has changed";
    case DirectoryEvent::Kind::LeafDraining:
        return "a leaf is about to leave";
    case DirectoryEvent::Kind::LeafCold:
        return "a leaf is cold; the requests to it are limited";
    case DirectoryEvent::Kind::LeafMissing:
        return "a leaf's entry is missing";
    case DirectoryEvent::Kind::LeafGone:
        return "a leaf is gone";
    }
    return "unknown";
}

} // namespace tamarackspan::gateway::impl
