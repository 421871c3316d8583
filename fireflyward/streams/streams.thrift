/* At which software version streams began, which nodes tell each other while replicas of
   several versions serve. A stream is identified by a number that all nodes compute from
   the client account and the id of the request that brought its first event. */
namespace py fireflyward.streams

/* Streams of a service that began at replicas of one software version. */
struct StreamsBegan {
  1: required string service_name,
  2: required string software,
  3: required list<i64> streams,
}

/* Asks at which version a stream began. */
struct StreamQuestion {
  1: required i32 number,
  2: required string service_name,
  3: required i64 stream,
}

/* Answers a question; without "software" the node does not know the stream. "versions"
   are the versions of the service's replicas that this node lists or listed lately. */
struct StreamAnswer {
  1: required i32 number,
  2: optional string software,
  3: required list<string> versions,
}
