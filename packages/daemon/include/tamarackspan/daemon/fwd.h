#pragma once

namespace tamarackspan::daemon {

class Accounting;
class AdminApi;
class AdmissionGate;
class CallerApi;
class Control;
class Daemon;
class ExecuteRunner;
class LeafOwner;
class QueryRunner;
class Worker;
struct CallerReply;
struct ControlView;
struct HostIdentity;
struct LeafWork;
struct LeafWorkReply;

} // namespace tamarackspan::daemon
