/* How nodes of one failure domain share the limits of client accounts. `accounts`
   are hashes of names; the lists run in parallel. `in_flight`, `limits` and `parts` are
   missing in messages of older nodes. */
namespace py fireflyward.limits

struct Demand {
  1: required list<i32> accounts,
  2: required list<i32> demands,
  3: optional list<i32> in_flight,
  4: optional list<i32> limits,
}

struct Tally {
  1: required list<i32> accounts,
  2: required list<i32> totals,
  3: optional list<i32> parts,
}

/* What one node's callers of a service requested and got, the sum of a domain, or the
   total; the kind of the message says which. It replaces the sender's previous message
   about the service. The lists run in parallel, one entry for each group of requests:
   `kinds` and `names` identify it, numbers are in tenths. `weights`, in hundredths, are
   missing if all are 1. */
struct FairnessSums {
  1: required i32 service_id,
  2: required list<i32> kinds,
  3: required list<i32> names,
  4: required list<i32> arrived,
  5: required list<i32> admitted,
  6: required list<i32> rejected,
  7: required list<i32> returned,
  8: optional list<i32> weights,
}
