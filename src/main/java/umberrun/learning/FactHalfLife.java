package umberrun.learning;

import java.util.EnumMap;
import java.util.Map;
import umberrun.learning.Fact.Kind;

/**
 * Estimates the half-life of facts of each kind. Whenever this front end observes something itself
 * that it knew from another one, the received fact is either confirmed or refuted at its age. If
 * facts become invalid at a constant rate, a confirmed fact was valid for at least its age, and a
 * refuted one became invalid within its age. The estimated rate is therefore the number of refuted
 * facts divided by the sum of all ages.
 */
public final class FactHalfLife {
  /** Weight of the initial half-life, as a number of refuted facts. */
  private static final double PRIOR_WEIGHT = 8;

  /** Lower bound of the refuted facts, relative to the initial weight. */
  private static final double MIN_REFUTED_SHARE = 0.25;

  private static final double LN2 = Math.log(2);

  /** Factor by which earlier facts lose weight with each new one, as traffic and workers change. */
  private static final double DECAY_FACTOR = 0.995;

  /** The weighted number of refuted facts and the weighted sum of ages, of one kind. */
  private static final class Tally {
    private double refuted = PRIOR_WEIGHT;
    private double totalAge;
  }

  private final Map<Kind, Tally> tallies = new EnumMap<>(Kind.class);

  /**
   * Creates an estimator.
   *
   * @param initial the initial half-life of each kind, in microseconds
   */
  public FactHalfLife(Map<Kind, Long> initial) {
    for (Kind kind : Kind.values()) {
      Tally tally = new Tally();
      tally.totalAge = PRIOR_WEIGHT * initial.get(kind) / LN2;
      tallies.put(kind, tally);
    }
  }

  /**
   * Records that a received fact was confirmed or refuted by this front end's own observation.
   *
   * @param age age of the fact, in microseconds
   */
  public void record(Kind kind, long age, boolean confirmed) {
    Tally tally = tallies.get(kind);
    // The lower bound keeps the half-life from growing without limit while all facts are confirmed.
    double minRefuted = PRIOR_WEIGHT * MIN_REFUTED_SHARE;
    tally.refuted = Math.max(minRefuted, DECAY_FACTOR * tally.refuted + (confirmed ? 0 : 1));
    tally.totalAge = DECAY_FACTOR * tally.totalAge + Math.max(1, age);
  }

  /** Returns the time after which half of the facts of a kind are invalid, in microseconds. */
  public long halfLife(Kind kind) {
    Tally tally = tallies.get(kind);
    return Math.max(1, Math.round(LN2 * tally.totalAge / tally.refuted));
  }

  /**
   * Returns the weight of a fact, from 1 for a new one down to 0 for a very old one.
   *
   * @param age age of the fact, in microseconds
   */
  public double weight(Kind kind, long age) {
    return Math.pow(2, -Math.max(0, age) / (double) halfLife(kind));
  }
}
