/* In-flight load of replicas, as the nodes report it to each other: prompt tokens without
   a first token yet, tokens of all requests at the replica, and the number of requests.
   A replica is identified by the number that all nodes compute from its incarnation. */
namespace py fireflyward.replicas

/* The load of one node, the sum of one domain, or the total; the kind of the message says
   which. Replicas that a node's own load does not list have no load from it; replicas
   that a sum does not list are unchanged. */
struct UnderWayNews {
  1: required list<i32> replicas,
  2: required list<i32> unread,
  3: required list<i32> held,
  4: required list<i32> requests,
}
