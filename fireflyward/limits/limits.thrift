/* How nodes of one failure domain share the limits of client accounts. `accounts`
   are hashes of names; the lists run in parallel. */
namespace py fireflyward.limits

struct Demand {
  1: required list<i32> accounts,
  2: required list<i32> demands,
}

struct Tally {
  1: required list<i32> accounts,
  2: required list<i32> totals,
}
