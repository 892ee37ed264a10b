package umberrun.fleet;

import java.util.List;

/**
 * Settings of the membership protocol. All durations are in microseconds.
 *
 * @param fleet the name of the fleet; messages of other fleets are ignored
 * @param seeds addresses at which other members may be found
 * @param interval between two probes of one member
 * @param timeout for the response to a direct probe; at most half of the interval, as the indirect
 *     probes need the rest
 * @param exchangeInterval between two full exchanges of one member
 * @param reconnectInterval between two attempts to reach dead members again
 * @param deadConfirmation for how long a member must have been dead before a refused connection
 *     proves that it is gone
 * @param deadRetention for how long dead members are kept; no partition is assumed to last longer
 * @param propagationTime within which gossip reaches every member
 * @param maxMembers the most members in a view, dead ones included
 * @param frontEndCount the number of front ends that a member assumes until it knows better
 * @param usesLocalHealth whether a member that is itself slow takes longer to accuse others;
 *     disabled only to measure the effect
 */
public record MembershipSettings(
    String fleet,
    List<String> seeds,
    long interval,
    long timeout,
    long exchangeInterval,
    long reconnectInterval,
    long deadConfirmation,
    long deadRetention,
    long propagationTime,
    int maxMembers,
    int frontEndCount,
    boolean usesLocalHealth) {
  /** Microseconds in a millisecond. */
  public static final long MS = 1_000;

  /** Microseconds in a second. */
  public static final long SECOND = 1_000_000;

  /** The settings for everything that the operator does not configure. */
  public static MembershipSettings defaults(String fleet, List<String> seeds, int frontEndCount) {
    return new MembershipSettings(
        fleet,
        seeds,
        500 * MS,
        200 * MS,
        10 * SECOND,
        2 * SECOND,
        60 * SECOND,
        3_600 * SECOND,
        5 * SECOND,
        1_024,
        frontEndCount,
        true);
  }
}
