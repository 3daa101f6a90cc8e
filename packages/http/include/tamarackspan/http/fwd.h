#pragma once

namespace tamarackspan::http {

struct Header;
struct Request;
struct Response;
struct ClientOptions;
class Client;
struct ServerRequest;
struct ServerResponse;
struct ServerOptions;
struct ServerCounters;
class Responder;
class Server;

} // namespace tamarackspan::http
