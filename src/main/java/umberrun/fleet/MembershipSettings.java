package umberrun.fleet;

import java.util.List;

/**
 * Figures of one fleet's view; times in microseconds.
 *
 * @param fleet its name: others are not spoken with
 * @param interval between two probes of one member
 * @param timeout for the direct answer to a probe; a half of the interval at the most, as helpers
 *     need the rest
 * @param exchangeInterval between two full exchanges of one member
 * @param reconnectInterval between two tries to find the dead again
 * @param deadConfirmation for how long one must be dead before a refused connection proves that it
 *     is gone
 * @param deadRetention for how long the dead are kept; no cut is taken to last longer
 * @param propagationTime within what time news reaches every member
 * @param maxMembers the most that are known, dead ones included
 * @param frontEndCount front ends counted by one that has met nobody yet
 * @param usesLocalHealth whether a member that is itself late accuses more slowly; off only to
 *     measure what that is worth
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
  public static final long MS = 1_000;
  public static final long SECOND = 1_000_000;

  /** What is usual where the operator says nothing. */
  public static MembershipSettings defaults(String fleet, List<String> seeds, int siblings) {
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
        siblings,
        true);
  }
}
