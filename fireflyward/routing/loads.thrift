/* What nodes of one failure domain pass on of load reports. One entry of each list
   and five bytes of `small` belong to one replica:
   replicas: hash of its name; versions: hash of the versions that it confirmed;
   prefill: tokens that wait for prefill, in units of 64;
   small: queued, running, age in units of 20 ms, free blocks in units of 64, and a
   state (1 leaving, 2 unreachable, the rest a hash of the epoch).
   names: versions in words, for a replica whose versions are not the bundle's. */
namespace py fireflyward.routing

struct LoadNews {
  1: required list<i32> replicas,
  2: required list<i16> versions,
  3: required list<i16> prefill,
  4: required binary small,
  5: required bool urgent,
  6: required map<i32, string> names,
}
