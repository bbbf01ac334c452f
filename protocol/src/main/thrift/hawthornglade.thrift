// The protocol between entries and agents.
// Regenerate: bin/regenerate-thrift
namespace java org.hawthornglade.protocol.gen

// ---- control: one long-lived connection from each entry to each of its agents ----

// Requests waiting at one entry for one model. Times are relative, so that clocks need not agree.
struct Demand {
  1: required string model
  2: required i32 queued
  3: required i32 running
  // sum of the class weights of the requests that wait
  4: required double waitingWeight
  5: required i64 oldestWaitMs
  6: required i64 earliestDeadlineInMs
  // adapters asked for among them
  7: required list<string> adapters
  // since the last request for the model at this entry; -1 if there was none
  8: required i64 sinceLastRequestMs
  // how many requests the entry received for the model since it started
  9: required i64 received
}

struct EntryReport {
  1: required string entryId
  2: required i64 bootId
  3: required i64 sequence
  4: required i64 configVersion
  5: required list<Demand> demand
  // the agent's revision that the entry has seen; the agent holds its answer while it has none newer
  6: required i64 seenRevision
  // for at most this long
  7: required i64 waitMs
  8: required bool stopping
}

enum ReplicaState {
  ABSENT = 0
  WAITING = 1
  LOADING = 2
  READY = 3
  UNLOADING = 4
}

struct Replica {
  1: required string model
  2: required i32 ordinal
  3: required ReplicaState state
  4: required i32 running
  5: required i32 maxConcurrent
  // -1 if not known; 0 when ready
  6: required i64 readyInMs
  // when ABSENT: how long a load would take if it began now
  7: required i64 loadEstimateMs
  8: required list<string> adapters
  9: required string version
}

struct AgentReport {
  1: required string instanceId
  2: required i64 bootId
  3: required i64 revision
  4: required i64 configVersion
  5: required bool draining
  6: required list<Replica> replicas
  7: required i32 running
  8: required i32 freeMemoryMb
  9: required string failureDomain
  10: required bool engineReachable
  // for a plain service: its name and how many calls it runs at once; empty and 0 else
  11: required string serviceName
  12: required i32 serviceMaxConcurrent
  // highest configuration version in force here since when, for status
  13: required i64 configAppliedAtMs
}

enum CancelOutcome {
  // the attempt never started and never will: a tombstone is set
  NEVER_STARTED = 0
  // it had started; it is being stopped
  STOPPED = 1
  // it had ended before
  ENDED = 2
}

struct CancelAnswer {
  1: required CancelOutcome outcome
}

struct ConfigurationSnapshot {
  1: required i64 version
  2: required string json
}

struct Event {
  1: required i64 timeMs
  2: required string process
  3: required i64 bootId
  4: required i64 sequence
  5: required string kind
  6: optional string request
  7: optional string attempt
  8: optional string model
  9: optional string instance
  10: required i64 configVersion
  11: required i32 code
  12: required string detail
}

struct Challenge {
  1: required binary nonce
  // over the caller's nonce, by the agent
  2: required binary proof
  3: required string instanceId
}

exception ControlFailure {
  1: required i32 code
  2: required string message
  3: required i64 retryAfterMs
}

service AgentControl {
  // Opens a connection: each side proves that it holds the cluster key before anything else is answered.
  Challenge hello(1: string entryId, 2: binary nonce) throws (1: ControlFailure failure)
  void prove(1: binary proof) throws (1: ControlFailure failure)

  // Heartbeat and report in both directions.
  AgentReport exchange(1: EntryReport report) throws (1: ControlFailure failure)

  // Gives up an attempt, sent or not; the answer tells whether it ran.
  CancelAnswer cancel(1: string attemptId) throws (1: ControlFailure failure)

  // The configuration in force here.
  ConfigurationSnapshot fetchConfiguration() throws (1: ControlFailure failure)
  // Returns the version in force after the offer.
  i64 offerConfiguration(1: ConfigurationSnapshot snapshot) throws (1: ControlFailure failure)

  list<Event> timeline(1: i64 afterSequence, 2: i32 limit) throws (1: ControlFailure failure)

  void drain(1: string reason) throws (1: ControlFailure failure)
}

// ---- data: the answer to POST /attempts/{attemptId} at an agent, a sequence of frames ----

enum FrameKind {
  // the agent did not start the attempt; code and retryAfterMs say why; it is the only frame
  REFUSED = 0
  // status and headers of the endpoint's answer
  HEAD = 1
  // bytes of the endpoint's answer body
  DATA = 2
  // the whole answer has been sent; offset is its length
  COMPLETE = 3
  // the attempt was broken off after it had started
  FAILED = 4
  // nothing new; shows that the connection and the attempt live
  KEEP_ALIVE = 5
}

struct Header {
  1: required string name
  2: required string value
}

struct Frame {
  1: required FrameKind kind
  2: required string attemptId
  // bytes of the body sent before this frame
  3: required i64 offset
  4: optional binary data
  5: optional i32 status
  6: optional list<Header> headers
  7: optional i32 code
  8: optional string message
  9: optional i64 retryAfterMs
}
