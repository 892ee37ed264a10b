package saddlestall;

/**
 * A function, as described by its calls and by what peers report. Times are in microseconds. The
 * {@link FunctionTable} decides how long it is remembered.
 */
final class Function {
  final long id;

  /** When this front end first heard of it. */
  final long knownSince;

  /** Latency of its warm calls. */
  final RunningMean duration = new RunningMean(0);

  /** Calls that one copy runs concurrently. */
  double lanes = 1;

  /** Load time in microseconds; 0 if not given. */
  double loadTime;

  /** Class of its latest call. */
  int callClass;

  /** When a call of it was last served, here or as a peer reported; 0 if never. */
  long lastServedAt;

  /** Own calls, on top of those that a peer reported before, decayed to {@code lastCallAt}. */
  double recentCalls;

  /** When it was last called, here or as a peer reported; 0 if never. */
  long lastCallAt;

  /** Each ready worker's position in the home order, for the list of {@code homeRankVersion}. */
  int[] homeRanks = {};

  int homeRankVersion = -1;

  /** How well it is established; see {@link FunctionTable}. */
  FunctionTable.Standing standing = FunctionTable.Standing.UNSERVED;

  /** Open calls of it, and attempts in flight. */
  int uses;

  Function(long id, long knownSince) {
    this.id = id;
    this.knownSince = knownSince;
  }

  /** Whether a call of it is known, rather than only a copy that a peer reported. */
  boolean wasCalled() {
    return lastCallAt != 0;
  }

  /** When it was last called, or first heard of where it never was. */
  long lastActiveAt() {
    return wasCalled() ? lastCallAt : knownSince;
  }
}
