package umberrun.fleet;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The time that a suspected member has to refute the suspicion; it gets shorter as more members
 * confirm the suspicion (Lifeguard, section IV-B). Times are in microseconds.
 */
final class Suspicion {
  private static final double MIN_TIMEOUT_INTERVALS = 4;
  private static final double MAX_TO_MIN_TIMEOUT_RATIO = 4;

  /** Accusers beyond the first after which the timeout is at its minimum. */
  static final int MAX_CONFIRMATIONS = 3;

  final long startedAt;
  private final long minTimeout;
  private final long maxTimeout;
  final Set<String> accusers = new LinkedHashSet<>();

  /**
   * @param interval the probe interval
   * @param members the number of living members, this one included
   */
  Suspicion(long now, long interval, int members) {
    startedAt = now;
    minTimeout = minTimeout(interval, members);
    // With too few other members to confirm a suspicion, the timeout could never get shorter.
    maxTimeout =
        members - 2 < MAX_CONFIRMATIONS
            ? minTimeout
            : (long) (MAX_TO_MIN_TIMEOUT_RATIO * minTimeout);
  }

  /**
   * The shortest timeout. It grows with the number of members, as a refutation takes longer to
   * spread.
   */
  static long minTimeout(long interval, int members) {
    return (long)
        (MIN_TIMEOUT_INTERVALS * Math.max(1, Math.log10(Math.max(1, members))) * interval);
  }

  /** Adds an accuser. Returns whether the accusation is new and worth passing on. */
  boolean confirm(String accuser) {
    return accusers.size() <= MAX_CONFIRMATIONS && accusers.add(accuser);
  }

  /** When the suspicion times out. */
  long expiresAt() {
    double fraction = Math.log(Math.max(1, accusers.size())) / Math.log(MAX_CONFIRMATIONS + 1);
    return startedAt
        + Math.max(minTimeout, (long) (maxTimeout - (maxTimeout - minTimeout) * fraction));
  }
}
