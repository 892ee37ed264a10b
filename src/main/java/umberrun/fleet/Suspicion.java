package umberrun.fleet;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * How long one suspected member has to refute: the less, the more others accuse it (Lifeguard,
 * section IV-B).
 */
final class Suspicion {
  private static final double LEAST_INTERVALS = 4;
  private static final double MOST_OVER_LEAST = 4;

  /** Accusers beyond the first after which the time is as short as it gets. */
  static final int ENOUGH = 3;

  final long since;
  private final long least;
  private final long most;
  final Set<String> accusers = new LinkedHashSet<>();

  /**
   * @param living members, this one included
   */
  Suspicion(long now, long interval, int living) {
    since = now;
    least = least(interval, living);
    most =
        living - 2 < ENOUGH
            ? least
            : (long) (MOST_OVER_LEAST * least); // too few are there to confirm anything
  }

  /** The shortest time, which grows with the way that a refutation has to go. */
  static long least(long interval, int living) {
    return (long) (LEAST_INTERVALS * Math.max(1, Math.log10(Math.max(1, living))) * interval);
  }

  /** Takes in who accuses; whether that is news worth passing on. */
  boolean confirm(String accuser) {
    return accusers.size() <= ENOUGH && accusers.add(accuser);
  }

  /** When the time is over. */
  long end() {
    double part = Math.log(Math.max(1, accusers.size())) / Math.log(ENOUGH + 1);
    return since + Math.max(least, (long) (most - (most - least) * part));
  }
}
