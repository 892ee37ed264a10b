package umberrun.lease;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Ranks the front ends that may take a free duty. Front ends with the same view of the fleet
 * compute the same order, and each waits for its turn, so that the death of a holder does not make
 * all of them propose at once. Where views differ, the register admits only one. An eligible holder
 * keeps its duty even if a better-ranked front end joins, which avoids flapping. Free of I/O,
 * threads and clocks.
 */
public final class CandidateRanking {
  /**
   * A front end that may take a duty.
   *
   * @param name of the front end
   * @param hall in which it runs
   * @param eligible whether it accepts clients, keeps up with its work and is not suspected
   * @param duties number of duties that it holds now
   */
  public record Candidate(String name, String hall, boolean eligible, int duties) {}

  /**
   * Number of best-ranked candidates that watch for a duty to become free. The others move up as
   * these leave.
   */
  public static final int MAX_WATCHERS = 3;

  /**
   * Time between the turns of two candidates of adjacent ranks. It covers both phases of consensus
   * with their disk syncs: an earlier proposal by the next candidate would interrupt the one
   * before.
   */
  private static final long TURN_MICROS = 100_000;

  private static final int MAX_TURNS = 10;

  private CandidateRanking() {}

  /**
   * Rank of one front end among all candidates for a duty.
   *
   * @param duty name of the duty
   * @param hall whose front ends are preferred, or empty for no preference
   * @param name of the front end to rank
   * @param all candidates, in any order
   * @return the rank from 0, or the size of {@code all} if the front end is not eligible
   */
  public static int rank(String duty, String hall, String name, List<Candidate> all) {
    List<Candidate> eligible = new ArrayList<>(all);
    eligible.removeIf(c -> !c.eligible());
    eligible.sort(
        Comparator.comparing((Candidate c) -> !hall.isEmpty() && !c.hall().equals(hall))
            .thenComparingInt(Candidate::duties)
            .thenComparingInt(c -> hash(duty, c.name()))
            .thenComparing(Candidate::name));
    for (int i = 0; i < eligible.size(); i++) {
      if (eligible.get(i).name().equals(name)) {
        return i;
      }
    }
    return all.size();
  }

  /** Microseconds that the candidate of a rank waits before it takes a free duty. */
  public static long takeoverDelay(int rank) {
    return Math.min(rank, MAX_TURNS) * TURN_MICROS;
  }

  /** Spreads duties over front ends that are equal in all other criteria. */
  private static int hash(String duty, String name) {
    int hash = (duty + '/' + name).hashCode();
    hash ^= hash >>> 16;
    hash *= 0x85ebca6b;
    return hash ^ hash >>> 13;
  }
}
