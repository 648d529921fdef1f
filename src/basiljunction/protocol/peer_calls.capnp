# Client calls that an instance of the job scheduler sends to another one, and
# the replies.
#
# Field numbers never change meaning; new fields are added at the end.

@0xd1a5c40be2f7693d;

struct PeerCall {
  kind @0 :Text;
  queue @1 :Text;
  jobId @2 :Text;
  job @3 :Data;
  configurationVersion @4 :Int64;
  epoch @5 :Int64;
}

struct PeerReply {
  outcome @0 :Text;
  state @1 :Text;
  waiting @2 :Int64;
  leaderAddress @3 :Text;
  leaderEpoch @4 :Int64;
  termStage @5 :Text;
  lacksStore @6 :Bool;
}
