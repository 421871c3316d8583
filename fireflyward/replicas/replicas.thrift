/* What nodes tell each other of the work under way at replicas: prompt tokens that no
   first token has answered yet, tokens of all requests there, and their number. */
namespace py fireflyward.replicas

/* One node's own. Replicas that are not named have none. */
struct UnderWayNews {
  1: required list<string> incarnations,
  2: required list<i32> unread,
  3: required list<i32> held,
  4: required list<i32> requests,
}

/* The sum over the nodes that told one aggregator, and its own. Replicas that are not
   named are as they were. With pass_on the receiver tells the nodes of its own failure
   domain. */
struct UnderWaySum {
  1: required string aggregator,
  2: required bool pass_on,
  3: required list<string> incarnations,
  4: required list<i32> unread,
  5: required list<i32> held,
  6: required list<i32> requests,
}
