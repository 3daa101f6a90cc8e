#pragma once

namespace tamarackspan::transport {

class Acceptor;
class EventLoop;
class FrameConnection;
class Link;
class PeerLinks;
struct Endpoint;
struct LinkIdentity;
struct LinkTiming;

} // namespace tamarackspan::transport
