/* Messages between nodes about requests that were in flight when a replica crashed. An
   incarnation of a replica is identified by the number that all nodes compute from its
   entry. */
namespace py fireflyward.quarantine

/* The requests of one node that were in flight at a replica that crashed. */
struct EndNews {
  1: required i32 start,
  2: required list<string> fingerprints,
}

/* A replica completed the answer to the request, which is cleared of these crashes. */
struct ClearNews {
  1: required string fingerprint,
  2: required list<i32> starts,
}
