/* A node announces to the others of its failure domain which upstreams are leaving. */
namespace py fireflyward.leaving

struct LeavingNews {
  1: required list<string> names,
}
