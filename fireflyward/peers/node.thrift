/* The envelope of every message between nodes. Each package that sends
   messages has its own file with the structs of the body. */
namespace py fireflyward.peers

struct Envelope {
  1: required string sender,
  2: required i64 incarnation,
  3: required i64 sequence,
  4: required string kind,
  5: required binary body,
  6: optional i64 reply_to = 0,
}

/* The answer to a frame whose sender has already sent a later incarnation. */
struct Behind {
  1: required i64 incarnation,
}
