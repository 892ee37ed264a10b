package umberrun.fleet;

import java.util.Collection;

/**
 * Computes the number by which each front end divides the resources that the fleet shares. The
 * shares of all front ends must never add up to more than the whole, even during a network
 * partition, so a dead member counts for as long as it may be alive on the other side of one. The
 * design is described in {@code docs/fleet-view.md}.
 */
final class FleetShare {
  /** A newcomer multiplies its divisor by this until every member has heard of it. */
  private static final double NEWCOMER_DIVISOR_FACTOR = 4;

  private FleetShare() {}

  /** Whether a member that is held dead may be alive on the other side of a partition. */
  private static boolean mayBeAlive(MembershipSettings settings, Peer peer, long now) {
    long deadFor = now - peer.statusSince;
    return peer.claim.status() == Claim.Status.DEAD
        && deadFor < settings.deadRetention()
        && !(peer.connectionRefused && deadFor >= settings.deadConfirmation());
  }

  /** Counts the members that are held dead and may be alive. */
  static int countMissing(MembershipSettings settings, Collection<Peer> peers, long now) {
    int missing = 0;
    for (Peer peer : peers) {
      missing += mayBeAlive(settings, peer, now) ? 1 : 0;
    }
    return missing;
  }

  /**
   * What a front end knows about itself. Times are in microseconds of its own steady clock.
   *
   * @param firstContactAt when it first met another member, 0 for never
   * @param previouslyKnown whether others had counted its name before it started
   * @param joinedDuringPartition whether it joined while other members were missing
   * @param informed whether it knows of every member that may be alive
   */
  record LocalState(
      long startedAt,
      long firstContactAt,
      boolean previouslyKnown,
      boolean joinedDuringPartition,
      boolean informed) {}

  /**
   * Counts the front ends, this one and those that may be alive included. While this one is not
   * informed, the result is at least the configured number.
   */
  static double count(
      MembershipSettings settings, Collection<Peer> peers, long now, LocalState local) {
    int counted = 1;
    for (Peer peer : peers) {
      counted += peer.claim.isLiving() || mayBeAlive(settings, peer, now) ? 1 : 0;
    }
    return local.informed ? counted : Math.max(counted, settings.frontEndCount());
  }

  /** Returns the number by which this front end divides what all of them share. */
  static double divisor(
      MembershipSettings settings, Collection<Peer> peers, long now, LocalState local) {
    int living = 1;
    int missing = 0;
    int lateJoiners = local.joinedDuringPartition ? 1 : 0;
    for (Peer peer : peers) {
      living += peer.claim.isLiving() ? 1 : 0;
      lateJoiners += peer.claim.isLiving() && peer.joinedDuringPartition ? 1 : 0;
      missing += mayBeAlive(settings, peer, now) ? 1 : 0;
    }
    double counted = living + missing;
    // The other side of the partition does not count those that joined on this side: they share
    // what the earlier members of this side had.
    if (missing > 0 && lateJoiners > 0) {
      double earlierMembers = Math.max(1, counted - lateJoiners);
      counted = Math.max(counted, living * earlierMembers / Math.max(1, earlierMembers - missing));
    }
    double divisor = local.informed ? counted : Math.max(counted, settings.frontEndCount());
    boolean alone = settings.seeds().isEmpty() && local.firstContactAt == 0;
    boolean propagating =
        now - (local.firstContactAt == 0 ? local.startedAt : local.firstContactAt)
            < settings.propagationTime();
    return propagating && !local.previouslyKnown && !alone
        ? NEWCOMER_DIVISOR_FACTOR * divisor
        : divisor;
  }
}
