# Protocol between the processes of bluebellstep.

@0xc52f6a1d0be94873;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("bluebellstep::wire");

# Why a request got no answer. Values of the enumerations are those of base/verdict.h.
struct Verdict {
  runState @0 :UInt16;
  reason @1 :UInt16;
  retryAfterMs @2 :Int64;  # -1: a retry does not help.
  detail @3 :Text;
}

enum RequestKind {
  prompt @0;
  idempotentCall @1;
  order @2;
}

struct Request {
  requestId @0 :UInt64;        # Unique within the entry instance.
  entryIncarnation @1 :UInt64; # With requestId, unique over all entry instances and their restarts.
  attempt @2 :UInt32;
  kind @3 :RequestKind;
  account @4 :Text;
  serviceClass @5 :Text;
  model @6 :Text;              # Prompts: the model; plain calls: the service.
  weightVersion @7 :Text;
  body @8 :Data;               # Prompts: the prompt text; plain calls: the request body.
  maxTokens @9 :UInt32;
  priority @10 :Int32;
  idempotencyKey @11 :Text;
  method @12 :Text;            # Plain calls: HTTP method and path.
  path @13 :Text;
  generation @14 :UInt64;      # Bundle generation that the entry instance used.
  deadlineMs @15 :UInt32;      # From receipt.
  resumeText @16 :Text;        # Prompts that resume after their sidecar died: the answer so far.
  firstIndex @17 :UInt64;      # Index of the first event to send.
  contentType @18 :Text;       # Plain calls: of the body.
}

# One event of an answer: a token of a prompt's answer, or the whole answer of a plain call.
struct Event {
  text @0 :Data;
  tokens @1 :UInt32;
}

struct Completion {
  union {
    verdict @0 :Verdict;
    answer :group {
      totalEvents @1 :UInt64;
      status @2 :UInt16;        # Plain calls: HTTP status of the upstream.
      finishReason @3 :Text;
      promptTokens @4 :UInt32;
      reusedBlocks @5 :UInt32;
      fetchedBlocks @6 :UInt32;
      recomputedBlocks @7 :UInt32;
      replayed @8 :Bool;        # Order: the answer of an earlier request with the same key.
      contentType @9 :Text;
    }
  }
}

# Receives the events of one answer, in batches and in order.
interface AnswerSink {
  # Returns the index of the next event that the receiver expects: all below are received for good.
  push @0 (firstIndex :UInt64, events :List(Event)) -> (nextIndex :UInt64);
  finish @1 (completion :Completion);
}

struct ZoneNotice {
  zone @0 :Text;
  inService @1 :Bool;
  serial @2 :UInt64;
  signer @3 :Text;
  signature @4 :Data;
}

struct ServedCost {
  account @0 :Text;
  cost @1 :UInt64;             # Tokens served since the reporter started.
  backlogged @2 :Bool;         # Requests of the account wait.
}

struct UpstreamHint {
  load @0 :UInt32;             # Requests running and queued.
  limit @1 :UInt32;            # Requests that the upstream may run now.
  leaving @2 :Bool;
  cold @3 :Bool;
  weightVersions @4 :List(Text);  # model=version
  kvTokensFree @5 :UInt64;
  queueWaitMs @6 :UInt32;
}

struct PeerState {
  name @0 :Text;
  incarnation @1 :UInt64;
  zone @2 :Text;
  generation @3 :UInt64;
  confirmedAgeMs @4 :Int64;    # Since this process knew its generation to be the newest; -1: never.
  zoneNotices @5 :List(ZoneNotice);
  servedCosts @6 :List(ServedCost);  # From sidecars their own, from entry instances the sums over all sidecars.
  hint @7 :UpstreamHint;       # Sidecars only.
  entryPeers @8 :List(Text);   # Entry instances heard from within 2 s.
}

interface Peer {
  # Exchanges states. `from` lets the callee push news over the same connection.
  heartbeat @0 (state :PeerState, from :Peer) -> (state :PeerState);
  # Returns the bundle of the callee's generation: the signed document.
  fetchBundle @1 () -> (generation :UInt64, document :Data);
}

interface Sidecar extends(Peer) {
  # Runs a request. Events and completion go to `sink`. Returns when the request is accepted or refused.
  submit @0 (request :Request, sink :AnswerSink) -> (accepted :Bool, verdict :Verdict, hint :UpstreamHint);
  # Sends the events of a known attempt again, from `nextIndex` on, to a new sink.
  resume @1 (entryIncarnation :UInt64, requestId :UInt64, attempt :UInt32, nextIndex :UInt64, sink :AnswerSink) -> (known :Bool);
  # Ends all attempts of a prompt or idempotent call. Orders are not cancelled.
  cancel @2 (entryIncarnation :UInt64, requestId :UInt64);
}
