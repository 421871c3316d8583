/* What replicas said of themselves in their answers, told between nodes. A replica goes
   by the number that all nodes work out from its start. */
namespace py fireflyward.notices

/* The limits of replicas in requests a second, a negative one for a limit that is over,
   and how long ago that was said; and the replicas that said that they leave. */
struct ReplicaNews {
  1: required list<i32> replicas,
  2: required list<double> limits,
  3: required list<i32> ages_ms,
  4: required list<i32> leaving,
}
