// Messages between nodes. Regenerate with scripts/generate after a change; fields are only added,
// never renumbered, so that nodes of two versions can talk during an upgrade.
namespace cpp pomelorouter.protocol.gen

struct MemberEntry {
  1: required string node
  2: required i64 incarnation
  3: required i64 counter
  4: required bool ready
  5: optional bool leaving
  // The node did not answer after this counter.
  6: optional bool suspect
}

// A backend server that was seen leaving.
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

// The folded settings state, in the form of a settings_snapshot record.
struct SettingsState {
  1: required string snapshot
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
