/* The node that orders loads tells all others, so that they send a loading
   replica nothing and use it again at once. */
namespace py fireflyward.weights

struct LoadingNews {
  1: required list<string> incarnations,
  2: required string model,
  3: required i64 version,
  4: required i32 for_ms,
}

struct LoadedNews {
  1: required string incarnation,
  2: required string model,
  3: required i64 version,
}
