#pragma once

namespace tamarackspan::testkit {

class ChildProcess;
class Exchange;
class Fleet;
class HttpServer;
class LeafServer;
class PlatformServer;
struct HttpReply;
struct HttpRequest;
struct LeafBehaviour;

} // namespace tamarackspan::testkit
