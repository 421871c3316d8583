/* What the holder of a lease tells the nodes that contend for it. */
namespace py fireflyward.leases

/* The lease's row, as it stands in the table with this version. */
struct LeaseHeld {
  1: required string name,
  2: required binary row,
  3: required i64 version,
}
