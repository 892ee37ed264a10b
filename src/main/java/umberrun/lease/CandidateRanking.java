package umberrun.lease;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Which front end takes a free duty. All that see the same come to the same order, and each waits
 * its turn, so that a dead holder brings no stampede; where they see different things, the register
 * lets one have it. A holder that is fit keeps its duty whoever comes, so that nothing flaps. Free
 * of I/O, threads and clocks.
 */
public final class CandidateRanking {
  /**
   * A front end that might take a duty.
   *
   * @param fit whether it takes clients, is on time and not in doubt
   * @param duties that it holds now
   */
  public record Candidate(String name, String hall, boolean fit, int duties) {}

  /**
   * Those that watch for a duty to be free, in the order in which they are to take it; the rest
   * comes up as these go.
   */
  public static final int MAX_WATCHERS = 3;

  /**
   * Between the turns of two: both phases of the agreement with their syncs, as the next one would
   * disturb the one before.
   */
  private static final long TURN = 100_000;

  private static final int MOST_TURNS = 10;

  private CandidateRanking() {}

  /**
   * The place of one among all that might take a duty, from 0; the size of the list where it is not
   * fit.
   */
  public static int rank(String duty, String hall, String name, List<Candidate> all) {
    List<Candidate> fit = new ArrayList<>(all);
    fit.removeIf(c -> !c.fit());
    fit.sort(
        Comparator.comparing((Candidate c) -> !hall.isEmpty() && !c.hall().equals(hall))
            .thenComparingInt(Candidate::duties)
            .thenComparingInt(c -> mix(duty, c.name()))
            .thenComparing(Candidate::name));
    for (int i = 0; i < fit.size(); i++) {
      if (fit.get(i).name().equals(name)) {
        return i;
      }
    }
    return all.size();
  }

  /** What the one at a place waits once a duty is free. */
  public static long delay(int place) {
    return Math.min(place, MOST_TURNS) * TURN;
  }

  /** Spreads duties over names that are alike in all else. */
  private static int mix(String duty, String name) {
    int h = (duty + '/' + name).hashCode();
    h ^= h >>> 16;
    h *= 0x85ebca6b;
    return h ^ h >>> 13;
  }
}
