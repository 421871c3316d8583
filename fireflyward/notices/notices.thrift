/* The notices of replicas in their answers, which nodes announce to each other. A replica
   is identified by the number that all nodes compute from its incarnation. */
namespace py fireflyward.notices

/* Rate limits of replicas in requests a second, negative if a limit has ended, with the
   age of each report; and the replicas that said that they are leaving. The last four
   lists are about brittle replicas: how many rejections a second they withstand, as for
   limits, and which have just rejected a request, once for each rejection. */
struct ReplicaNews {
  1: required list<i32> replicas,
  2: required list<double> limits,
  3: required list<i32> ages_ms,
  4: required list<i32> leaving,
  5: optional list<i32> brittle,
  6: optional list<double> withstood,
  7: optional list<i32> brittle_ages_ms,
  8: optional list<i32> rejecting,
}
