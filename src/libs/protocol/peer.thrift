// Messages between nodes. Run scripts/generate after a change. Only add fields and never renumber
// them, so that nodes of two versions can exchange messages during an upgrade.
namespace cpp pomelorouter.protocol.gen

struct MemberEntry {
  1: required string node
  2: required i64 incarnation
  3: required i64 counter
  4: required bool ready
  5: optional bool leaving
  // The node has not responded since this counter.
  6: optional bool suspect
}

// A backend server that is known to be leaving.
struct LeavingBackend {
  1: required string id
  2: required i64 incarnation
}

// Requests of a service that a node received in its last interval.
struct ServiceDemand {
  1: required string serviceName
  2: required i32 requests
}

struct Heartbeat {
  1: required MemberEntry origin
  2: required i64 settingsOffset
  3: required i64 settingsVersion
  4: required i32 peersHeard
  5: required list<MemberEntry> others
  6: optional list<LeavingBackend> leaving
  7: optional list<ServiceDemand> demand
  8: optional string peerAddress
}

struct SettingsPull {
  1: required i64 offset
}

// The current settings, as a settings_snapshot record.
struct SettingsState {
  1: required string snapshot
}

// A gateway process, as described by itself.
struct GatewayMember {
  1: required string node
  2: required i64 incarnation
  3: required string zone
  // Addresses for callers, for control requests of other gateways, and for heartbeat datagrams.
  4: required string frontend
  5: required string control
  6: required string datagrams
  7: required bool ready
  // Processor share times link speed, in thousandths of a core times Mbit/s. Gateways with a
  // higher capacity are preferred as aggregators.
  8: optional i64 capacity
}

// Load that a gateway puts on one process of a backend server.
struct BackendLoad {
  1: required string backend
  2: required i32 active
  3: required i32 waitingTokens
  // Streams that still have many tokens to generate, and prompt tokens of newly started calls
  // per second.
  4: optional i32 longStreams
  5: optional double promptRate
  // Tokens of the prompts and outputs of running calls, which occupy the memory of the engine.
  6: optional i32 memoryTokens
  // Streams that are expected to be cut at their deadline, and the most urgent of them.
  7: optional i32 behindStreams
  8: optional i32 urgentBehindStreams
}

// Rate at which a gateway receives requests for one model or adapter.
struct WeightRate {
  1: required string serviceName
  2: required string model
  3: required string adapter
  4: required double perSecond
  5: required double tokensPerSecond
  6: required i32 waiting
  // Tokens per second, averaged over a longer period.
  7: optional double usualTokensPerSecond
  // Prompt tokens of requests that wait at gateways until an engine has capacity for them.
  8: optional i32 queuedTokens
  // The same by rank of the requests, without ranks at the end for which none wait. The last
  // of the ten ranks contains the requests that are late.
  9: optional list<i32> queuedByRank
}

// Use of a team's allowance, in the unit of the allowance per second.
struct TeamUsage {
  1: required string team
  2: required double asked
  3: required double admitted
}

// Speed of the engines of a service, as measured by calls.
struct ServiceSpeed {
  1: required string serviceName
  2: required double promptTokensPerMs
  3: required double stepMs
  // Increase of the duration of a step for each further running request.
  4: required double stepMsPerRequest
  // Number of calls behind the figures, which decreases with their age.
  5: required double samples
}

struct LoadedModel {
  1: required string model
  2: required i64 version
  3: required list<string> adapters
}

// Models loaded on an engine, as known to the holder of the placement lease.
struct EngineWeights {
  1: required string engine
  2: required i64 incarnation
  3: required i64 orderSequence
  4: required list<LoadedModel> models
}

struct LeaseView {
  1: required string holder
  2: required i64 epoch
  3: required i64 endOffset
}

// State of another gateway, as reported by an aggregator.
struct MemberNotice {
  1: required GatewayMember member
  2: required bool alive
}

// A crash of a backend server's process that a prompt part is suspected of. Times are in
// milliseconds.
struct SuspectedCrash {
  1: required string process
  2: required i32 ageMs
  // Time between the sending of the last request with the part and the crash.
  3: required i32 waitedMs
}

// A prompt part that may crash backend servers.
struct SuspectPart {
  1: required string serviceName
  2: required i64 part
  3: required i32 position
  4: required list<SuspectedCrash> crashes
  // Time since a backend server began to answer a request with the part.
  5: optional i32 clearedAgoMs
  // Number of the quarantine, the time until its end, and whether a trial has ended it.
  6: optional i32 round
  7: optional i32 remainingMs
  8: optional bool released
}

// Limit of the requests per second that a process of a backend server accepts from all gateways
// together.
struct BackendLimit {
  1: required string backend
  // Absent if the process names no limit any more.
  2: optional double perSecond
  // Time since it said so, in milliseconds.
  3: required i32 ageMs
}

// The software version that began a stream, by the id of the attempt that brought its first event.
struct StreamOrigin {
  1: required string attempt
  2: required string software
}

// Sent as a datagram after streams have begun, and as question and answer about one stream.
struct StreamOrigins {
  1: required list<StreamOrigin> origins
}

// Sent as a datagram several times a second.
struct GatewayHeartbeat {
  1: required GatewayMember origin
  2: required i64 counter
  3: required i64 configVersion
  4: required LeaseView lease
  5: required list<BackendLoad> loads
  6: required list<WeightRate> rates
  7: required list<EngineWeights> weights
  // Backend servers that the sender knows to be leaving.
  8: required list<LeavingBackend> leaving
  // The gateways whose calls `loads` and `rates` count (protocol::load_scope); 1, the sender only,
  // if absent.
  9: optional i32 scope
  // Time until the next datagram to the same receiver, in milliseconds.
  10: optional i32 periodMs
  // Whether the sender aggregates the reports of its availability zone.
  11: optional bool aggregator
  12: optional list<MemberNotice> members
  13: optional list<SuspectPart> suspects
  14: optional list<BackendLimit> limits
  // Newest era of the platform's store that the sender knows; `lease` is from it.
  15: optional i64 storeEra
  // Cover the same gateways as `loads`.
  16: optional list<TeamUsage> teams
  17: optional list<ServiceSpeed> speeds
  // Number of gateways whose use `teams` contains; absent if the sender does not report it.
  18: optional i32 teamReporters
  // Identifies the store to which `storeEra` and `lease` belong; absent if the sender cannot tell.
  19: optional i64 storeId
  // How long the sender's own reads of that store have succeeded without interruption, in
  // milliseconds; absent if it does not read the store itself or the last read failed.
  20: optional i32 storeContactMs
}

// Requests permits to send requests to a backend server with a limit, from the gateway that issues
// them.
struct PermitRequest {
  1: required string backend
  2: required double perSecond
  3: required i32 count
  // Whether requests wait that no other backend server can serve.
  4: required bool urgent
}

struct PermitGrant {
  1: required i32 count
  // Time until the next permits should be requested, in milliseconds.
  2: required i32 waitMs
}

struct BackendRecord {
  1: required string key
  2: required i64 offset
  // Absent if the receiver has the value already: the record repeats an older one of its key.
  3: optional binary value
  4: required bool removal
}

// Part of the list of backend servers that an aggregator read from the platform's store.
struct BackendPage {
  // Offset from which the receiver requests the next page.
  1: required i64 nextOffset
  // The page is the full list: the receiver removes every key that it lacks.
  2: required bool whole
  // Whether the sender's last reads of the list and of the configuration succeeded.
  3: required bool listReachable
  4: required bool settingsReachable
  5: required list<BackendRecord> records
  // Era of the platform's store to which the offsets belong.
  6: optional i64 storeEra
  // Identifies that store; absent if the sender cannot tell.
  7: optional i64 storeId
}

union PeerMessage {
  1: Heartbeat heartbeat
  2: SettingsPull settingsPull
  3: SettingsState settingsState
}

struct Envelope {
  1: required string sender
  2: required PeerMessage message
}
