# Records in the log and messages between instances of basiljunction.
#
# Field numbers never change meaning; new fields are added at the end. Suffixes
# state units: S (seconds), Mib (MiB), Millicores (thousandths of a core).

@0xb3f1c0a9d27e5d41;

struct Batch {
  authorName @0 :Text;
  authorIncarnation @1 :Int64;
  firstSequence @2 :Int64;
  wallS @3 :Float64;
  records @4 :List(Record);
}

struct Record {
  union {
    contractPublished @0 :ContractPublished;
    instanceJoined @1 :InstanceJoined;
    instanceLeaving @2 :InstanceLeaving;
    instanceLeft @3 :InstanceLeft;
    suspected @4 :Suspected;
    suspicionWithdrawn @5 :SuspicionWithdrawn;
    takenOver @6 :TakenOver;
    machineRegistered @7 :MachineRegistered;
    machineRetired @8 :MachineRetired;
    machineAssigned @9 :MachineAssigned;
    jobSubmitted @10 :JobSubmitted;
    jobCancelled @11 :JobCancelled;
    taskClaimed @12 :TaskClaimed;
    taskEvicted @13 :TaskEvicted;
    taskReleased @14 :TaskReleased;
    taskFailed @15 :TaskFailed;
    taskCompleted @16 :TaskCompleted;
    taskEnded @17 :TaskEnded;
    intentRecorded @18 :IntentRecorded;
    intentReleased @19 :IntentReleased;
    snapshotBegun @20 :SnapshotBegun;
    snapshotChunk @21 :SnapshotChunk;
    snapshotFinished @22 :SnapshotFinished;
    undecodable @23 :Undecodable;
    electorsChanged @24 :ElectorsChanged;
  }
}

struct ContractPublished {
  contract @0 :Text;
  baseVersion @1 :Int64;
  operator @2 :Text;
  publishId @3 :Text;
}

struct InstanceJoined {
  instance @0 :Text;
  incarnation @1 :Int64;
  zone @2 :Text;
  group @3 :Text;
  peerAddress @4 :Text;
  httpAddress @5 :Text;
}

struct InstanceLeaving {
  instance @0 :Text;
  incarnation @1 :Int64;
}

struct InstanceLeft {
  instance @0 :Text;
  incarnation @1 :Int64;
}

struct Suspected {
  suspect @0 :Text;
  suspectIncarnation @1 :Int64;
}

struct SuspicionWithdrawn {
  suspect @0 :Text;
  suspectIncarnation @1 :Int64;
}

struct TakenOver {
  deposed @0 :Text;
  deposedIncarnation @1 :Int64;
}

struct MachineRegistered {
  machine @0 :Text;
  revision @1 :Int64;
  group @2 :Text;
  zone @3 :Text;
  rack @4 :Text;
  workerAddress @5 :Text;
  executor @6 :Text;
  executorAddress @7 :Text;
  slots @8 :Int64;
  connections @9 :Int64;
  millicores @10 :Int64;
  memoryMib @11 :Int64;
  accelerators @12 :Int64;
}

struct MachineRetired {
  machine @0 :Text;
}

struct MachineAssigned {
  machine @0 :Text;
  owner @1 :Text;
  ownerIncarnation @2 :Int64;
  baseEpoch @3 :Int64;
  inFlight @4 :Bool;
}

struct JobSubmitted {
  job @0 :Text;
}

struct JobCancelled {
  jobId @0 :Text;
  customer @1 :Text;
}

struct TaskClaimed {
  taskId @0 :Text;
  attempt @1 :Int64;
  machine @2 :Text;
  epoch @3 :Int64;
}

struct TaskEvicted {
  taskId @0 :Text;
  attempt @1 :Int64;
  checkpoint @2 :Text;
  progressS @3 :Float64;
}

struct TaskReleased {
  taskId @0 :Text;
  attempt @1 :Int64;
}

struct TaskFailed {
  taskId @0 :Text;
  attempt @1 :Int64;
  machine @2 :Text;
  detail @3 :Text;
}

struct TaskCompleted {
  taskId @0 :Text;
  attempt @1 :Int64;
  runTimeS @2 :Float64;
}

struct TaskEnded {
  taskId @0 :Text;
  attempt @1 :Int64;
  reason @2 :Text;
  detail @3 :Text;
}

struct IntentRecorded {
  customer @0 :Text;
  key @1 :Text;
  requestId @2 :Text;
  expiresWallS @3 :Float64;
}

struct IntentReleased {
  customer @0 :Text;
  key @1 :Text;
  requestId @2 :Text;
}

struct SnapshotBegun {
  snapshotId @0 :Text;
  baseOffset @1 :Int64;
}

struct SnapshotChunk {
  snapshotId @0 :Text;
  index @1 :Int64;
  checksum @2 :Int64;
  payload @3 :Data;
}

struct SnapshotFinished {
  snapshotId @0 :Text;
  chunks @1 :Int64;
  checksum @2 :Int64;
}

struct Undecodable {
  detail @0 :Text;
}

struct ElectorsChanged {
  instance @0 :Text;
  incarnation @1 :Int64;
  electors @2 :List(Text);
}

struct PeerMessage {
  union {
    heartbeat @0 :Heartbeat;
    voucher @1 :Voucher;
    forwardRequest @2 :ForwardRequest;
    forwardReply @3 :ForwardReply;
    ownerLoad @4 :OwnerLoad;
    entriesPushed @5 :EntriesPushed;
    entriesWanted @6 :EntriesWanted;
    stateWanted @7 :StateWanted;
    stateChunk @8 :StateChunk;
    explainWanted @9 :ExplainWanted;
    explainReply @10 :ExplainReply;
    hello @11 :Hello;
    limitDemand @12 :LimitDemand;
    limitGrant @13 :LimitGrant;
  }
}

struct Hello {
  sender @0 :Text;
  peerAddress @1 :Text;
}

struct Heartbeat {
  sender @0 :Text;
  incarnation @1 :Int64;
  sentBootS @2 :Float64;
  nextOffset @3 :Int64;
  echoedBootS @4 :Float64 = -1;
  granted @5 :Bool;
  echoedIncarnation @6 :Int64;
}

struct Voucher {
  sender @0 :Text;
  incarnation @1 :Int64;
  echoedBootS @2 :Float64;
  granted @3 :Bool;
  nextOffset @4 :Int64;
  echoedIncarnation @5 :Int64;
}

struct ForwardRequest {
  requestId @0 :Text;
  sender @1 :Text;
  customer @2 :Text;
  className @3 :Text;
  contractVersion @4 :Int64;
  remainingS @5 :Float64;
  idempotencyKey @6 :Text;
  body @7 :Data;
  contentType @8 :Text;
  attempt @9 :Int64 = 1;
}

struct ForwardReply {
  requestId @0 :Text;
  sender @1 :Text;
  outcome @2 :Outcome;
  attempt @3 :Int64 = 1;
}

struct OwnerLoad {
  sender @0 :Text;
  freeSlots @1 :Int64;
  queued @2 :Int64;
  expectedWaitS @3 :Float64;
}

struct LimitDemand {
  sender @0 :Text;
  customer @1 :Text;
  ratePerS @2 :Float64;
  concurrency @3 :Int64;
  sentBootS @4 :Float64;
}

struct LimitGrant {
  sender @0 :Text;
  customer @1 :Text;
  ratePerS @2 :Float64;
  concurrency @3 :Int64;
  echoedBootS @4 :Float64;
}

struct EntriesPushed {
  sender @0 :Text;
  firstOffset @1 :Int64;
  payloads @2 :List(Data);
}

struct EntriesWanted {
  sender @0 :Text;
  fromOffset @1 :Int64;
}

struct StateWanted {
  sender @0 :Text;
  chunkIndex @1 :Int64;
}

struct StateChunk {
  sender @0 :Text;
  nextOffset @1 :Int64;
  index @2 :Int64;
  count @3 :Int64;
  payload @4 :Data;
}

struct ExplainWanted {
  queryId @0 :Text;
  sender @1 :Text;
  subject @2 :Text;
}

struct ExplainReply {
  queryId @0 :Text;
  sender @1 :Text;
  lines @2 :List(Text);
}

struct Outcome {
  union {
    completed @0 :Completed;
    notRun @1 :NotRun;
    unknown @2 :Unknown;
  }
}

struct Completed {
  status @0 :Int32;
  body @1 :Data;
  contentType @2 :Text;
  peer @3 :Text;
}

struct NotRun {
  step @0 :Text;
  peer @1 :Text;
  reason @2 :Text;
  retryAfterS @3 :Float64 = -1;
  detail @4 :Text;
}

struct Unknown {
  step @0 :Text;
  peer @1 :Text;
  reason @2 :Text;
  detail @3 :Text;
}
