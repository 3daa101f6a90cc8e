#include "tamarackspan/transport/link.h"

#include <utility>

namespace tamarackspan::transport {

namespace {

constexpr auto maxPendingBytes = std::size_t{8} << 20U;

} // namespace

auto Link::send(std::string frame) -> bool
{
    if (this->helloReceived) {
        return this->connection->send(frame);
    }
    if (!this->connection->isOpen() || this->pendingBytes + frame.size() > maxPendingBytes) {
        return false;
    }
    this->pendingBytes += frame.size();
    this->pendingFrames.push_back(std::move(frame));
    return true;
}

} // namespace tamarackspan::transport
