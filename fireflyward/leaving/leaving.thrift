/* One node tells the others of its failure domain which upstreams leave. */
namespace py fireflyward.leaving

struct LeavingNews {
  1: required list<string> names,
}
