/* The envelope of every message between nodes. Each slice that talks to its
   peers has a file of its own for what goes into the body. */
namespace py fireflyward.peers

struct Envelope {
  1: required string sender,
  2: required i64 incarnation,
  3: required i64 sequence,
  4: required string kind,
  5: required binary body,
  6: optional i64 reply_to = 0,
}

/* The answer to a frame of an earlier incarnation than is known of its sender. */
struct Behind {
  1: required i64 incarnation,
}
