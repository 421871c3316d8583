/* The holder of the lease asks the listed nodes whether they still run. */
namespace py fireflyward.presence

/* Where the answer is to be sent: the sender may not be listed yet. */
struct PresenceQuestion {
  1: required string ip,
  2: required i32 port,
  3: required i64 asked_ms,
}

/* Repeats the time of the question, which is of the clock of the node that asked. */
struct PresenceAnswer {
  1: required i64 asked_ms,
}
