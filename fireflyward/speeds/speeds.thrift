/* How long work takes on the replicas' machines, which nodes announce to each other. A
   replica is identified by the number that all nodes compute from its incarnation. */
namespace py fireflyward.speeds

/* Percents of the usual time that replicas reported, with the age of each report. */
struct SpeedNews {
  1: required list<i32> replicas,
  2: required list<i16> percents,
  3: required list<i16> ages_ms,
}
