/* At which software version streams began, which nodes tell each other while replicas of
   several versions serve. A stream is identified by a number that all nodes compute from
   the client account and the id of the request that brought its first event. */
namespace py fireflyward.streams

/* Streams of a service that began at replicas of one software version. "ages_s" has the
   age of each stream in s; without it they have just begun. */
struct StreamsBegan {
  1: required string service_name,
  2: required string software,
  3: required list<i64> streams,
  4: optional list<i16> ages_s,
}

/* A node that has just started asks for the records that it is to hold. "ip" and "port"
   receive its datagrams; the list of nodes of the receiver may have an older address. */
struct StreamsWanted {
  1: required list<string> service_names,
  2: required string failure_domain,
  3: required string ip,
  4: required i32 port,
}

/* Asks at which version a stream began. The answer goes to "ip" and "port". */
struct StreamQuestion {
  1: required i32 number,
  2: required string service_name,
  3: required i64 stream,
  4: optional string ip,
  5: optional i32 port,
}

/* Answers a question; without "software" the node does not know the stream. "versions"
   are the versions of the service's replicas that this node lists or listed lately, and
   those at which it was told that a stream began. A stream that it does not know may have
   begun there before it started, at one of "before_start"; with "forgot_before_start" it
   cannot say. A node whose software stores no versions sends neither. */
struct StreamAnswer {
  1: required i32 number,
  2: optional string software,
  3: required list<string> versions,
  4: optional list<string> before_start,
  5: optional bool forgot_before_start,
}

/* The sender has stored these versions of a service at a position of the store. */
struct VersionsStored {
  1: required string service_name,
  2: required list<string> versions,
  3: required i32 era,
  4: required i64 version,
}
