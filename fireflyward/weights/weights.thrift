/* The node that orders loads announces them to all other nodes. They send a loading
   replica no requests, and use it again as soon as it has loaded. Replicas are
   identified by their incarnation ids. */
namespace py fireflyward.weights

struct LoadingNews {
  1: required list<i32> replicas,
  2: required string model,
  3: required i64 version,
  4: required i32 for_ms,
}

struct LoadedNews {
  1: required i32 replica,
  2: required string model,
  3: required i64 version,
}
