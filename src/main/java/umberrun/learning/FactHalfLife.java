package umberrun.learning;

import java.util.EnumMap;
import java.util.Map;
import umberrun.learning.Fact.Kind;

/**
 * How fast facts of each kind go stale, measured: whenever this instance sees for itself what it
 * had heard, the fact held for its age or did not. Under a constant rate of going stale, a fact
 * that held tells that it lasted at least so long and one that did not that it ended within that
 * time, so that the rate is the number refuted over the sum of ages.
 */
public final class FactHalfLife {
  /** What the prior half-life weighs as: so many facts seen refuted. */
  private static final double PRIOR = 8;

  private static final double LN2 = Math.log(2);

  /** Old experience fades: traffic and workers change. */
  private static final double FADE = 0.995;

  private static final class Tally {
    private double refuted = PRIOR;
    private double ages;
  }

  private final Map<Kind, Tally> tallies = new EnumMap<>(Kind.class);

  /**
   * @param prior half-lives to begin with, in microseconds
   */
  public FactHalfLife(Map<Kind, Long> prior) {
    for (Kind kind : Kind.values()) {
      Tally t = new Tally();
      t.ages = PRIOR * prior.get(kind) / LN2;
      tallies.put(kind, t);
    }
  }

  /** A fact of this age was seen to hold, or not. */
  public void record(Kind kind, long age, boolean held) {
    Tally t = tallies.get(kind);
    double least = PRIOR * 0.25; // no run of luck makes facts last for ever
    t.refuted = Math.max(least, FADE * t.refuted + (held ? 0 : 1));
    t.ages = FADE * t.ages + Math.max(1, age);
  }

  /** After so many microseconds half of such facts no longer hold. */
  public long halfLife(Kind kind) {
    Tally t = tallies.get(kind);
    return Math.max(1, Math.round(LN2 * t.ages / t.refuted));
  }

  /** How much a fact of this age is worth, from 1 for just seen to nought. */
  public double weight(Kind kind, long age) {
    return Math.pow(2, -Math.max(0, age) / (double) halfLife(kind));
  }
}
