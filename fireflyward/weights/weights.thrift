/* The node that orders loads tells all others, so that they send a loading
   replica nothing and use it again at once. A replica goes by the number of its start. */
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
