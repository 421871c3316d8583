/* Look-up of a prompt in an index shard that another node of the failure domain holds. */
namespace py fireflyward.kept

/* The entries of one prompt, one for every eighth block, in order. */
struct LookUp {
  1: required i32 shard,
  2: required list<i64> entries,
}

/* For each holder a bit set: the positions of the requested entries that it has. */
struct Found {
  1: required list<string> holders,
  2: required list<binary> places,
}
