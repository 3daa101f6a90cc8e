#pragma once

#include "tamarackspan/configuration/host_settings.h"

#include "absl/status/statusor.h"

#include <functional>
#include <memory>

namespace tamarackspan::daemon {

/// One running host: all threads, servers and state of the process.
class Daemon
{
public:
    /// Starts everything. Returns Unavailable, naming the address, if one of the sockets can't be opened. `requestStop` is called, from any thread, when an
    /// operator asks for a planned stop.
    [[nodiscard]] static auto start(const configuration::HostSettings &settings, std::function<void()> requestStop) -> absl::StatusOr<std::unique_ptr<Daemon>>;

    ~Daemon();
    Daemon(const Daemon &) = delete;
    auto operator=(const Daemon &) -> Daemon & = delete;

    /// Performs a planned stop: announces it to the balancer and the peers, keeps serving for the drain wait, lets running requests end, and returns when
    /// nothing is left or the time limit has passed.
    auto stop() -> void;

private:
    struct Parts;

    explicit Daemon(std::unique_ptr<Parts> parts);

    std::unique_ptr<Parts> parts;
};

} // namespace tamarackspan::daemon
