/* What nodes tell each other of the work under way at replicas: prompt tokens that no
   first token has answered yet, tokens of all requests there, and their number. A
   replica goes by the number that all nodes work out from its start. */
namespace py fireflyward.replicas

/* One node's own. Replicas that are not named have none. */
struct UnderWayNews {
  1: required list<i32> replicas,
  2: required list<i32> unread,
  3: required list<i32> held,
  4: required list<i32> requests,
}

/* The sum over the nodes that told one aggregator, and its own, for other
   aggregators. Replicas that are not named are as they were. */
struct UnderWaySum {
  1: required list<i32> replicas,
  2: required list<i32> unread,
  3: required list<i32> held,
  4: required list<i32> requests,
}

/* The sum over all nodes, as an aggregator knows it, for the nodes that tell it.
   Replicas that are not named are as they were. */
struct UnderWayTotal {
  1: required list<i32> replicas,
  2: required list<i32> unread,
  3: required list<i32> held,
  4: required list<i32> requests,
}
