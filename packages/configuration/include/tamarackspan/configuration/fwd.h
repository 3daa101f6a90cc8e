#pragma once

namespace tamarackspan::configuration {

struct AuditEntry;
class AuditTrail;
struct ConfigDigest;
struct ConfigDocuments;
struct ConfigFetch;
struct ConfigList;
struct ConfigListRequest;
struct Document;
struct DocumentKey;
struct DocumentStore;
struct HostSettings;
struct ReadPlan;

} // namespace tamarackspan::configuration
