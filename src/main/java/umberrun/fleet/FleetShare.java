package umberrun.fleet;

import java.util.Collection;
import umberrun.fleet.Claim.Status;

/**
 * By how much each front end divides what belongs to all of them, so that all parts together never
 * come to more than the whole, whoever can see whom. The argument and its window are in {@code
 * docs/fleet-view.md}.
 */
final class FleetShare {
  /** A newcomer of whom not everybody has heard takes this part of its share. */
  private static final double UNSETTLED = 4;

  private FleetShare() {}

  /** Whether a dead member may yet live on the other side of a cut. */
  private static boolean mayLive(MembershipSettings s, Peer p, long now) {
    long dead = now - p.since;
    return p.claim.status() == Status.DEAD
        && dead < s.deadRetention()
        && !(p.refused && dead >= s.deadConfirmation());
  }

  /** How many are dead that may yet live. */
  static int missing(MembershipSettings s, Collection<Peer> peers, long now) {
    int missing = 0;
    for (Peer p : peers) {
      missing += mayLive(s, p, now) ? 1 : 0;
    }
    return missing;
  }

  /**
   * What a front end knows of itself.
   *
   * @param metAt when it first met another, 0 for never
   * @param known whether others had counted its name before it began
   * @param late whether it came while others were missing
   * @param informed whether it has heard of all that may live
   */
  record Own(long startedAt, long metAt, boolean known, boolean late, boolean informed) {}

  /** How many front ends are counted. */
  static double count(MembershipSettings s, Collection<Peer> peers, long now, Own own) {
    int counted = 1;
    for (Peer p : peers) {
      counted += p.claim.isLiving() || mayLive(s, p, now) ? 1 : 0;
    }
    return own.informed ? counted : Math.max(counted, s.frontEndCount());
  }

  /** By how much this one divides. */
  static double divisor(MembershipSettings s, Collection<Peer> peers, long now, Own own) {
    int living = 1;
    int missing = 0;
    int lateOnes = own.late ? 1 : 0;
    for (Peer p : peers) {
      living += p.claim.isLiving() ? 1 : 0;
      lateOnes += p.claim.isLiving() && p.late ? 1 : 0;
      missing += mayLive(s, p, now) ? 1 : 0;
    }
    double counted = living + missing;
    if (missing > 0 && lateOnes > 0) {
      double base = Math.max(1, counted - lateOnes);
      counted = Math.max(counted, living * base / Math.max(1, base - missing));
    }
    double share = own.informed ? counted : Math.max(counted, s.frontEndCount());
    boolean alone = s.seeds().isEmpty() && own.metAt == 0;
    boolean settles = now - (own.metAt == 0 ? own.startedAt : own.metAt) < s.propagationTime();
    return settles && !own.known && !alone ? UNSETTLED * share : share;
  }
}
