/* What nodes tell each other of requests under which replicas ended. A start of a
   replica goes by the number that all nodes work out from its entry. */
namespace py fireflyward.quarantine

/* The requests of one node that were under way where a replica ended. */
struct EndNews {
  1: required i32 start,
  2: required list<string> fingerprints,
}

/* A replica ran the request to a whole answer: it is forgiven these ends. */
struct ClearNews {
  1: required string fingerprint,
  2: required list<i32> starts,
}
