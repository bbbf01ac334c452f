/**
 * What entries and the placement leader tell each other. One frame holds one PeerMessage in Thrift's compact form.
 */
namespace java org.hawthornglade.protocol.gen.peer

/** Calls that wait for a model or adapter. */
struct Waiting {
  1: string model
  2: optional string adapter
  3: i32 calls
  /** How long the most urgent call can still wait within its latency target; negative when late. */
  4: i64 slackMs
  /** How many of the calls were refused and are expected to come again. */
  5: optional i32 expectedCalls
}

/** Calls under way for a model or adapter. */
struct Running {
  1: string model
  2: optional string adapter
  3: i32 calls
}

/** Calls under way at an instance. */
struct InstanceUse {
  1: string instance
  2: list<Running> running
}

/** Calls that have lately asked for a model. */
struct Arrivals {
  2: i64 tightestTargetMs
  /** Their rate; an old call counts less than a new one. */
  3: double callsPerSecond
  /** The tokens that engines have to read for them, parts shared with others left out. */
  4: double promptTokensPerSecond
}

/** The demand for one service at one entry. */
struct ServiceDemand {
  1: string serviceName
  2: list<Waiting> waiting
  /** Calls for each model. */
  3: map<string, Arrivals> arrivals
  4: list<InstanceUse> instances
  /** Instances that the entry lately failed to reach. */
  5: list<string> unreachable
  /** Instances that have told the entry that they leave, with their start in milliseconds since 1970. */
  6: optional map<string, i64> saidToLeave
}

/** What an answer of an endpoint says of the requests that it takes from all entries; the times are the sender's. */
struct LimitWord {
  /** Requests a second; not set if the answer names no limit. */
  1: optional double perSecond
  /** When the request was sent, in milliseconds of the steady clock. */
  2: i64 sentAtMs
  /** When the head of the answer was read, on the same clock. */
  3: i64 heardAtMs
}

/** What an entry tells of an endpoint with a limit. */
struct PermitAsk {
  1: string instance
  2: i64 bornMs
  /** Set if the endpoint has told this entry itself. */
  3: optional LimitWord word
  /** Calls that wait for a permit. */
  4: i32 calls
  /** Calls that go elsewhere if there is no permit at once. */
  5: i32 briefCalls
  /** The rank of the most urgent call that waits; 0 goes first. */
  6: i32 priority
}

/** What an entry tells the leader. */
struct DemandReport {
  1: string entry
  2: list<ServiceDemand> services
  /** The arrivals are left out: those told before go on to count. */
  3: bool withoutArrivals
  /** When this was sent, on the entry's steady clock in milliseconds. */
  4: optional i64 sentAtMs
  /** The last news of limits that the entry has read. */
  5: optional i64 seenSerial
  6: optional list<PermitAsk> asks
}

/** How far a model or adapter is on an instance. */
enum PlacedStatus {
  READY = 1
  LOADING = 2
  UNLOADING = 3
}

/** A model on an instance. */
struct PlacedModel {
  1: string model
  2: PlacedStatus status
  /** When it is expected to be ready, from now; 0 unless loading. */
  3: i64 readyInMs
  4: map<string, PlacedStatus> adapters
}

/** The models on an instance, for one start of it. */
struct PlacedInstance {
  1: string instance
  2: i64 bornMs
  3: list<PlacedModel> models
  /** Calls under way there from all entries. */
  4: i32 running
}

/** What the leader has learned of the weight store of a service. */
struct StoreLimits {
  1: string serviceName
  /** So many loads have kept their nominal time together. */
  2: i32 proven
  /** More loads at once than this are not tried for the time being. */
  3: i32 most
}

/** What the leader tells entries. */
struct PlacementNews {
  1: i64 fencingToken
  2: list<PlacedInstance> instances
  /** The revision of the lease row that the leader wrote last. */
  3: i64 leaseRevision
  /** How many entries there are, the leader included. */
  4: i32 entries
  5: optional list<StoreLimits> storeLimits
  /** The era of the store in which the lease row had that revision. */
  6: optional i64 storeEra
  /** Instances that are not named are as told before on this connection; otherwise they are gone. */
  7: optional bool changesOnly
  /** Calls under way at instances that are not named above. */
  8: optional map<string, i32> running
  /** What loads at instances that are not named above; they hold no other models that load. */
  9: optional list<PlacedInstance> loads
}

/** What the leader tells an entry of an endpoint with a limit. */
struct LimitStatus {
  1: string instance
  2: i64 bornMs
  3: LimitWord word
  /** Requests that the entry may send, besides those told before. */
  4: i32 permits
  /** Calls that wait at other entries. */
  5: i32 othersWaiting
}

/** What the leader tells one entry of endpoints with limits. */
struct LimitNews {
  1: i64 serial
  /** When this was sent, on the leader's steady clock in milliseconds. */
  2: i64 sentAtMs
  /** When the ask was sent that this answers, on the entry's steady clock; permits count from then. */
  3: i64 askedAtMs
  4: list<LimitStatus> statuses
}

/** A call that the crash of an instance has cut off. */
struct CutOffCall {
  1: string instance
  /** The start of the instance that the crash ended, in milliseconds since 1970. */
  2: i64 bornMs
  /** How long ago the call was cut off. */
  3: i64 agoMs
  /** The parts of its prompt that other calls may share, in order, and the request itself. */
  4: list<string> parts
  /** How long ago the call was sent to the instance. */
  5: optional i64 sentAgoMs
}

/** A part of a prompt with which calls are refused. */
struct Quarantine {
  /** The first of the parts that were blamed, which identifies the quarantine. */
  1: string part
  /** How long until one call may try the part; negative if that time has passed. */
  2: i64 leftMs
  /** The number of its quarantines in a row. */
  3: i32 quarantines
  /** The entry that may send this one call. */
  4: optional string prober
  /** The parts that a call must have to be refused. */
  5: list<string> members
  /** How long ago the first crash was for which they are blamed. */
  6: i64 blamedAgoMs
}

/** What an entry tells the leader of parts that may crash instances. */
struct QuarantineReport {
  1: string entry
  2: list<CutOffCall> crashes
  /** How long ago answers were last completed on suspects. */
  3: map<string, i64> completedAgoMs
  4: list<Quarantine> quarantined
  /** Parts because of which calls were refused. */
  5: list<string> refused
}

/** What the leader tells all entries of such parts. */
struct QuarantineNews {
  1: list<string> suspects
  2: list<Quarantine> quarantined
}

/** What an entry tells of the quota of a team. */
struct QuotaUse {
  1: string team
  /** Units that were used of those granted since the term began. */
  2: i64 usedUnits
  /** Units that are given back of those granted since the term began. */
  3: i64 returnedUnits
  /** Units a second that were lately asked for, refused ones included. */
  4: i64 demandPerS
  /** Units of the calls that wait for this. */
  5: i64 askedUnits
  /** Units of the smallest of these calls. */
  6: i64 smallestAskUnits
  /** What the entry uses of the quota if it loses the leader, in millionths. */
  7: i64 sharePpm
}

/** What an entry tells the leader of quotas. */
struct QuotaReport {
  1: i64 run
  /** When this was sent, on the entry's steady clock in milliseconds. */
  2: i64 sentAtMs
  /** The term of the leader whose grants are meant; 0 if none. */
  3: i64 term
  4: list<QuotaUse> uses
}

/** What the leader grants an entry of the quota of a team. */
struct QuotaGrant {
  1: string team
  /** All units granted to the entry since the term began. */
  2: i64 grantedUnits
  /** Unused units beyond these are to be given back. */
  3: i64 keepUnits
  /** What the entry may use of the quota if it loses the leader, in millionths. */
  4: i64 sharePpm
  /** How long until units that were not granted can be; 0 if they were. */
  5: i64 shortMs
}

/** What the leader answers to the quota report of an entry. */
struct QuotaNews {
  1: i64 term
  /** When the report was sent, on the entry's steady clock in milliseconds. */
  2: i64 reportSentAtMs
  /** Among how many entries quotas are divided. */
  3: i64 entries
  4: list<QuotaGrant> grants
}

/** One frame: exactly one field is set. */
struct PeerMessage {
  1: optional DemandReport demand
  2: optional PlacementNews placement
  3: optional LimitNews limits
  4: optional QuarantineReport quarantineReport
  5: optional QuarantineNews quarantine
  6: optional QuotaReport quotaReport
  7: optional QuotaNews quotas
}
