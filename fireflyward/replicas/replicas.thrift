/* What nodes tell each other of the work under way at replicas: prompt tokens that no
   first token has answered yet, tokens of all requests there, and their number. A
   replica goes by the number that all nodes work out from its start. */
namespace py fireflyward.replicas

/* One node's own, one domain's sum or the total, as the kind of the message says. Of a
   node's own, replicas that are not named have none; of sums they are as they were. */
struct UnderWayNews {
  1: required list<i32> replicas,
  2: required list<i32> unread,
  3: required list<i32> held,
  4: required list<i32> requests,
}
